#pragma once

#include "jobs/jobtypes.h"

#include <vector>

namespace laburnumspread::scheduling {

/// Latency of a serving task, from its last report.
struct ServingLatency {
  std::int64_t TargetMs_ = 0;
  std::int64_t TailMs_ = 0;
};

/// Controls the speed of a worker's filler tasks, in percent of full speed.
///
/// Filler tasks slow down the serving tasks on the same worker by an amount
/// that is not known beforehand and changes within seconds. The pace is
/// therefore halved as soon as a serving task approaches its latency target,
/// and raised slowly while all are well below it. This is the additive
/// increase, multiplicative decrease (AIMD) of congestion control; it converges
/// just below the pace at which serving tasks miss their targets.
class Pacer {
public:
  /// Fraction of the target above which the pace is halved.
  static constexpr double CutAbove = 0.85;
  /// Fraction of the target below which the pace is raised.
  static constexpr double RaiseBelow = 0.65;
  /// Percentage points by which the pace is raised per report.
  static constexpr int RaisePercent = 10;
  /// A pace below this becomes 0: a task this slow makes no useful progress.
  static constexpr int MinPercent = 10;
  static constexpr int FullPercent = 100;

  /// Returns the new pace after a report of the worker's serving tasks. Tasks
  /// without a target are ignored.
  int update(const std::vector<ServingLatency> &Serving);
  int percent() const { return Percent_; }

private:
  int Percent_ = FullPercent;
};

} // namespace laburnumspread::scheduling
