#include "cell/rejectedcalls.h"

#include <algorithm>

namespace laburnumspread::cell {

void RejectedCalls::add(const peers::JobCall &Call,
                        const peers::JobReply &Rejection, TimePoint Now) {
  if (Call.Sequence_ == 0)
    return;
  if (!Entries_.contains(Call.Caller_))
    forgetSilentEntries(Now);
  Entry &From = Entries_[Call.Caller_];
  From.LastAt_ = Now;
  From.Replies_.emplace(Call.Sequence_, Rejection);
  forgetAllBut(MaxCalls_, From);
}

std::optional<peers::JobReply>
RejectedCalls::find(const peers::JobCall &Call) const {
  const auto From = Entries_.find(Call.Caller_);
  if (From == Entries_.end())
    return std::nullopt;
  const auto Found = From->second.Replies_.find(Call.Sequence_);
  if (Found == From->second.Replies_.end())
    return std::nullopt;
  return Found->second;
}

bool RejectedCalls::mayBeForgotten(const peers::JobCall &Call) const {
  const auto From = Entries_.find(Call.Caller_);
  return Call.Sequence_ != 0 && From != Entries_.end() &&
         Call.Sequence_ <= From->second.ForgottenThrough_;
}

std::size_t RejectedCalls::size() const {
  std::size_t Result = 0;
  for (const auto &[Id, From] : Entries_)
    Result += From.Replies_.size();
  return Result;
}

void RejectedCalls::forgetAllBut(std::size_t Count, Entry &From) {
  while (From.Replies_.size() > Count) {
    From.ForgottenThrough_ =
        std::max(From.ForgottenThrough_, From.Replies_.begin()->first);
    From.Replies_.erase(From.Replies_.begin());
  }
}

void RejectedCalls::forgetSilentEntries(TimePoint Now) {
  for (auto &[Id, From] : Entries_)
    if (Now - From.LastAt_ > Retention)
      forgetAllBut(0, From);
}

} // namespace laburnumspread::cell
