#pragma once

#include "framework/clock/steadyclock.h"
#include "framework/fibers/waiter.h"

#include <boost/fiber/operations.hpp>

namespace laburnumspread::framework::fibers {

/// Bounds how long a fiber with much work keeps the others waiting. Fibers are
/// not preempted, and until one gives way no timer and no socket is looked at.
/// Starts when it is created; work that waits for something begins a new one
/// afterwards.
class TimeSlice {
public:
  /// Longest run without giving way, apart from one step of the work. As long
  /// as ready fibers run in turn before timers are looked at, so that a yield
  /// then does it.
  static constexpr clock::Duration MaxRun = std::chrono::milliseconds(5);
  /// As short as a timer allows. Ready fibers run for
  /// AsioScheduler::MaxDispatchDelay before the timer is looked at.
  static constexpr clock::Duration Pause = std::chrono::milliseconds(1);

  /// If the slice is used up, looks at timers and sockets, and lets the urgent
  /// fibers run first. For urgent work that ends.
  void yieldIfUsed() {
    if (!used())
      return;
    boost::this_fiber::yield();
    restart();
  }

  /// If the slice is used up, lets all fibers run for about as long. For work
  /// that may never end.
  void pauseIfUsed() {
    if (!used())
      return;
    sleepFor(Pause);
    restart();
  }

private:
  static clock::TimePoint now() { return clock::SteadyClock().now(); }
  bool used() const { return now() >= EndsAt_; }
  void restart() { EndsAt_ = now() + MaxRun; }

  clock::TimePoint EndsAt_ = now() + MaxRun;
};

} // namespace laburnumspread::framework::fibers
