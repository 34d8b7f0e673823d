#pragma once

#include "capacity/capacitytypes.h"

#include <map>

namespace laburnumspread::capacity {

/// In which order the queues' pools had their peaks.
///
/// Demand goes round: each queue in its turn asks for several times its mean,
/// then for next to nothing until all others have had theirs. So the pool whose
/// peak lies furthest back comes next and keeps its machines ready, while one
/// whose peak has just ended can do without them for the turns of the others.
/// Nothing is assumed of the length of a turn or of which pool follows which.
class Turns {
public:
  /// A pool is at its peak while what its finite tasks need is at least this
  /// part of the machines that belong to it.
  static constexpr double PeakPart = 0.5;
  /// A peak is over after this time below it: batches come in bursts.
  static constexpr Duration PeakEnds = std::chrono::milliseconds(1500);

  /// Notes what a pool asks for: machines for its finite tasks, of those that
  /// belong to it.
  void note(const PoolName &Pool, std::size_t Wanted, std::size_t Own,
            TimePoint Now);

  /// Whether the pool's turn is over, and at least \p Others others come
  /// before its next.
  bool resting(const PoolName &Pool, std::size_t Others, TimePoint Now) const;

private:
  /// Last moment at a peak; the epoch for a pool that has had none.
  std::map<PoolName, TimePoint> LastPeak_;
};

} // namespace laburnumspread::capacity
