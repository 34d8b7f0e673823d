#pragma once

#include "framework/clock/clock.h"

#include <memory>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

namespace laburnumspread::framework::fibers {

/// A one-shot signal that one fiber waits for and any code on the same thread
/// gives. Held by shared ownership, so that a late signal finds it alive.
class Waiter {
public:
  /// Wakes the waiting fiber; later calls change nothing.
  void signal();

  /// Waits for the signal or the deadline. Returns whether it was signalled.
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
