#pragma once

#include "cell/celltypes.h"
#include "framework/metrics/metrics.h"

#include <absl/status/status.h>

namespace laburnumspread::cell {

/// Reads of a list that the leader decides by, such as that of the workers.
///
/// Without its lists a leader accepts jobs and starts none of them, while the
/// store and all its own calls look well. It says so after a bound, and the
/// counters `list_reads_failed_total` tell which list it is.
class ListReads {
public:
  /// Interval between reports of a list that stays lost.
  static constexpr Duration ReportInterval = std::chrono::seconds(5);

  /// \p Name is that of the list in log lines and metrics. The list counts as
  /// lost when no read has succeeded for \p Longest.
  ListReads(std::string Name, Duration Longest,
            framework::metrics::Registry &Metrics, TimePoint Now)
      : Name_(std::move(Name)), Longest_(Longest), Metrics_(Metrics),
        ReadAt_(Now), ReportAt_(Now + Longest) {}

  /// Records that the list was read to its end.
  void recordRead(TimePoint Now);
  /// Records that a read failed.
  void recordFailure(const absl::Status &Reason, TimePoint Now);
  /// Whether the list is lost, as last reported.
  bool reportedLost() const { return ReportedLost_; }

private:
  std::string Name_;
  Duration Longest_;
  framework::metrics::Registry &Metrics_;
  TimePoint ReadAt_;
  TimePoint ReportAt_;
  bool ReportedLost_ = false;
};

} // namespace laburnumspread::cell
