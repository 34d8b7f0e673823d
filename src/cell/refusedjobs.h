#pragma once

#include "framework/clock/clock.h"
#include "jobs/jobtypes.h"

#include <deque>
#include <optional>

#include <absl/container/flat_hash_map.h>

namespace laburnumspread::cell {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// Remembers which jobs were refused lately, to tell how many of their callers
/// come back, and with what result.
class RefusedJobs {
public:
  /// Callers that return later than this are not counted.
  static constexpr Duration Retention = std::chrono::seconds(60);
  /// Bounds the memory while very many jobs are refused; the oldest are
  /// forgotten first.
  static constexpr std::size_t MaxJobs = 20'000;

  /// Records a refusal.
  void add(const jobs::JobId &Job, TimePoint Now);
  /// Forgets the job. Returns the time since its last refusal, or nullopt if
  /// none is known.
  std::optional<Duration> take(const jobs::JobId &Job, TimePoint Now);
  /// Number of refusals kept.
  std::size_t size() const { return Order_.size(); }

private:
  void forgetBefore(TimePoint Oldest);
  void forgetFirst();

  absl::flat_hash_map<jobs::JobId, TimePoint> RefusedAt_;
  /// All refusals by time, also of jobs that were taken since.
  std::deque<std::pair<TimePoint, jobs::JobId>> Order_;
};

} // namespace laburnumspread::cell
