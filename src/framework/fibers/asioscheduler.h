#pragma once

#include "framework/fibers/fiberpriority.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>

namespace laburnumspread::framework::fibers {

/// Round-robin fiber scheduler that also runs an io_context on its thread.
/// While no fiber is ready, the thread blocks in the io_context. Handlers run
/// on the scheduler's stack and must not block; they only wake fibers.
///
/// Urgent fibers run in turn, before the others, and I/O and timers are looked
/// at within MaxDispatchDelay. With a plain round, a process that has hundreds
/// of fibers ready and little processor time looks at its timers once in
/// seconds: a leader renewed its lease only after it had expired, however short
/// that work is.
class AsioScheduler final
    : public boost::fibers::algo::algorithm_with_properties<FiberPriority> {
public:
  /// Longest time for which fibers run without a look at I/O and timers, unless
  /// a single one runs for longer.
  static constexpr std::chrono::milliseconds MaxDispatchDelay{5};

  explicit AsioScheduler(boost::asio::io_context &Io);

  void awakened(boost::fibers::context *Fiber,
                FiberPriority &Priority) noexcept override;
  void property_change(boost::fibers::context *Fiber,
                       FiberPriority &Priority) noexcept override;
  boost::fibers::context *pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point &Until) noexcept override;
  void notify() noexcept override;

private:
  /// Whether the dispatcher fiber, which looks at timers, has to run now.
  bool dispatchDue();

  boost::asio::io_context &Io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard_;
  boost::asio::steady_timer WakeTimer_;
  std::chrono::steady_clock::time_point WakeAt_;
  /// Urgent fibers in the order in which they became ready.
  boost::fibers::scheduler::ready_queue_type Urgent_;
  /// The others and the dispatcher, likewise.
  boost::fibers::scheduler::ready_queue_type Ready_;
  boost::fibers::context *Dispatcher_ = nullptr;
  std::chrono::steady_clock::time_point DispatchedAt_;
};

/// Installs an AsioScheduler for \p Io on the calling thread.
void useAsioScheduler(boost::asio::io_context &Io);

} // namespace laburnumspread::framework::fibers
