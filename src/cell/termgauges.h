#pragma once

#include "cell/workerrestriction.h"
#include "framework/clock/clock.h"
#include "framework/metrics/metrics.h"

namespace laburnumspread::cell {

/// Metrics of the leader's term. An entry that does not lead publishes default
/// values; otherwise the last values of a former leader would look like the
/// cell's current ones.
struct TermGauges {
  std::uint64_t Token_ = 0;
  std::size_t JobsOpen_ = 0;
  std::size_t JobsKnown_ = 0;
  std::size_t RunsLive_ = 0;
  std::size_t RunsUnconfirmed_ = 0;
  /// Number of runs that should be gone, because their job has ended or they
  /// are being stopped, and the time for which the oldest of them has been so.
  std::size_t RunsUnwanted_ = 0;
  framework::clock::Duration OldestUnwanted_{};
  std::size_t Workers_ = 0;
  std::size_t WorkersSilent_ = 0;
  /// Workers that may execute orders meant for an earlier incarnation, as they
  /// have not replied yet.
  std::size_t WorkersUnfenced_ = 0;
  /// Workers by what keeps them from new tasks.
  WorkerCounts Restricted_;
  /// Workers in evacuated zones, and the runs that continue there.
  std::size_t WorkersEvacuated_ = 0;
  std::size_t RunsEvacuated_ = 0;
  /// Time since the list of workers was last read or its watch answered.
  framework::clock::Duration WorkersListAge_{};
  bool StoreStalled_ = false;
  /// Expected time from planning a start until its worker has it.
  framework::clock::Duration StartDelay_{};
  /// How late the leader's fibers run.
  framework::clock::Duration FiberDelay_{};

  /// Writes the values to the gauges in \p Into.
  void publish(framework::metrics::Registry &Into) const;
};

} // namespace laburnumspread::cell
