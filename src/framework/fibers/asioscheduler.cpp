#include "framework/fibers/asioscheduler.h"

#include "framework/fibers/spawn.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/operations.hpp>

namespace laburnumspread::framework::fibers {

using TimePoint = std::chrono::steady_clock::time_point;

AsioScheduler::AsioScheduler(boost::asio::io_context &Io)
    : Io_(Io), WorkGuard_(Io.get_executor()), WakeTimer_(Io),
      WakeAt_(TimePoint::max()) {}

void AsioScheduler::awakened(boost::fibers::context *Fiber,
                             FiberPriority &Priority) noexcept {
  if (Fiber->is_context(boost::fibers::type::dispatcher_context))
    Dispatcher_ = Fiber;
  Fiber->ready_link(Priority.urgent() ? Urgent_ : Ready_);
}

void AsioScheduler::property_change(boost::fibers::context *Fiber,
                                    FiberPriority &Priority) noexcept {
  if (!Priority.urgent() || !Fiber->ready_is_linked())
    return;
  Fiber->ready_unlink();
  Fiber->ready_link(Urgent_);
}

bool AsioScheduler::dispatchDue() {
  return Dispatcher_ && Dispatcher_->ready_is_linked() &&
         std::chrono::steady_clock::now() - DispatchedAt_ > MaxDispatchDelay;
}

boost::fibers::context *AsioScheduler::pick_next() noexcept {
  if (!has_ready_fibers())
    return nullptr;
  boost::fibers::context *Next = dispatchDue()      ? Dispatcher_
                                 : !Urgent_.empty() ? &Urgent_.front()
                                                    : &Ready_.front();
  Next->ready_unlink();
  // Fibers that keep waking each other would starve all I/O without this poll.
  if (Next->is_context(boost::fibers::type::dispatcher_context)) {
    Io_.poll();
    DispatchedAt_ = std::chrono::steady_clock::now();
  }
  return Next;
}

bool AsioScheduler::has_ready_fibers() const noexcept {
  return !Ready_.empty() || !Urgent_.empty();
}

void AsioScheduler::suspend_until(const TimePoint &Until) noexcept {
  if (Until != WakeAt_) {
    WakeAt_ = Until;
    // Setting a new expiry cancels the previous wait.
    WakeTimer_.expires_at(Until);
    if (Until != TimePoint::max())
      WakeTimer_.async_wait([this](const boost::system::error_code &Error) {
        if (!Error)
          WakeAt_ = TimePoint::max();
      });
  }
  Io_.run_one();
  Io_.poll();
}

void AsioScheduler::notify() noexcept {
  boost::asio::post(Io_, [] {});
}

namespace {

/// Whether the fibers of this thread have priorities.
thread_local bool HasPriorities = false;

} // namespace

void useAsioScheduler(boost::asio::io_context &Io) {
  HasPriorities = true;
  boost::fibers::use_scheduling_algorithm<AsioScheduler>(Io);
}

void makeUrgent(boost::fibers::fiber &Fiber) {
  if (HasPriorities)
    Fiber.properties<FiberPriority>().setUrgent();
}

} // namespace laburnumspread::framework::fibers
