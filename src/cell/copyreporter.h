#pragma once

#include "cell/celltypes.h"
#include "framework/metrics/metrics.h"
#include "scheduling/stragglers.h"

namespace laburnumspread::cell {

/// Shows operators the second runs of tasks and what they cost: a log line for
/// each, and counters.
class CopyReporter {
public:
  explicit CopyReporter(framework::metrics::Registry &Metrics)
      : Started_(Metrics.counter("speculative_runs_total")),
        Won_(Metrics.counter("speculative_runs_won_total")),
        CoreSeconds_(Metrics.counter("speculative_core_seconds_total")) {}

  /// A copy has been planned.
  void started(const scheduling::Copy &Item);
  /// A copy has ended. \p Time passed since its worker accepted it, zero if
  /// that is not known. \p Won if it was done before the run that it
  /// duplicates.
  void ended(Duration Time, std::int64_t MilliCpus, bool Won);

private:
  framework::metrics::Counter &Started_;
  framework::metrics::Counter &Won_;
  framework::metrics::Counter &CoreSeconds_;
  /// The part of a core-second that has not been counted yet.
  double Remainder_ = 0;
};

} // namespace laburnumspread::cell
