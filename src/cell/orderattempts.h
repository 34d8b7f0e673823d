#pragma once

#include "framework/clock/backoff.h"
#include "framework/clock/steadyclock.h"
#include "framework/fibers/waiter.h"

#include <random>

namespace laburnumspread::cell {

/// Returns a random number from 0 to 1, for pauses.
inline double randomShare() {
  static std::mt19937_64 Random(std::random_device{}());
  return std::uniform_real_distribution<double>()(Random);
}

/// Spaces the attempts to send one order.
///
/// The pause counts from the sending of an attempt: a lost reply has taken that
/// time already, while a worker that resets its connections answers at once.
class OrderAttempts {
public:
  /// Longest pause after the first attempt, and after any.
  static constexpr framework::clock::Duration FirstPause =
      std::chrono::milliseconds(50);
  static constexpr framework::clock::Duration MaxPause =
      std::chrono::milliseconds(400);

  /// Waits until the next attempt may be sent; the first one may be at once.
  void awaitNext() {
    const framework::clock::SteadyClock Clock;
    if (NextAt_ > Clock.now())
      framework::fibers::sleepFor(NextAt_ - Clock.now());
    NextAt_ = Clock.now() + Pause_.next(randomShare());
  }

private:
  framework::clock::TimePoint NextAt_{};
  framework::clock::Backoff Pause_{FirstPause, MaxPause};
};

} // namespace laburnumspread::cell
