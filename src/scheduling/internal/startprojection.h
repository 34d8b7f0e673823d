#pragma once

#include "scheduling/internal/placement.h"

#include <map>

namespace laburnumspread::scheduling {

/// Projects the waiting jobs on the starts that the leader can send, and finds
/// those that have to wait for the others.
///
/// The counterpart of BacklogProjection for a leader that is short of processor
/// time. The workers have room then, so no pool is short; what binds is the
/// number of starts a second, whatever the pool. With the least slack first,
/// each job begins at the last moment, and all its later steps wait behind
/// others again: nearly every job ends late. So the fewest are deferred (Moore
/// and Hodgson): of the jobs so far, the one with the most starts, but none
/// that has begun.
class StartProjection {
public:
  /// The leader sends \p StartsPerSecond.
  StartProjection(PlanTime At, double StartsPerSecond)
      : At_(At), StartsPerSecond_(StartsPerSecond) {}

  /// Marks the steps of the jobs that have to wait as deferred. \p Steps are in
  /// scheduling order. Returns whether there are any.
  bool defer(std::vector<ReadyStep> &Steps);

private:
  struct JobStarts {
    const jobs::JobRow *Job_ = nullptr;
    std::size_t Starts_ = 0;
  };

  void addJob(const ReadyStep &Step);
  /// Takes out the job that frees the most starts. Returns it.
  const jobs::JobRow *deferLargest();
  /// Whether the step is started in time after \p Before other starts.
  bool reachedInTime(const ReadyStep &Step, std::size_t Before) const;

  PlanTime At_;
  double StartsPerSecond_;
  /// Starts of the jobs before the one that is looked at, without and with
  /// those that are deferred.
  std::size_t Starts_ = 0;
  std::size_t StartsOfAll_ = 0;
  /// Jobs of the current priority that may be deferred, by their starts.
  std::multimap<std::size_t, JobStarts> Deferrable_;
  std::vector<const jobs::JobRow *> Deferred_;
  /// Jobs that are reached in time if others are deferred, and if none is.
  std::size_t ReachedByDeferral_ = 0;
  std::size_t ReachedOtherwise_ = 0;
  std::pair<bool, std::int64_t> Priority_;
};

} // namespace laburnumspread::scheduling
