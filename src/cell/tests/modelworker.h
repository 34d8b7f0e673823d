#pragma once

#include "cell/runtracker.h"
#include "cell/workertable.h"

#include <algorithm>

namespace laburnumspread::cell::model {

using namespace std::chrono_literals;
using jobs::EndKind;
using jobs::FencingToken;
using jobs::RunName;
using jobs::RunNumber;
using jobs::TaskName;

constexpr auto Lease = 6000ms;

/// Number of ends in one report of a model worker. It is small, so that reports
/// are often cut, and the leaders do not know it.
constexpr std::size_t ModelEndsPerReport = 2;

/// A hold that waits at a worker: it drops the ends up to a number that happen
/// by a time.
struct WaitingHold {
  std::uint64_t AcknowledgedEnds_ = 0;
  TimePoint Until_{};
};

/// A worker that behaves as the platform specifies.
struct ModelWorker {
  std::size_t EndsPerReport_ = ModelEndsPerReport;
  WorkerId Id_;
  std::int64_t StartedMs_ = 1;
  TimePoint StartedAt_{};
  double Rate_ = 1;
  FencingToken Token_;
  /// When the latest order or event happened.
  TimePoint Now_{};
  /// Whether an order has been executed that was meant for this incarnation.
  bool Reached_ = false;
  /// Holds that were meant for a former incarnation and wait here, by the
  /// address of the message.
  std::map<const void *, WaitingHold> WaitingHolds_;
  std::int64_t LeaseEndMs_ = 0;
  std::set<RunName> Running_;
  std::vector<EndReport> Ends_;
  std::uint64_t NextEnd_ = 1;
  /// Ends up to this number were there when the lease last expired.
  std::uint64_t LastLapsedEnd_ = 0;
  /// Runs that ended as done here and whose ends were acknowledged with the
  /// lease held from one to the other. If both the start and the
  /// acknowledgement were meant for a former incarnation, the end does not
  /// count: no leader could have seen it.
  std::vector<RunName> AcknowledgedDone_;
  /// Runs whose starts were meant for a former incarnation.
  std::set<RunName> StaleRuns_;
  /// For each task, the highest run number that can no longer start.
  std::map<TaskName, RunNumber> Blocked_;

  WorkerIncarnation incarnation() const { return {Id_, StartedMs_}; }

  std::int64_t clockMs(TimePoint Now) const {
    return 1000 + static_cast<std::int64_t>(
                      Rate_ * static_cast<double>((Now - StartedAt_).count()) /
                      1000.0);
  }

  /// Takes the run by value because the caller may pass an element of Running_.
  void end(RunName Run, EndKind Kind) {
    Running_.erase(Run);
    Ends_.push_back({NextEnd_++, Run, Kind, jobs::Checkpoint()});
    block(Run);
    for (const auto &[Message, Hold] : WaitingHolds_)
      if (Now_ <= Hold.Until_)
        acknowledge(Hold.AcknowledgedEnds_, false);
  }
  void block(const RunName &Run) {
    RunNumber &Last = Blocked_[Run.Task_];
    Last = std::max(Last, Run.Run_);
  }
  void expireLease(TimePoint Now) {
    Now_ = Now;
    if (clockMs(Now) < LeaseEndMs_)
      return;
    const auto All = Running_;
    for (const RunName &Run : All)
      end(Run, EndKind::LeaseExpired);
    LastLapsedEnd_ = NextEnd_ - 1;
  }
  void acknowledge(std::uint64_t Last, bool MeantForThis) {
    for (const EndReport &Row : Ends_)
      if (Row.Number_ <= Last && Row.Number_ > LastLapsedEnd_ &&
          Row.Kind_ == EndKind::Done &&
          (MeantForThis || !StaleRuns_.contains(Row.Run_)))
        AcknowledgedDone_.push_back(Row.Run_);
    std::erase_if(Ends_,
                  [&](const EndReport &Row) { return Row.Number_ <= Last; });
  }
  void extend(std::int64_t DeadlineMs, TimePoint Now) {
    const std::int64_t Most = clockMs(Now) + Lease.count();
    LeaseEndMs_ = std::max(LeaseEndMs_, std::min(DeadlineMs, Most));
  }

  OrderReply start(const StartOrder &Order, std::int64_t StartedMs,
                   TimePoint Now) {
    expireLease(Now);
    const std::int64_t Clock = clockMs(Now);
    if (Order.Token_ < Token_)
      return {OrderResult::Fenced, Clock};
    Token_ = Order.Token_;
    Reached_ = Reached_ || StartedMs == StartedMs_;
    if (Order.DeadlineMs_ < Clock)
      return {OrderResult::TooLate, Clock};
    extend(Order.DeadlineMs_, Now);
    if (Running_.contains(Order.Run_))
      return {OrderResult::Done, Clock};
    const auto Last = Blocked_.find(Order.Run_.Task_);
    if (Last != Blocked_.end() && Order.Run_.Run_ <= Last->second)
      return {OrderResult::OldRun, Clock};
    Running_.insert(Order.Run_);
    if (StartedMs != StartedMs_)
      StaleRuns_.insert(Order.Run_);
    return {OrderResult::Done, Clock};
  }

  OrderReply stop(const RunName &Run, FencingToken Token,
                  std::int64_t StartedMs, TimePoint Now) {
    expireLease(Now);
    if (Token < Token_)
      return {OrderResult::Fenced, clockMs(Now)};
    Token_ = Token;
    Reached_ = Reached_ || StartedMs == StartedMs_;
    if (Running_.contains(Run))
      end(Run, EndKind::Stopped);
    block(Run);
    return {OrderResult::Done, clockMs(Now)};
  }

  HoldReply hold(const HoldOrder &Order, std::int64_t StartedMs,
                 TimePoint Now) {
    expireLease(Now);
    HoldReply Reply;
    Reply.ClockMs_ = clockMs(Now);
    if (Order.Token_ < Token_) {
      Reply.Result_ = OrderResult::Fenced;
      return Reply;
    }
    Token_ = Order.Token_;
    Reached_ = Reached_ || StartedMs == StartedMs_;
    if (Order.DeadlineMs_ > 0)
      extend(Order.DeadlineMs_, Now);
    Reply.Result_ = StartedMs == StartedMs_ ? OrderResult::Done
                                            : OrderResult::OtherIncarnation;
    acknowledge(Order.AcknowledgedEnds_, StartedMs == StartedMs_);
    for (const RunName &Run : Running_)
      Reply.Running_.push_back({Run, jobs::Checkpoint(), 100, 0});
    const auto Listed = std::min(Ends_.size(), EndsPerReport_);
    Reply.Ends_.assign(Ends_.begin(),
                       Ends_.begin() + static_cast<std::ptrdiff_t>(Listed));
    return Reply;
  }

  void restart(TimePoint Now) {
    ModelWorker Fresh;
    Fresh.EndsPerReport_ = EndsPerReport_;
    Fresh.Id_ = Id_;
    Fresh.StartedMs_ = StartedMs_ + 1;
    Fresh.StartedAt_ = Now;
    Fresh.Rate_ = Rate_;
    *this = Fresh;
  }
};

} // namespace laburnumspread::cell::model
