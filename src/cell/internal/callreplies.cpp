#include "cell/callreplies.h"

namespace laburnumspread::cell {

using peers::JobCallStatus;
using peers::JobReply;

void CallReplies::add(const JobReply &Reply) {
  if (Answer_)
    return;
  const bool Rejected =
      peers::changesJobs(Kind_) && peers::isRejection(Reply.Status_);
  if (Reply.Status_ == JobCallStatus::NotLeader) {
    Attempts_.notProcessed(Reply.Attempt_);
    DeniedBecause_ = Reply.Refusal_;
  } else if (Rejected) {
    Attempts_.rejected(Reply.Attempt_, jobs::FencingToken(Reply.Token_));
    Rejection_ = Reply;
  } else {
    Answer_ = Reply;
  }
  if (!Answer_ && !Attempts_.mayHaveBeenAccepted())
    Answer_ = Rejection_;
}

JobReply CallReplies::answerAtDeadline() const {
  if (Answer_)
    return *Answer_;
  JobReply Result;
  if (mayBeDecided())
    return Result;
  Result.Status_ = JobCallStatus::Refused;
  Result.Refusal_ =
      DeniedBecause_.value_or(peers::RefusalReason::StoreUnavailable);
  return Result;
}

bool CallReplies::mayBeDecided() const {
  const bool Denied = DeniedBecause_ && !peers::changesJobs(Kind_);
  return !Denied && Attempts_.mayHaveBeenAccepted();
}

} // namespace laburnumspread::cell
