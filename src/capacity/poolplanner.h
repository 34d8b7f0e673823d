#pragma once

#include "capacity/capacitytypes.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string_view>

namespace laburnumspread::capacity {

/// Work that came in lately, as thousandths of a core that it will keep busy at
/// a time if it goes on so.
class ArrivedLoad {
public:
  void add(double MilliCpus) {
    Sum_ += MilliCpus;
    Squares_ += MilliCpus * MilliCpus;
  }
  /// What it is with fair certainty: one standard deviation below the sum, for
  /// jobs that come by chance. One large job alone foretells nothing; many
  /// small ones do.
  std::int64_t lowerEstimate() const {
    return static_cast<std::int64_t>(std::max(0.0, Sum_ - std::sqrt(Squares_)));
  }

  /// By how much it has surely grown since \p Before, a time of the same
  /// length: one standard deviation below the difference.
  std::int64_t lowerEstimateOfIncrease(const ArrivedLoad &Before) const {
    const double Chance = std::sqrt(Squares_ + Before.Squares_);
    return static_cast<std::int64_t>(
        std::max(0.0, Sum_ - Before.Sum_ - Chance));
  }

private:
  double Sum_ = 0;
  double Squares_ = 0;
};

/// What a pool's queues ask for now.
struct PoolDemand {
  /// Tasks that last, running or waiting.
  Resources LongRunning_;
  /// Finite tasks that run, or could run and wait, of jobs that can be in time.
  Resources FeasibleFinite_;
  /// A worker with this room could take any of the tasks that last and wait;
  /// empty when none waits.
  Resources WaitingLongRunning_;
  /// Finite tasks of jobs that have come lately, waiting or not, and of those
  /// that came as long a time before.
  ArrivedLoad RecentArrivals_;
  ArrivedLoad PriorArrivals_;
};

enum class MoveReason {
  /// The pool asks for more than it has.
  Shortage,
  /// It is idle away from its home pool.
  Home,
};
std::string_view nameOf(MoveReason Reason);

struct MoveOrder {
  MachineId Machine_;
  PoolName To_;
  MoveReason Reason_ = MoveReason::Shortage;
};

/// Moves idle machines to pools whose queues ask for more than they hold.
///
/// Demand goes round between queues within seconds, so a pool in its turn asks
/// for up to twice its own machines while those of others stand idle. A move
/// takes little more than a second and costs about as much as a machine in a
/// pool for a second; a machine that is needed earns that many times over.
/// Machines that are away from their home pool go first, then those that are
/// off, then those of the pool with most to spare. After the peak each goes
/// home again: a pool's own machines carry the begin of its turn, until others
/// come.
class PoolPlanner {
public:
  /// Machines beyond the demand of the moment that a pool keeps: a job of
  /// common size that comes to a pool at rest starts at once.
  static constexpr std::size_t SpareMachines = 2;
  /// Part of a worker's room that tasks of mixed sizes fill.
  static constexpr double FillFraction = 0.92;
  /// A rise of the inflow counts this many times: a machine that is sent for
  /// now comes after a time one and a half times as long as that over which the
  /// inflow is measured, and the queue has grown with it by then.
  static constexpr double GrowthMultiplier = 1.5;
  /// An idle machine may leave its pool after this.
  static constexpr Duration MinIdleTime = std::chrono::milliseconds(300);
  /// A machine that is away from its home pool goes back when it has been idle
  /// this long: about what the move costs, so that it is not sent to and fro.
  static constexpr Duration MinIdleBeforeReturn =
      std::chrono::milliseconds(1500);

  std::vector<MoveOrder> plan(const std::map<MachineId, MachineView> &Machines,
                              const std::map<PoolName, PoolDemand> &Demand,
                              const std::map<MachineId, PoolName> &Homes,
                              const std::set<PoolName> &Standby,
                              TimePoint Now) const;
};

} // namespace laburnumspread::capacity
