#pragma once

#include "framework/clock/clock.h"

#include <memory>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace laburnumspread::framework::fibers {

/// One-shot event that one fiber waits for and any code on the same thread can
/// signal. Held by shared pointer, so that it outlives a late signal().
class Waiter {
public:
  /// Wakes the waiting fiber. Further calls have no effect.
  void signal();

  /// Waits until signal() is called or \p Deadline has passed. Returns whether
  /// the event was signalled.
  bool waitUntil(clock::TimePoint Deadline);

  bool signalled() const { return Signalled_; }

private:
  boost::fibers::mutex Mutex_;
  boost::fibers::condition_variable Changed_;
  bool Signalled_ = false;
};

using WaiterPtr = std::shared_ptr<Waiter>;

/// Suspends the calling fiber until \p Deadline.
void sleepUntil(clock::TimePoint Deadline);

/// Suspends the calling fiber for \p Time from now.
void sleepFor(clock::Duration Time);

} // namespace laburnumspread::framework::fibers
