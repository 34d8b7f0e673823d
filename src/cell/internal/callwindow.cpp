#include "cell/callwindow.h"

#include <algorithm>

namespace laburnumspread::cell {

using framework::clock::SteadyClock;
using framework::fibers::Waiter;

namespace {

/// One part in as many of a smoothed time is replaced by a new measurement.
constexpr int SmoothingDivisor = 8;

} // namespace

bool CallWindow::enter(TimePoint Deadline) {
  const TimePoint Now = SteadyClock().now();
  const bool Entered = tryEnter(Now, std::min(Now + MaxWait, Deadline));
  Refused_ += !Entered;
  return Entered;
}

bool CallWindow::tryEnter(TimePoint Now, TimePoint Until) {
  if (Waiting_.empty() && hasRoom(Now)) {
    ++InFlight_;
    return true;
  }
  return Now + expectedWait(Now) <= Until && waitForPlace(Until);
}

bool CallWindow::waitForPlace(TimePoint Until) {
  const auto Turn = std::make_shared<Waiter>();
  Waiting_.push_back(Turn);
  const auto WaitUntil = [&Turn](TimePoint Time) {
    return Turn->waitUntil(
        framework::clock::wallDeadline(Time - SteadyClock().now()));
  };
  if (WaitUntil(std::min(PausedUntil_, Until)))
    return true;
  admitWaiting();
  if (WaitUntil(Until))
    return true;
  std::erase(Waiting_, Turn);
  return false;
}

void CallWindow::leave() {
  --InFlight_;
  if (Limit_ < 1)
    PausedUntil_ = SteadyClock().now() + pause();
  admitWaiting();
}

void CallWindow::recordReply(const peers::CallTiming &Timing, TimePoint Now) {
  const Duration Total = Now - Timing.SentAt_;
  const Duration Transit = Total - Timing.Held_;
  recordTimes(Total, Transit);
  if (Transit > MaxTransit)
    shrink(Timing.SentAt_, Now, MinLimit);
  else if (Transit <= MaxTransitToGrow)
    grow();
  admitWaiting();
}

void CallWindow::recordTimeout(TimePoint SentAt, TimePoint Now) {
  // The message or its reply may have been lost, which is no reason to pause.
  shrink(SentAt, Now, std::min(Limit_, 1.0));
}

void CallWindow::reset() {
  Limit_ = InitialLimit;
  SlowGrowthFrom_ = MaxLimit;
  ReplyTime_ = {};
  Transit_ = {};
  PausedUntil_ = {};
  admitWaiting();
}

Duration CallWindow::pause() const {
  const double Times = 1 / Limit_ - 1;
  return std::chrono::duration_cast<Duration>(
      Times * std::min(ReplyTime_, MaxCountedReplyTime));
}

double CallWindow::places() const { return std::max(1.0, Limit_); }

bool CallWindow::hasRoom(TimePoint Now) const {
  return Now >= PausedUntil_ && static_cast<double>(InFlight_) + 1 <= places();
}

Duration CallWindow::expectedWait(TimePoint Now) const {
  const Duration Pause = std::max(Duration::zero(), PausedUntil_ - Now);
  const double Rounds = static_cast<double>(Waiting_.size() + 1) / places();
  return Pause + std::chrono::duration_cast<Duration>(Rounds * ReplyTime_);
}

void CallWindow::admitWaiting() {
  const TimePoint Now = SteadyClock().now();
  while (!Waiting_.empty() && hasRoom(Now)) {
    ++InFlight_;
    Waiting_.front()->signal();
    Waiting_.pop_front();
  }
}

void CallWindow::recordTimes(Duration Total, Duration Transit) {
  if (ReplyTime_ == Duration::zero())
    ReplyTime_ = Total;
  else
    ReplyTime_ += (Total - ReplyTime_) / SmoothingDivisor;
  Transit_ = std::max(Transit, Transit_ - Transit_ / SmoothingDivisor);
}

void CallWindow::grow() {
  // A limit that was never reached tells nothing about what the leader has time
  // for.
  if (2 * static_cast<double>(InFlight_) < Limit_)
    return;
  const bool Fast = Limit_ < std::max(1.0, SlowGrowthFrom_);
  Limit_ += Fast ? std::min(1.0, Limit_) : 1 / Limit_;
  Limit_ = std::min(Limit_, MaxLimit);
}

void CallWindow::shrink(TimePoint SentAt, TimePoint Now, double Least) {
  if (ShrunkAt_ && SentAt < *ShrunkAt_)
    return;
  ShrunkAt_ = Now;
  Limit_ = std::max(Least, Limit_ / 2);
  SlowGrowthFrom_ = Limit_;
}

} // namespace laburnumspread::cell
