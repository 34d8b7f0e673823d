#include "cell/callrouter.h"

#include <algorithm>

namespace laburnumspread::cell {

using framework::clock::SteadyClock;
using peers::JobCallStatus;
using peers::JobReply;

CallResult CallRouter::call(peers::JobCall Call, TimePoint LeaderDeadline,
                            TimePoint Deadline) {
  const auto Own = std::make_shared<PendingCall>();
  Own->Call_ = std::move(Call);
  Own->Call_.Sequence_ = Next_++;
  Pending_[Own->Call_.Sequence_] = Own;
  while (!Own->Answer_ && SteadyClock().now() < Deadline) {
    sendAttempt(*Own);
    waitForReply(*Own, Deadline);
    if (Own->LeaderDenied_)
      pauseAfterDenial(*Own);
    if (!Own->Attempts_.mayHaveBeenAccepted() &&
        SteadyClock().now() > LeaderDeadline)
      break;
  }
  Pending_.erase(Own->Call_.Sequence_);
  const JobReply Answer = answerOf(*Own);
  Answered_.record(Own->Call_, Answer);
  return {Answer, Own->Call_.Sequence_, Own->Asked_, Own->Attempts_.count()};
}

void CallRouter::sendAttempt(PendingCall &Own) {
  Own.Wake_ = std::make_shared<framework::fibers::Waiter>();
  Own.LeaderDenied_ = false;
  const journal::Leader Leader = Routes_.Leader_();
  const bool Local = Routes_.IsLeader_();
  const bool Remote =
      Leader.Token_.value() != 0 && !Routes_.IsThisProcess_(Leader);
  if (!Local && !Remote)
    return;
  Own.Asked_ = Leader;
  Own.Call_.Token_ = Leader.Token_.value();
  Own.Call_.Attempt_ = Own.Attempts_.sent(Leader.Token_);
  if (Local)
    Routes_.HandleLocally_(
        Own.Call_, [this](const JobReply &Reply) { handleReply(Reply); });
  else
    Routes_.Send_(Leader, Own.Call_, {Own.Attempts_.count(), Own.Forwarded_});
}

void CallRouter::waitForReply(PendingCall &Own, TimePoint Deadline) {
  if (Own.Answer_ || Own.LeaderDenied_)
    return;
  const Duration Wait = std::min<Duration>(
      resendInterval(Own.Attempts_.count()), Deadline - SteadyClock().now());
  Own.Wake_->waitUntil(framework::clock::wallDeadline(Wait));
}

void CallRouter::pauseAfterDenial(const PendingCall &Own) const {
  if (!Own.Answer_ && Routes_.Leader_().Token_ == Own.Asked_.Token_)
    framework::fibers::sleepFor(ResendInterval / 4);
}

void CallRouter::acceptReply(PendingCall &Own, const JobReply &Reply) {
  if (Own.Answer_)
    return;
  const bool Rejected =
      peers::changesJobs(Own.Call_.Kind_) && peers::isRejection(Reply.Status_);
  if (Reply.Status_ == JobCallStatus::NotLeader) {
    Own.Attempts_.notProcessed(Reply.Attempt_);
    Own.LeaderDenied_ = true;
  } else if (Rejected) {
    Own.Attempts_.rejected(Reply.Attempt_, jobs::FencingToken(Reply.Token_));
    Own.Rejection_ = Reply;
    if (Own.Attempts_.mayHaveBeenAccepted())
      return;
    Own.Answer_ = Reply;
  } else {
    Own.Answer_ = Reply;
  }
  if (Own.Wake_)
    Own.Wake_->signal();
}

JobReply CallRouter::answerOf(const PendingCall &Own) {
  if (Own.Answer_)
    return *Own.Answer_;
  JobReply Result;
  if (Own.Attempts_.mayHaveBeenAccepted())
    return Result;
  Result.Status_ = JobCallStatus::Refused;
  return Own.Rejection_.value_or(Result);
}

void CallRouter::handleReply(const JobReply &Reply) {
  const auto Found = Pending_.find(Reply.Sequence_);
  if (Found == Pending_.end())
    return Answered_.checkLateReply(Reply);
  if (Reply.Status_ == JobCallStatus::Forwarded)
    Found->second->Forwarded_ = true;
  else
    acceptReply(*Found->second, Reply);
}

void CallRouter::resendAll() {
  for (const auto &[Sequence, Call] : Pending_)
    if (Call->Wake_)
      Call->Wake_->signal();
}

Duration CallRouter::resendInterval(std::uint32_t Attempts) {
  Duration Interval = ResendInterval;
  for (std::uint32_t I = 2; I < Attempts && Interval < MaxResendInterval; ++I)
    Interval *= 2;
  return std::min(Interval, MaxResendInterval);
}

} // namespace laburnumspread::cell
