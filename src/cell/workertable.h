#pragma once

#include "cell/celltypes.h"
#include "framework/clock/steadyclock.h"
#include "framework/fibers/waiter.h"

#include <memory>

namespace laburnumspread::cell {

/// A worker's steady clock may run this much slow (the platform's word), so a
/// lease may last longer by our clock.
constexpr double SlowestClock = 0.98;

/// What the holder knows of one life of a worker.
struct WorkerRow {
  WorkerRecord Record_;
  /// Whether the platform's store lists it.
  bool Listed_ = true;
  /// Whether it has answered under this leadership: its list of runs is known
  /// and it refuses orders of earlier holders.
  bool Synced_ = false;
  /// Known to be over: everything that ran on it is gone.
  bool Over_ = false;
  /// The worker's clock as it last told, and when that was heard.
  std::int64_t ClockMs_ = 0;
  TimePoint ClockAt_{};
  /// Latest time at which something ordered by this holder may still run
  /// without a further order.
  TimePoint LeaseEnds_{};
  TimePoint AnsweredAt_{};
  /// Orders without an answer since the last one with.
  std::uint32_t Unanswered_ = 0;
  /// Ends up to here are stored, or are staged.
  std::uint64_t EndsStored_ = 0;
  std::uint64_t EndsStaged_ = 0;
  std::uint64_t EndsTold_ = 0;
  /// Runs that failed or hung there, fading.
  double Distrust_ = 0;
  framework::fibers::WaiterPtr Wake_;

  /// The worker's clock now, by its last word.
  std::int64_t clockMs(TimePoint Now) const {
    return ClockMs_ +
           std::chrono::duration_cast<std::chrono::milliseconds>(Now - ClockAt_)
               .count();
  }

  void heardClock(std::int64_t Told, TimePoint Now) {
    // Answers on different connections may overtake each other.
    if (Told < ClockMs_)
      return;
    ClockMs_ = Told;
    ClockAt_ = Now;
  }

  /// Notes that an order with this lease end leaves. The worker's clock is past
  /// its last word and may run slow, so the end by our clock is the later one.
  void noteDeadline(std::int64_t DeadlineMs) {
    const double Left = static_cast<double>(DeadlineMs - ClockMs_);
    const auto Span = Duration(
        static_cast<std::int64_t>(std::max(0.0, Left) * 1000.0 / SlowestClock));
    LeaseEnds_ = std::max(LeaseEnds_, ClockAt_ + Span);
  }

  /// The next hold to send. A worker that has not answered the last one is only
  /// looked at: a hold that renews its lease might arrive, and the runs there
  /// could then never be given up.
  HoldOrder nextHold(TimePoint Now, jobs::FencingToken Token, Duration Lease,
                     Duration Wait) {
    HoldOrder Order;
    Order.Token_ = Token;
    Order.LastSeen_ = EndsStored_;
    if (!Synced_ || Unanswered_ > 0)
      return Order;
    Order.DeadlineMs_ =
        clockMs(Now) +
        std::chrono::duration_cast<std::chrono::milliseconds>(Lease).count();
    Order.Wait_ = Wait;
    noteDeadline(Order.DeadlineMs_);
    return Order;
  }

  bool usable() const {
    return Listed_ && Synced_ && !Over_ && !Record_.Draining_ &&
           Unanswered_ == 0;
  }

  void wake() {
    if (Wake_)
      Wake_->signal();
  }
};

using WorkerRowPtr = std::shared_ptr<WorkerRow>;
using WorkerTable = std::map<WorkerLife, WorkerRowPtr>;

} // namespace laburnumspread::cell
