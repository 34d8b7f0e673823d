#include "cell/answeredcalls.h"

#include "framework/log/log.h"

namespace laburnumspread::cell {

using peers::JobCallStatus;

void AnsweredCalls::record(const peers::JobCall &Call,
                           const peers::JobReply &Answer) {
  if (!peers::changesJobs(Call.Kind_) || !peers::isRejection(Answer.Status_))
    return;
  Rejected_[Call.Sequence_] = {Call.Job_, Answer.Status_};
  if (Rejected_.size() > MaxCalls)
    Rejected_.erase(Rejected_.begin());
}

void AnsweredCalls::checkLateReply(const peers::JobReply &Reply) {
  const auto Found = Rejected_.find(Reply.Sequence_);
  if (Found == Rejected_.end() || Reply.Status_ != JobCallStatus::Ok)
    return;
  framework::log::error("call.contradicted")
      .field("job", Found->second.Job_)
      .field("call", Reply.Sequence_)
      .field("accepted_attempt", static_cast<std::uint64_t>(Reply.Attempt_));
  ++Contradicted_;
  Rejected_.erase(Found);
}

} // namespace laburnumspread::cell
