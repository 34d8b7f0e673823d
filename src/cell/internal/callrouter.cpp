#include "cell/callrouter.h"

#include <algorithm>

namespace laburnumspread::cell {

using framework::clock::SteadyClock;
using peers::JobCallStatus;
using peers::JobReply;

CallResult CallRouter::call(peers::JobCall Call, TimePoint LeaderDeadline,
                            TimePoint Deadline) {
  const auto Own = std::make_shared<PendingCall>(std::move(Call));
  Own->Call_.Sequence_ = Next_++;
  Pending_[Own->Call_.Sequence_] = Own;
  sendUntilAnswered(*Own, LeaderDeadline, Deadline);
  Pending_.erase(Own->Call_.Sequence_);
  leaveWindow(*Own);
  const JobReply Answer = Own->Replies_.answerAtDeadline();
  Answered_.record(Own->Call_, Answer);
  return {Answer, Own->Call_.Sequence_, Own->Asked_,
          Own->Replies_.attempts().count()};
}

void CallRouter::sendUntilAnswered(PendingCall &Own, TimePoint LeaderDeadline,
                                   TimePoint Deadline) {
  while (!Own.Replies_.answer() && SteadyClock().now() < Deadline) {
    if (!enterWindow(Own, Deadline))
      return Own.Replies_.notSent(peers::RefusalReason::LeaderBusy);
    sendAttempt(Own);
    waitForReply(Own, Deadline);
    if (Own.LeaderDenied_)
      pauseAfterDenial(Own);
    if (!Own.Replies_.mayBeDecided() && !mayFindLeader(LeaderDeadline))
      return;
  }
}

bool CallRouter::leaderIsRemote() const {
  const journal::Leader Leader = Routes_.Leader_();
  return !Routes_.IsLeader_() && Leader.Token_.value() != 0 &&
         !Routes_.IsThisProcess_(Leader);
}

bool CallRouter::enterWindow(PendingCall &Own, TimePoint Deadline) {
  if (!Own.Entered_ && leaderIsRemote())
    Own.Entered_ = Window_.enter(Deadline);
  return Own.Entered_ || !leaderIsRemote();
}

void CallRouter::leaveWindow(const PendingCall &Own) {
  if (!Own.Entered_)
    return;
  if (!Own.Replied_ && Own.Call_.SentAt_)
    Window_.recordTimeout(*Own.Call_.SentAt_, SteadyClock().now());
  Window_.leave();
}

void CallRouter::sendAttempt(PendingCall &Own) {
  Own.Wake_ = std::make_shared<framework::fibers::Waiter>();
  Own.LeaderDenied_ = false;
  const journal::Leader Leader = Routes_.Leader_();
  const bool Local = Routes_.IsLeader_();
  if (!Local && !leaderIsRemote())
    return recordLeaderMissing();
  Own.Asked_ = Leader;
  Own.Call_.Token_ = Leader.Token_.value();
  Own.Call_.Attempt_ = Own.Replies_.sent(Leader.Token_);
  Own.Call_.SentAt_ =
      Local ? std::nullopt : std::optional<TimePoint>(SteadyClock().now());
  if (Local)
    Routes_.HandleLocally_(
        Own.Call_, [this](const JobReply &Reply) { handleReply(Reply); });
  else
    Routes_.Send_(Leader, Own.Call_, {Own.Call_.Attempt_, Own.Forwarded_});
}

void CallRouter::waitForReply(PendingCall &Own, TimePoint Deadline) const {
  if (Own.Replies_.answer() || Own.LeaderDenied_)
    return;
  const Duration Wait =
      std::min<Duration>(resendInterval(Own.Replies_.attempts().count()),
                         Deadline - SteadyClock().now());
  Own.Wake_->waitUntil(framework::clock::wallDeadline(Wait));
}

void CallRouter::pauseAfterDenial(PendingCall &Own) const {
  if (Own.Replies_.answer() || Routes_.Leader_().Token_ != Own.Asked_.Token_)
    return;
  const Duration Pause =
      std::min<Duration>(ResendInterval, Own.Denials_ * (ResendInterval / 4));
  Own.Wake_ = std::make_shared<framework::fibers::Waiter>();
  Own.Wake_->waitUntil(framework::clock::wallDeadline(Pause));
}

void CallRouter::recordLeaderMissing() {
  if (!LeaderMissingSince_)
    LeaderMissingSince_ = SteadyClock().now();
}

bool CallRouter::mayFindLeader(TimePoint LeaderDeadline) const {
  const TimePoint Now = SteadyClock().now();
  return Now <= LeaderDeadline ||
         (LeaderMissingSince_ && Now < *LeaderMissingSince_ + TakeoverTime);
}

void CallRouter::acceptReply(PendingCall &Own, const JobReply &Reply) {
  if (Own.Replies_.answer())
    return;
  Own.Replied_ = true;
  Own.Replies_.add(Reply);
  const bool Denied = Reply.Status_ == JobCallStatus::NotLeader;
  Own.LeaderDenied_ = Own.LeaderDenied_ || Denied;
  Own.Denials_ += Denied;
  if (Denied)
    recordLeaderMissing();
  else
    LeaderMissingSince_.reset();
  if (Own.Wake_ && (Denied || Own.Replies_.answer()))
    Own.Wake_->signal();
}

void CallRouter::handleReply(const JobReply &Reply) {
  if (Reply.Timing_)
    Window_.recordReply(*Reply.Timing_, SteadyClock().now());
  const auto Found = Pending_.find(Reply.Sequence_);
  if (Found == Pending_.end())
    return Answered_.checkLateReply(Reply);
  if (Reply.Status_ == JobCallStatus::Forwarded)
    Found->second->Forwarded_ = true;
  else
    acceptReply(*Found->second, Reply);
}

void CallRouter::resendAll() {
  Window_.reset();
  for (const auto &[Sequence, Call] : Pending_)
    if (Call->Wake_)
      Call->Wake_->signal();
}

Duration CallRouter::resendInterval(std::uint32_t Attempts) const {
  Duration Interval = ResendInterval;
  for (std::uint32_t I = 2; I < Attempts && Interval < MaxResendInterval; ++I)
    Interval *= 2;
  const Duration ByTransit =
      std::min<Duration>(2 * Window_.transit(), MaxTransitInterval);
  return std::max(std::min<Duration>(Interval, MaxResendInterval), ByTransit);
}

} // namespace laburnumspread::cell
