#include "cell/decidedcalls.h"

#include <algorithm>

namespace laburnumspread::cell {

void DecidedCalls::add(const peers::JobCall &Call, const CallDecision &Decision,
                       TimePoint Now) {
  if (Call.Sequence_ == 0)
    return;
  if (Now - SweptAt_ >= SweepInterval)
    forgetSilentEntries(Now);
  Entry &From = Entries_[Call.Caller_];
  From.LastAt_ = Now;
  From.Decisions_.emplace(Call.Sequence_, Decision);
  forgetAllBut(MaxCalls_, From);
}

std::optional<CallDecision>
DecidedCalls::find(const peers::JobCall &Call) const {
  const auto From = Entries_.find(Call.Caller_);
  if (From == Entries_.end())
    return std::nullopt;
  const auto Found = From->second.Decisions_.find(Call.Sequence_);
  if (Found == From->second.Decisions_.end())
    return std::nullopt;
  return Found->second;
}

bool DecidedCalls::isBelowBound(const peers::JobCall &Call) const {
  const auto From = Entries_.find(Call.Caller_);
  return Call.Sequence_ != 0 && From != Entries_.end() &&
         Call.Sequence_ <= From->second.Bound_;
}

std::size_t DecidedCalls::size() const {
  std::size_t Result = 0;
  for (const auto &[Id, From] : Entries_)
    Result += From.Decisions_.size();
  return Result;
}

void DecidedCalls::forgetAllBut(std::size_t Count, Entry &From) {
  while (From.Decisions_.size() > Count) {
    From.Bound_ = std::max(From.Bound_, From.Decisions_.begin()->first);
    From.Decisions_.erase(From.Decisions_.begin());
  }
}

void DecidedCalls::forgetSilentEntries(TimePoint Now) {
  SweptAt_ = Now;
  for (auto &[Id, From] : Entries_)
    if (Now - From.LastAt_ > Retention)
      forgetAllBut(0, From);
}

} // namespace laburnumspread::cell
