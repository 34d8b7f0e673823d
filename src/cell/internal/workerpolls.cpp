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

bool isDue(const WorkerRow &Row, TimePoint Now) {
  return !Row.HasSession_ && Row.NextPollAt_ <= Now;
}

/// Whether the worker has to be called now, also if it drains or is never used.
bool needsCall(const WorkerRow &Row, TimePoint Now) {
  return Row.Listed_ && !Row.Ended_ && Row.mayExecuteFormerOrders(Now) &&
         isDue(Row, Now);
}

/// The workers that may be polled now, by the reason.
class PollCandidates {
public:
  PollCandidates(const jobs::CellTable &Table, TimePoint Now)
      : Table_(Table), Now_(Now) {}

  void add(const WorkerRowPtr &Row) {
    const bool Called = needsCall(*Row, Now_);
    if (Called)
      ToCall_.push_back(Row);
    if (!mayBecomeUsed(*Row))
      return;
    PoolContacts &Pool = Pools_[Row->Record_.Pool_];
    if (Row->Unanswered_ > 0) {
      if (!Called && isDue(*Row, Now_))
        Silent_.push_back(Row);
    } else if (!Called && !Row->Synced_ && !Row->HasSession_) {
      Pool.Unproven_.push_back(Row);
    } else if (Table_.usageOf(Row->Record_.Incarnation_)) {
      ++Pool.InUse_;
    } else {
      ++Pool.Unused_;
    }
  }

  /// Returns at most \p Most workers.
  std::vector<WorkerRowPtr> choose(std::size_t Most) && {
    std::vector<WorkerRowPtr> Result = std::move(ToCall_);
    keepLongestDue(Result, Most);
    keepLongestDue(Silent_, Most - Result.size());
    Result.insert(Result.end(), Silent_.begin(), Silent_.end());
    for (const auto &[Name, Pool] : Pools_)
      for (std::size_t I = 0; I < Pool.missing() && Result.size() < Most; ++I)
        Result.push_back(Pool.Unproven_[I]);
    return Result;
  }

private:
  const jobs::CellTable &Table_;
  const TimePoint Now_;
  std::vector<WorkerRowPtr> ToCall_;
  std::vector<WorkerRowPtr> Silent_;
  absl::flat_hash_map<PoolName, PoolContacts> Pools_;
};

} // namespace

std::vector<WorkerRowPtr> WorkerPolls::choose(const WorkerTable &Workers,
                                              const jobs::CellTable &Table,
                                              std::size_t InFlight,
                                              TimePoint Now) {
  PollCandidates Candidates(Table, Now);
  for (const auto &[Incarnation, Row] : Workers)
    Candidates.add(Row);
  return std::move(Candidates)
      .choose(MaxInFlight - std::min(MaxInFlight, InFlight));
}

} // namespace laburnumspread::cell
