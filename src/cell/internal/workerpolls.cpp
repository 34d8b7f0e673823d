#include "cell/workerpolls.h"

#include <algorithm>

#include <absl/container/flat_hash_map.h>

namespace laburnumspread::cell {

namespace {

/// What is known of a pool's workers.
struct PoolContacts {
  std::size_t InUse_ = 0;
  /// Workers without runs that reply, and those that are being polled for the
  /// first time.
  std::size_t Unused_ = 0;
  std::vector<WorkerRowPtr> Unproven_;

  std::size_t missing() const {
    const std::size_t Reserve = std::max(WorkerPolls::MinReserve,
                                         InUse_ / WorkerPolls::InUsePerReserve);
    return std::min(Unproven_.size(), Reserve - std::min(Reserve, Unused_));
  }
};

bool mayBecomeUsed(const WorkerRow &Row) {
  return Row.Listed_ && !Row.Ended_ && !Row.Record_.Draining_;
}

/// Removes all but the \p Most workers whose polls have been due for longest.
void keepLongestDue(std::vector<WorkerRowPtr> &Workers, std::size_t Most) {
  if (Workers.size() <= Most)
    return;
  std::ranges::nth_element(
      Workers, Workers.begin() + static_cast<std::ptrdiff_t>(Most), {},
      [](const WorkerRowPtr &Row) { return Row->NextPollAt_; });
  Workers.resize(Most);
}

} // namespace

std::vector<WorkerRowPtr> WorkerPolls::choose(const WorkerTable &Workers,
                                              const jobs::CellTable &Table,
                                              std::size_t InFlight,
                                              TimePoint Now) {
  std::vector<WorkerRowPtr> Result;
  const std::size_t Most = MaxInFlight - std::min(MaxInFlight, InFlight);
  absl::flat_hash_map<PoolName, PoolContacts> Pools;
  for (const auto &[Incarnation, Row] : Workers) {
    if (!mayBecomeUsed(*Row))
      continue;
    PoolContacts &Pool = Pools[Row->Record_.Pool_];
    if (Row->Unanswered_ > 0) {
      if (!Row->HasSession_ && Row->NextPollAt_ <= Now)
        Result.push_back(Row);
    } else if (!Row->Synced_ && !Row->HasSession_) {
      Pool.Unproven_.push_back(Row);
    } else if (Table.usageOf(Incarnation)) {
      ++Pool.InUse_;
    } else {
      ++Pool.Unused_;
    }
  }
  keepLongestDue(Result, Most);
  for (const auto &[Name, Pool] : Pools)
    for (std::size_t I = 0; I < Pool.missing() && Result.size() < Most; ++I)
      Result.push_back(Pool.Unproven_[I]);
  return Result;
}

} // namespace laburnumspread::cell
