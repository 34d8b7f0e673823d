#pragma once

#include "jobs/jobtypes.h"

#include <array>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace laburnumspread::scheduling {

using framework::clock::Duration;

/// Compares the run times on each worker with those expected, to find workers
/// that delay their tasks. Kept in memory only: a new leader measures anew.
class WorkerSpeeds {
public:
  /// Number of latest runs of a worker that count, and the number from which on
  /// it is judged. Fewer would judge it by the deviation of single tasks.
  static constexpr std::size_t MaxRuns = 15;
  static constexpr std::size_t MinRuns = 5;
  /// A worker is slow if its median ratio of measured to expected run time is
  /// above this many times that of all workers.
  static constexpr double SlowFactor = 1.5;

  /// Adds a run that was done on the worker. Ignored if either time is not
  /// positive.
  void recordRun(const jobs::WorkerIncarnation &Worker, Duration Expected,
                 Duration Measured);
  /// Drops what is known about a worker that is gone.
  void forget(const jobs::WorkerIncarnation &Worker) { Rows_.erase(Worker); }

  /// Returns the slow workers. Takes time in proportion to their number.
  absl::flat_hash_set<jobs::WorkerIncarnation> slowWorkers() const;

private:
  struct Row {
    /// Ring buffer of the latest ratios.
    std::array<float, MaxRuns> Ratios_{};
    std::size_t Recorded_ = 0;

    float median() const;
  };

  absl::flat_hash_map<jobs::WorkerIncarnation, Row> Rows_;
};

} // namespace laburnumspread::scheduling
