#pragma once

#include "cell/workertable.h"
#include "jobs/celltable.h"

namespace laburnumspread::cell {

/// Chooses the unused workers that a leader polls.
///
/// A worker without runs costs the leader nothing: it has no session, and its
/// first start is preceded by a poll. Three kinds are polled all the same.
/// Those that may execute orders meant for an earlier incarnation refuse them
/// once they are called (WorkerHistory), so they come first. Those that did not
/// reply receive no tasks until they do. And in each pool some that have never
/// replied are polled ahead of need, so that a peak seldom waits for first
/// replies or meets a worker that is gone.
///
/// The number of polls in flight is bounded; of the first two kinds, those
/// whose polls have been due for longest go first. Without a bound, a leader
/// that is short of processor time reads replies late, takes the workers for
/// silent, polls all of them again, and has no time left for those in use.
class WorkerPolls {
public:
  /// Most polls of unused workers in flight.
  static constexpr std::size_t MaxInFlight = 32;
  /// Pause between two polls of an unused worker that does not reply.
  static constexpr Duration SilentInterval = std::chrono::milliseconds(500);
  /// Fewest unused workers of a pool that are known to reply.
  static constexpr std::size_t MinReserve = 32;
  /// In a pool with many workers in use, the reserve is this part of them.
  static constexpr std::size_t InUsePerReserve = 4;

  /// Returns the workers to poll now, at most as many as may still be sent
  /// beside \p InFlight polls.
  static std::vector<WorkerRowPtr> choose(const WorkerTable &Workers,
                                          const jobs::CellTable &Table,
                                          std::size_t InFlight, TimePoint Now);
};

} // namespace laburnumspread::cell
