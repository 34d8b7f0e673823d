#include "framework/fibers/asioscheduler.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/operations.hpp>

namespace laburnumspread::framework::fibers {

using TimePoint = std::chrono::steady_clock::time_point;

AsioScheduler::AsioScheduler(boost::asio::io_context &Io)
    : Io_(Io), WorkGuard_(Io.get_executor()), WakeTimer_(Io),
      WakeAt_(TimePoint::max()) {}

void AsioScheduler::awakened(boost::fibers::context *Fiber) noexcept {
  Fiber->ready_link(Ready_);
}

boost::fibers::context *AsioScheduler::pick_next() noexcept {
  if (Ready_.empty())
    return nullptr;
  boost::fibers::context *Next = &Ready_.front();
  Ready_.pop_front();
  // The dispatcher fiber runs once per round of the ready queue. Without this
  // poll, fibers that keep waking each other would starve all I/O.
  if (Next->is_context(boost::fibers::type::dispatcher_context))
    Io_.poll();
  return Next;
}

bool AsioScheduler::has_ready_fibers() const noexcept {
  return !Ready_.empty();
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

void useAsioScheduler(boost::asio::io_context &Io) {
  boost::fibers::use_scheduling_algorithm<AsioScheduler>(Io);
}

} // namespace laburnumspread::framework::fibers
