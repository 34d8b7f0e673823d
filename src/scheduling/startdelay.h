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

  /// Adds the delay of a start that its worker accepted at the first attempt.
  void record(Duration Delay) {
    const Duration Counted = std::clamp(Delay, Duration::zero(), MaxCounted);
    const Duration Error = Counted > Mean_ ? Counted - Mean_ : Mean_ - Counted;
    Deviation_ += (Error - Deviation_) / DeviationDivisor;
    Mean_ += (Counted - Mean_) / MeanDivisor;
  }

  /// Delay within which most of the next starts arrive; zero before the first.
  Duration expected() const { return Mean_ + Deviation_; }

  /// Time to let further ends gather on a worker before the next report is
  /// requested. Zero while starts arrive at once. A leader that is behind would
  /// otherwise request a report for each end; with half of the delay that it
  /// has anyway, it requests fewer, and catches up.
  Duration reportPause() const {
    return Mean_ < BehindFrom ? Duration::zero()
                              : std::min(Mean_ / 2, MaxReportPause);
  }

  /// A store's answer and a round trip to a worker, several times over.
  static constexpr Duration BehindFrom = std::chrono::milliseconds(60);
  /// A fraction of the time that a task of a second may be late.
  static constexpr Duration MaxReportPause = std::chrono::milliseconds(150);

private:
  /// Smoothing as for round-trip times (RFC 6298).
  static constexpr int MeanDivisor = 8;
  static constexpr int DeviationDivisor = 4;

  Duration Mean_{};
  Duration Deviation_{};
};

} // namespace laburnumspread::scheduling
