#pragma once

#include "framework/clock/clock.h"

#include <algorithm>

namespace laburnumspread::framework::clock {

/// Retry timeout for idempotent calls, estimated from measured response times.
///
/// A fixed timeout has to suit the slowest peer, so one lost request or
/// response would block all work queued behind it for that long. This timeout
/// is instead the smoothed mean of the response times plus four times their
/// mean deviation, like the TCP retransmission timer (RFC 6298). Each timeout
/// doubles it, so that it adapts to a peer that has become slower.
class AdaptiveTimeout {
public:
  /// \param Min lower bound; with a shorter timeout, a pause of the local
  ///   process would be mistaken for a lost response.
  /// \param Max upper bound, also with backoff; used until the first response.
  AdaptiveTimeout(Duration Min, Duration Max) : Min_(Min), Max_(Max) {}

  /// Adds a response time and resets the backoff. Only for calls that were
  /// sent once: after a retry, it is unknown which attempt was answered.
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

  /// Doubles the backoff after a call got no response within timeout().
  void recordTimeout() { Backoff_ = std::min(Backoff_ * 2, MaxBackoff); }

  /// Time to wait for the next response.
  Duration timeout() const {
    if (!HasSample_)
      return Max_;
    const Duration Base = std::max(Min_, Mean_ + 4 * Deviation_);
    return std::min(Max_, Base * Backoff_);
  }

private:
  /// Smoothing factors 1/8 (mean) and 1/4 (deviation) of RFC 6298.
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
