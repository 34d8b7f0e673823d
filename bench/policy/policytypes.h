#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace laburnumspread::bench {

// Simulations of single policies in virtual time, compared with simple
// baselines. The decisions come from the production code; arrivals and run
// times are synthetic and use a fixed seed.

/// A saturated pool under uneven demand: share scheduling against first come,
/// first served. Reports the distance of the teams' throughput from their fair
/// rates, in percent of the pool's capacity, and the p99 wait of a small team
/// next to an overloading one, in milliseconds.
boost::json::object simulateShares();

/// Demand that rotates between pools: the move planner against static pools,
/// moves without hysteresis, and moves of one VM at a time. Reports the
/// percentage of demand served, the number of moves and the idle buffer in
/// slot-seconds.
boost::json::object simulateMoves();

/// One wave over a fleet: the wave planner's batches against one VM at a time
/// and against the lower bound VMs x (drain + reboot) / budget. Reports seconds
/// and the largest number of VMs out of service at once.
boost::json::object simulateWave();

} // namespace laburnumspread::bench
