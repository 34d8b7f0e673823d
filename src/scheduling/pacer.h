#pragma once

#include "jobs/jobtypes.h"

#include <vector>

namespace laburnumspread::scheduling {

/// A task that serves users, by its last report.
struct ServingLatency {
  std::int64_t TargetMs_ = 0;
  std::int64_t TailMs_ = 0;
};

/// How fast the tasks of one worker that only fill may work, in percent.
///
/// Tasks that fill disturb those that serve by amounts that nobody knows
/// beforehand and that change within seconds. So the pace is cut at once and by
/// half when a serving task comes near its target, and raised slowly while all
/// are well below it: the additive-increase, multiplicative-decrease of
/// congestion control, which settles just under the point of harm.
class Pacer {
public:
  /// Part of the target above which the pace is cut.
  static constexpr double CutAbove = 0.85;
  /// Part of the target below which it may be raised.
  static constexpr double RaiseBelow = 0.65;
  static constexpr int RaisePercent = 10;
  /// Below this a task is stopped rather than paced: half of little is nothing.
  static constexpr int MinPercent = 10;
  static constexpr int FullPercent = 100;

  /// The next pace after a report.
  int update(const std::vector<ServingLatency> &Serving);
  int percent() const { return Percent_; }

private:
  int Percent_ = FullPercent;
};

} // namespace laburnumspread::scheduling
