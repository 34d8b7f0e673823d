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
class AnswerTime {
public:
  /// \p Least: below this an own pause is taken for a lost answer. \p Most:
  /// bound of the doubled wait; also the wait before anything is known.
  AnswerTime(Duration Least, Duration Most) : Least_(Least), Most_(Most) {}

  /// An answer took this long; only of calls that were sent once.
  void answered(Duration Took) {
    if (!Known_) {
      Mean_ = Took;
      Deviation_ = Took / 2;
    } else {
      const Duration Off = Took > Mean_ ? Took - Mean_ : Mean_ - Took;
      Deviation_ += (Off - Deviation_) / DeviationShare;
      Mean_ += (Took - Mean_) / MeanShare;
    }
    Known_ = true;
    Backoff_ = 1;
  }

  /// No answer came within wait().
  void missed() { Backoff_ = std::min(Backoff_ * 2, MostBackoff); }

  Duration wait() const {
    if (!Known_)
      return Most_;
    const Duration Usual = std::max(Least_, Mean_ + 4 * Deviation_);
    return std::min(Most_, Usual * Backoff_);
  }

private:
  /// Shares of the newest answer, RFC 6298.
  static constexpr int MeanShare = 8;
  static constexpr int DeviationShare = 4;
  static constexpr int MostBackoff = 64;

  Duration Least_;
  Duration Most_;
  Duration Mean_{};
  Duration Deviation_{};
  int Backoff_ = 1;
  bool Known_ = false;
};

} // namespace laburnumspread::framework::clock
