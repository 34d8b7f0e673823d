#include "cell/rejectedcalls.h"

#include <algorithm>

namespace laburnumspread::cell {

namespace {

/// Delay for a call that is rejected since it is too old to be remembered: its
/// entry has had many rejected since.
constexpr std::uint64_t ForgottenRetryAfterMs = 1000;

peers::JobReply forgottenReply() {
  peers::JobReply Result;
  Result.Status_ = peers::JobCallStatus::Refused;
  Result.Refusal_ = peers::RefusalReason::LeaderBusy;
  Result.RetryAfterMs_ = ForgottenRetryAfterMs;
  return Result;
}

} // namespace

void RejectedCalls::add(const peers::JobCall &Call,
                        const peers::JobReply &Rejection, TimePoint Now) {
  if (Call.Sequence_ == 0)
    return;
  if (!Entries_.contains(Call.Caller_))
    forgetSilentEntries(Now);
  Entry &From = Entries_[Call.Caller_];
  From.LastAt_ = Now;
  From.Replies_.emplace(Call.Sequence_, Rejection);
  if (From.Replies_.size() <= MaxCallsPerEntry)
    return;
  From.ForgottenThrough_ =
      std::max(From.ForgottenThrough_, From.Replies_.begin()->first);
  From.Replies_.erase(From.Replies_.begin());
}

std::optional<peers::JobReply>
RejectedCalls::find(const peers::JobCall &Call) const {
  const auto From = Entries_.find(Call.Caller_);
  if (Call.Sequence_ == 0 || From == Entries_.end())
    return std::nullopt;
  if (Call.Sequence_ <= From->second.ForgottenThrough_)
    return forgottenReply();
  const auto Found = From->second.Replies_.find(Call.Sequence_);
  if (Found == From->second.Replies_.end())
    return std::nullopt;
  return Found->second;
}

void RejectedCalls::forgetSilentEntries(TimePoint Now) {
  std::erase_if(Entries_, [Now](const auto &Item) {
    return Now - Item.second.LastAt_ > Retention;
  });
}

} // namespace laburnumspread::cell
