#include "jobs/occurrences.h"

#include <algorithm>
#include <iterator>

namespace laburnumspread::jobs {

namespace {

/// Rows that a step counts for beside its tasks.
constexpr std::uint64_t RowsPerStep = 4;

} // namespace

OccurrenceTable::OccurrenceTable(const JobSpec &Spec)
    : Count_(Spec.occurrenceCount()), RowsEach_(rowsPerOccurrence(Spec)) {
  Untouched_.Steps_.resize(Spec.Steps_.size());
  for (std::size_t S = 0; S < Spec.Steps_.size(); ++S)
    Untouched_.Steps_[S].Tasks_.resize(Spec.Steps_[S].Count_);
  if (Count_ == 1)
    touch(0);
}

std::uint64_t OccurrenceTable::rowsPerOccurrence(const JobSpec &Spec) {
  std::uint64_t Sum = 0;
  for (const StepSpec &Step : Spec.Steps_)
    Sum += RowsPerStep + Step.Count_;
  return Sum;
}

const OccurrenceRow *OccurrenceTable::find(std::uint32_t K) const {
  if (K >= Count_ || settled(K))
    return nullptr;
  const auto Own = Touched_.find(K);
  return Own == Touched_.end() ? &Untouched_ : &Own->second;
}

OccurrenceRow *OccurrenceTable::findTouched(std::uint32_t K) {
  const auto Own = Touched_.find(K);
  return Own == Touched_.end() ? nullptr : &Own->second;
}

OccurrenceRow *OccurrenceTable::touch(std::uint32_t K) {
  if (K >= Count_ || settled(K))
    return nullptr;
  if (OccurrenceRow *Own = findTouched(K))
    return Own;
  const bool Last = untouchedCount() == 1;
  return &Touched_.emplace(K, Last ? std::exchange(Untouched_, {}) : Untouched_)
              .first->second;
}

std::uint32_t OccurrenceTable::untouchedCount() const {
  return Count_ - SettledThrough_ -
         static_cast<std::uint32_t>(SettledAhead_.size() + Touched_.size());
}

std::uint32_t OccurrenceTable::untouchedBefore(std::uint32_t K) const {
  if (K >= Count_)
    return untouchedCount();
  if (K <= SettledThrough_)
    return 0;
  const auto Ahead =
      std::distance(SettledAhead_.begin(), SettledAhead_.lower_bound(K));
  const auto Own = std::distance(Touched_.begin(), Touched_.lower_bound(K));
  return K - SettledThrough_ - static_cast<std::uint32_t>(Ahead + Own);
}

void OccurrenceTable::settleIfOver(std::uint32_t K) {
  const OccurrenceRow *Own = findTouched(K);
  if (Count_ == 1 || !Own || !Own->done() || Own->LiveRuns_ > 0)
    return;
  Touched_.erase(K);
  markSettled(K);
}

bool OccurrenceTable::restoreSettled(std::uint32_t K) {
  if (K >= Count_ || settled(K) || Touched_.contains(K))
    return false;
  markSettled(K);
  return true;
}

void OccurrenceTable::markSettled(std::uint32_t K) {
  SettledAhead_.insert(K);
  while (!SettledAhead_.empty() && *SettledAhead_.begin() == SettledThrough_) {
    SettledAhead_.erase(SettledAhead_.begin());
    ++SettledThrough_;
  }
}

std::vector<std::pair<std::uint32_t, std::uint32_t>>
OccurrenceTable::settledRanges() const {
  std::vector<std::pair<std::uint32_t, std::uint32_t>> Result;
  if (SettledThrough_ > 0)
    Result.emplace_back(0, SettledThrough_);
  for (const std::uint32_t K : SettledAhead_)
    if (!Result.empty() && Result.back().second == K)
      ++Result.back().second;
    else
      Result.emplace_back(K, K + 1);
  return Result;
}

std::uint64_t OccurrenceTable::rows() const {
  const bool Shared = !Untouched_.Steps_.empty();
  return RowsEach_ * (Touched_.size() + (Shared ? 1 : 0));
}

} // namespace laburnumspread::jobs
