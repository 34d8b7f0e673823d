#include "cell/callrules.h"

namespace laburnumspread::cell {

namespace {

/// Delay for a call that is too old to be remembered: its entry has had many
/// rejected since.
constexpr std::uint64_t ForgottenRetryAfterMs = 1000;

} // namespace

bool isForAnotherTerm(const peers::JobCall &Call, const TermTokens &Own) {
  const jobs::FencingToken Meant(Call.Token_);
  return peers::changesJobs(Call.Kind_) && Call.Token_ != 0 &&
         (Meant < Own.First_ || Meant > Own.Latest_);
}

bool isMade(const peers::JobCall &Call, const jobs::CellTable &Table) {
  const jobs::JobRow *Job = Table.find(jobs::JobId(Call.Job_));
  if (!Job)
    return false;
  return Call.Kind_ == peers::JobCallKind::Submit ||
         (Call.Kind_ == peers::JobCallKind::Cancel &&
          Job->State_ == jobs::JobState::Cancelled);
}

std::optional<peers::JobReply> earlierRejection(const peers::JobCall &Call,
                                                const RejectedCalls &Rejected,
                                                const jobs::CellTable &Table) {
  if (!peers::changesJobs(Call.Kind_))
    return std::nullopt;
  if (const auto Rejection = Rejected.find(Call))
    return Rejection;
  if (!Rejected.mayBeForgotten(Call) || isMade(Call, Table))
    return std::nullopt;
  peers::JobReply Result;
  Result.Status_ = peers::JobCallStatus::Refused;
  Result.Refusal_ = peers::RefusalReason::LeaderBusy;
  Result.RetryAfterMs_ = ForgottenRetryAfterMs;
  return Result;
}

peers::JobReply rejectCall(const peers::JobCall &Call,
                           peers::JobReply Rejection, jobs::FencingToken By,
                           RejectedCalls &Rejected,
                           framework::clock::TimePoint Now) {
  if (peers::changesJobs(Call.Kind_))
    Rejected.add(Call, Rejection, Now);
  Rejection.Sequence_ = Call.Sequence_;
  Rejection.Token_ = By.value();
  return Rejection;
}

} // namespace laburnumspread::cell
