#pragma once

#include "capacity/capacitytypes.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace laburnumspread::capacity {

/// Amount of one resource that the jobs which arrived in a time window hold on
/// average if jobs continue to arrive at this rate.
class ArrivedLoad {
public:
  /// Adds one job.
  void add(double Amount) {
    Sum_ += Amount;
    Squares_ += Amount * Amount;
  }
  /// Returns a lower estimate of the load: one standard deviation below the
  /// sum, if jobs arrive independently at random. A single large job predicts
  /// nothing, many small ones do.
  std::int64_t lowerEstimate() const {
    return static_cast<std::int64_t>(std::max(0.0, Sum_ - std::sqrt(Squares_)));
  }

  /// Returns a lower estimate of the increase since \p Before, a window of the
  /// same length: one standard deviation below the difference.
  std::int64_t lowerEstimateOfIncrease(const ArrivedLoad &Before) const {
    const double Chance = std::sqrt(Squares_ + Before.Squares_);
    return static_cast<std::int64_t>(
        std::max(0.0, Sum_ - Before.Sum_ - Chance));
  }

private:
  double Sum_ = 0;
  double Squares_ = 0;
};

/// Load of the jobs that arrived in a time window. Memory counts beside CPU
/// time, since either may be what fills the workers.
struct Arrivals {
  ArrivedLoad MilliCpus_;
  ArrivedLoad MemoryMb_;

  Resources lowerEstimate() const {
    return {MilliCpus_.lowerEstimate(), MemoryMb_.lowerEstimate(), 0};
  }
  Resources lowerEstimateOfIncrease(const Arrivals &Before) const {
    return {MilliCpus_.lowerEstimateOfIncrease(Before.MilliCpus_),
            MemoryMb_.lowerEstimateOfIncrease(Before.MemoryMb_), 0};
  }
};

/// Current demand of a pool's queues.
struct PoolDemand {
  /// Long-running tasks, running or waiting.
  Resources LongRunning_;
  /// Finite tasks, running or ready, of jobs that can still meet their
  /// deadline.
  Resources FeasibleFinite_;
  /// Free resources with which a worker could take any one of the waiting
  /// long-running tasks; zero if none waits.
  Resources WaitingLongRunning_;
  /// Demand of the smallest finite task that waits and whose job is late. Late
  /// work asks for no machine in a pool that has any.
  std::optional<Resources> SmallestLateTask_;
  /// Finite tasks of the jobs that arrived in the latest window, waiting or
  /// not.
  Arrivals RecentArrivals_;
  /// The same for the window of equal length before it.
  Arrivals PriorArrivals_;
};

/// Why a machine is moved.
enum class MoveReason {
  /// The target pool has fewer machines than it requires.
  Shortage,
  /// The machine is idle outside its home pool and returns there.
  Home,
};
std::string_view nameOf(MoveReason Reason);

/// Order to move a machine to another pool.
struct MoveOrder {
  MachineId Machine_;
  PoolName To_;
  MoveReason Reason_ = MoveReason::Shortage;
};

/// Moves idle machines to pools whose demand exceeds their machines.
///
/// Load peaks shift between queues within seconds: during its peak a pool needs
/// up to twice its own machines while those of other pools are idle. A move
/// takes little more than a second and costs about as much as running a machine
/// in a pool for a second, which a needed machine earns back many times over.
/// Donors are machines outside their home pool first, then machines that are
/// off, then machines of the pool with the largest surplus. After the peak each
/// machine returns to its home pool, because a pool's own machines have to
/// handle the start of its next peak until others arrive.
///
/// Machines in evacuated zones stay where they are and count as no capacity, so
/// that other zones make good at once what a pool has lost; what continues to
/// run there needs no machine elsewhere.
class PoolPlanner {
public:
  /// Machines that a pool keeps beyond its current demand, so that a job of
  /// typical size that arrives at an idle pool starts at once.
  static constexpr std::size_t SpareMachines = 2;
  /// Fraction of a worker's capacity that tasks of mixed sizes can use.
  static constexpr double FillFraction = 0.92;
  /// Factor by which an increase of the arriving load is extrapolated: a
  /// machine that is ordered now arrives after 1.5 times the length of the
  /// measuring window, and the load keeps growing until then.
  static constexpr double GrowthMultiplier = 1.5;
  /// How long a machine must be idle before it can leave its pool.
  static constexpr Duration MinIdleTime = std::chrono::milliseconds(300);
  /// How long a machine must be idle before it returns to its home pool. This
  /// is about the cost of a move, which avoids moving machines back and forth.
  static constexpr Duration MinIdleBeforeReturn =
      std::chrono::milliseconds(1500);

  /// Returns the moves to order now. \p HomePools names the home pool of
  /// machines; one that is not listed is in its home pool. Machines in the
  /// pools of \p Standby are off, and these pools are never filled because of a
  /// shortage.
  std::vector<MoveOrder> plan(const std::map<MachineId, MachineView> &Machines,
                              const std::map<PoolName, PoolDemand> &Demand,
                              const std::map<MachineId, PoolName> &HomePools,
                              const std::set<PoolName> &Standby,
                              TimePoint Now) const;
};

} // namespace laburnumspread::capacity
