#include "cell/callreplies.h"

namespace laburnumspread::cell {

using peers::JobCallStatus;
using peers::JobReply;

void CallReplies::add(const JobReply &Reply) {
  if (Answer_)
    return;
  if (Reply.Status_ == JobCallStatus::NotLeader)
    return Attempts_.notProcessed(Reply.Attempt_);
  if (!peers::changesJobs(Kind_) || !peers::isRejection(Reply.Status_)) {
    Answer_ = Reply;
    return;
  }
  Attempts_.rejected(Reply.Attempt_, jobs::FencingToken(Reply.Token_));
  Rejection_ = Reply;
  if (!Attempts_.mayHaveBeenAccepted())
    Answer_ = Reply;
}

JobReply CallReplies::answerAtDeadline() const {
  if (Answer_)
    return *Answer_;
  JobReply Result;
  if (Attempts_.mayHaveBeenAccepted())
    return Result;
  Result.Status_ = JobCallStatus::Refused;
  return Rejection_.value_or(Result);
}

} // namespace laburnumspread::cell
