#pragma once

#include "framework/clock/clock.h"

#include <algorithm>

namespace laburnumspread::scheduling {

using framework::clock::Duration;

/// Time from planning a start until its worker has it, as measured: the store
/// keeps the intent, the start waits for its turn, the worker answers. It grows
/// when the leader is short of processor or the store is slow.
class StartDelay {
public:
  /// Longer delays count as this: the worker did not answer in time.
  static constexpr Duration MaxCounted = std::chrono::seconds(1);

  /// \p Initial is the delay to expect before the first is measured.
  explicit StartDelay(Duration Initial = Duration::zero()) : Mean_(Initial) {}

  /// Adds the delay of a start that its worker accepted at the first attempt.
  void record(Duration Delay) {
    const Duration Counted = std::clamp(Delay, Duration::zero(), MaxCounted);
    const Duration Error = Counted > Mean_ ? Counted - Mean_ : Mean_ - Counted;
    Deviation_ += (Error - Deviation_) / DeviationDivisor;
    Mean_ += (Counted - Mean_) / MeanDivisor;
  }

  /// Delay within which most of the next starts arrive.
  Duration expected() const { return Mean_ + Deviation_; }

private:
  /// Smoothing as for round-trip times (RFC 6298).
  static constexpr int MeanDivisor = 8;
  static constexpr int DeviationDivisor = 4;

  Duration Mean_;
  Duration Deviation_{};
};

} // namespace laburnumspread::scheduling
