#include "cell/callrouter.h"

#include <algorithm>

namespace laburnumspread::cell {

using framework::clock::SteadyClock;
using peers::JobCallStatus;
using peers::JobReply;

CallResult CallRouter::call(peers::JobCall Call, TimePoint LeaderDeadline,
                            TimePoint Deadline) {
  const std::uint64_t Sequence = Next_++;
  Call.Sequence_ = Sequence;
  const auto Own = std::make_shared<Pending>();
  Pending_[Sequence] = Own;
  CallAttempts Attempts;
  CallResult Result;
  Result.Sequence_ = Sequence;
  const auto CountAttempt = [&](const journal::Leader &To) {
    Attempts.sent();
    ++Result.Attempts_;
    Result.Asked_ = To;
    Call.Attempt_ = Result.Attempts_;
  };
  std::optional<JobReply> Answer;
  while (SteadyClock().now() < Deadline) {
    Own->Wake_ = std::make_shared<framework::fibers::Waiter>();
    Own->Reply_.reset();
    const journal::Leader Leader = Routes_.Leader_();
    if (Routes_.IsLeader_()) {
      CountAttempt(Leader);
      Routes_.HandleLocally_(Call, [Own](const JobReply &Reply) {
        Own->Reply_ = Reply;
        Own->Wake_->signal();
      });
    } else if (Leader.Token_.value() != 0 && !Routes_.IsThisProcess_(Leader)) {
      CountAttempt(Leader);
      Routes_.Send_(Leader, Call, {Result.Attempts_, Own->Forwarded_});
    }
    const Duration Wait = std::min<Duration>(resendInterval(Result.Attempts_),
                                             Deadline - SteadyClock().now());
    if (!Own->Reply_)
      Own->Wake_->waitUntil(framework::clock::wallDeadline(Wait));
    if (Own->Reply_ && Own->Reply_->Status_ != JobCallStatus::NotLeader) {
      Answer = *Own->Reply_;
      break;
    }
    if (Own->Reply_) {
      Attempts.rejected();
      // The reply may have named a later leader; that one is asked at once.
      if (Routes_.Leader_().Token_ == Leader.Token_)
        framework::fibers::sleepFor(ResendInterval / 4);
    }
    if (!Attempts.mayHaveBeenAccepted() && SteadyClock().now() > LeaderDeadline)
      break;
  }
  Pending_.erase(Sequence);
  if (Answer)
    Result.Reply_ = *Answer;
  else
    Result.Reply_.Status_ = Attempts.mayHaveBeenAccepted()
                                ? JobCallStatus::Unknown
                                : JobCallStatus::Refused;
  Answered_.record(Call, Result.Reply_);
  return Result;
}

void CallRouter::handleReply(const JobReply &Reply) {
  const auto Found = Pending_.find(Reply.Sequence_);
  if (Found == Pending_.end())
    return Answered_.checkLateReply(Reply);
  if (Reply.Status_ == JobCallStatus::Forwarded) {
    Found->second->Forwarded_ = true;
    return;
  }
  Found->second->Reply_ = Reply;
  if (Found->second->Wake_)
    Found->second->Wake_->signal();
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
