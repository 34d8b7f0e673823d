#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace laburnumspread::bench {

// Trials of single policies in virtual time, each beside simple baselines. The
// decisions are the product's own; only arrivals and run times are made up,
// from a fixed seed.

/// A full pool under uneven demand: our order of shares against first come
/// first served. Distance of the teams' parts from their shares, and the wait
/// of a small team beside a flood.
boost::json::object simulateShares();

/// Demand that rotates between pools: our moves against static pools, moves
/// without hysteresis, and moves one VM at a time.
boost::json::object simulateMoves();

/// One wave over a fleet: our batches against one VM at a time and against the
/// lower bound VMs x (drain + reboot) / budget.
boost::json::object simulateWave();

} // namespace laburnumspread::bench
