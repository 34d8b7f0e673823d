#include "framework/fibers/waiter.h"

#include <boost/fiber/operations.hpp>

namespace laburnumspread::framework::fibers {

namespace {

/// Converts a wall-clock deadline to the steady clock that fibers sleep on.
std::chrono::steady_clock::time_point toSteady(clock::TimePoint Deadline) {
  const clock::Duration Left = Deadline - clock::SystemClock().now();
  return std::chrono::steady_clock::now() + Left;
}

} // namespace

void Waiter::signal() {
  Signalled_ = true;
  Changed_.notify_all();
}

bool Waiter::waitUntil(clock::TimePoint Deadline) {
  std::unique_lock<boost::fibers::mutex> Lock(Mutex_);
  Changed_.wait_until(Lock, toSteady(Deadline), [this] { return Signalled_; });
  return Signalled_;
}

void sleepUntil(clock::TimePoint Deadline) {
  boost::this_fiber::sleep_until(toSteady(Deadline));
}

void sleepFor(clock::Duration Time) { boost::this_fiber::sleep_for(Time); }

} // namespace laburnumspread::framework::fibers
