#include "cell/callrules.h"

namespace laburnumspread::cell {

namespace {

/// Answer to a call whose decision is forgotten: its entry has had many others
/// decided since.
constexpr CallDecision Forgotten{peers::JobCallStatus::Refused,
                                 peers::RefusalReason::LeaderBusy, 1000};

peers::JobReply replyOf(const peers::JobCall &Call, const CallDecision &From) {
  peers::JobReply Result;
  Result.Sequence_ = Call.Sequence_;
  Result.Status_ = From.Status_;
  Result.Refusal_ = From.Reason_;
  Result.RetryAfterMs_ = From.RetryAfterMs_;
  return Result;
}

} // namespace

bool isForAnotherTerm(const peers::JobCall &Call, const TermTokens &Own) {
  const jobs::FencingToken Meant(Call.Token_);
  return peers::changesJobs(Call.Kind_) && Call.Token_ != 0 &&
         (Meant < Own.First_ || Meant > Own.Latest_);
}

bool isInEffect(const peers::JobCall &Call, const jobs::CellTable &Table) {
  const jobs::JobRow *Job = Table.find(jobs::JobId(Call.Job_));
  if (!Job)
    return false;
  return Call.Kind_ == peers::JobCallKind::Submit ||
         (Call.Kind_ == peers::JobCallKind::Cancel && Job->ended());
}

std::optional<peers::JobReply> earlierReply(const peers::JobCall &Call,
                                            const DecidedCalls &Decided,
                                            const jobs::CellTable &Table) {
  if (!peers::changesJobs(Call.Kind_))
    return std::nullopt;
  const std::optional<CallDecision> Decision = Decided.find(Call);
  if (Decision && peers::isRejection(Decision->Status_))
    return replyOf(Call, *Decision);
  if (isInEffect(Call, Table))
    return std::nullopt;
  if (Decision)
    return replyOf(Call, *Decision);
  if (Decided.isBelowBound(Call))
    return replyOf(Call, Forgotten);
  return std::nullopt;
}

peers::JobReply recordRejection(const peers::JobCall &Call,
                                peers::JobReply Rejection,
                                jobs::FencingToken By, DecidedCalls &Decided,
                                framework::clock::TimePoint Now) {
  if (peers::changesJobs(Call.Kind_))
    Decided.add(Call,
                {Rejection.Status_, Rejection.Refusal_,
                 static_cast<std::uint32_t>(Rejection.RetryAfterMs_)},
                Now);
  Rejection.Sequence_ = Call.Sequence_;
  Rejection.Token_ = By.value();
  return Rejection;
}

void recordAcceptance(const peers::JobCall &Call, DecidedCalls &Decided,
                      framework::clock::TimePoint Now) {
  CallDecision Accepted;
  Accepted.Status_ = peers::JobCallStatus::Ok;
  Decided.add(Call, Accepted, Now);
}

} // namespace laburnumspread::cell
