#pragma once

#include "framework/clock/clock.h"

#include <algorithm>

namespace laburnumspread::framework::clock {

/// How long to wait for an answer before a call is repeated, for calls that may
/// be repeated without harm.
///
/// The failure: an answer, or the call itself, is lost, and everything behind
/// it waits for a fixed time that must suit the slowest day. So the wait
/// follows the answers that came: their smoothed mean and four times their
/// mean deviation, as TCP sets its retransmission time (RFC 6298). Without an
/// answer the wait doubles, which finds a peer that has become slower.
class AdaptiveTimeout {
public:
  /// \p Min: below this an own pause is taken for a lost answer. \p Max:
  /// bound of the doubled wait; also the wait before anything is known.
  AdaptiveTimeout(Duration Min, Duration Max) : Min_(Min), Max_(Max) {}

  /// An answer took this long; only of calls that were sent once.
  void recordResponse(Duration ResponseTime) {
    if (!HasSample_) {
      Mean_ = ResponseTime;
      Deviation_ = ResponseTime / 2;
    } else {
      const Duration Error =
          ResponseTime > Mean_ ? ResponseTime - Mean_ : Mean_ - ResponseTime;
      Deviation_ += (Error - Deviation_) / DeviationDivisor;
      Mean_ += (ResponseTime - Mean_) / MeanDivisor;
    }
    HasSample_ = true;
    Backoff_ = 1;
  }

  /// No answer came within timeout().
  void recordTimeout() { Backoff_ = std::min(Backoff_ * 2, MaxBackoff); }

  Duration timeout() const {
    if (!HasSample_)
      return Max_;
    const Duration Base = std::max(Min_, Mean_ + 4 * Deviation_);
    return std::min(Max_, Base * Backoff_);
  }

private:
  /// Shares of the newest answer, RFC 6298.
  static constexpr int MeanDivisor = 8;
  static constexpr int DeviationDivisor = 4;
  static constexpr int MaxBackoff = 64;

  Duration Min_;
  Duration Max_;
  Duration Mean_{};
  Duration Deviation_{};
  int Backoff_ = 1;
  bool HasSample_ = false;
};

} // namespace laburnumspread::framework::clock
