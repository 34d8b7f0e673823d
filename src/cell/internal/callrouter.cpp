#include "cell/callrouter.h"

#include <algorithm>

namespace laburnumspread::cell {

using framework::clock::SteadyClock;
using peers::JobCallStatus;
using peers::JobReply;

JobReply CallRouter::call(peers::JobCall Call, TimePoint HolderBy,
                          TimePoint Deadline) {
  const std::uint64_t Sequence = Next_++;
  Call.Sequence_ = Sequence;
  const auto Mine = std::make_shared<Pending>();
  Pending_[Sequence] = Mine;
  CallFate Fate;
  std::optional<JobReply> Answer;
  while (SteadyClock().now() < Deadline) {
    Mine->Wake_ = std::make_shared<framework::fibers::Waiter>();
    Mine->Reply_.reset();
    const journal::Holder Holder = Paths_.Holder_();
    if (Paths_.LeadsHere_()) {
      Fate.sent();
      Paths_.Local_(Call, [Mine](const JobReply &Reply) {
        Mine->Reply_ = Reply;
        Mine->Wake_->signal();
      });
    } else if (Holder.Token_.value() != 0 && !Paths_.IsHere_(Holder)) {
      Fate.sent();
      Paths_.Send_(Holder, Call);
    }
    const Duration Wait =
        std::min<Duration>(ResendEvery, Deadline - SteadyClock().now());
    if (!Mine->Reply_)
      Mine->Wake_->waitUntil(framework::clock::wallDeadline(Wait));
    if (Mine->Reply_ && Mine->Reply_->Status_ != JobCallStatus::NotLeader) {
      Answer = *Mine->Reply_;
      break;
    }
    if (Mine->Reply_) {
      Fate.turnedDown();
      framework::fibers::sleepFor(ResendEvery / 4);
    }
    if (!Fate.mayBeTaken() && SteadyClock().now() > HolderBy)
      break;
  }
  Pending_.erase(Sequence);
  if (Answer)
    return *Answer;
  JobReply Result;
  Result.Status_ =
      Fate.mayBeTaken() ? JobCallStatus::Unknown : JobCallStatus::Refused;
  return Result;
}

void CallRouter::take(const JobReply &Reply) {
  const auto Found = Pending_.find(Reply.Sequence_);
  if (Found == Pending_.end())
    return;
  Found->second->Reply_ = Reply;
  if (Found->second->Wake_)
    Found->second->Wake_->signal();
}

} // namespace laburnumspread::cell
