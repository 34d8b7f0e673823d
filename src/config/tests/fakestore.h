#pragma once

#include "store/kvstore.h"

#include <map>
#include <optional>

namespace laburnumspread::config {

/// In-memory store with injectable failures.
class FakeStore {
public:
  /// The next commit takes effect, but its answer is lost.
  bool LoseNextAnswer_ = false;
  /// The next commit never arrives; the sender sees a timeout.
  bool LoseNextRequest_ = false;
  /// The sender of the next commit sees a timeout; the commit is carried out
  /// just before the one that follows, if its condition still holds.
  bool DelayNextRequest_ = false;
  bool Down_ = false;
  /// Number of reads after which the store is down.
  std::optional<int> ReadsUntilDown_;
  /// Called once after a commit whose answer is lost, to simulate a concurrent
  /// writer.
  std::function<void()> AfterLostAnswer_;
  /// Called once just before the next commit, to simulate a concurrent writer.
  std::function<void()> BeforeCommit_;
  int Commits_ = 0;

  absl::StatusOr<store::RangeResult>
  range(const std::string &Prefix, store::Revision Since, store::TimePoint) {
    if (Down_ || (ReadsUntilDown_ && (*ReadsUntilDown_)-- <= 0))
      return absl::UnavailableError("down");
    store::RangeResult Result;
    Result.StoreRevision_ = Revision_;
    for (const auto &[Key, Item] : Items_)
      if (Key.starts_with(Prefix) && Item.ModRevision_ >= Since)
        Result.Items_.push_back(Item);
    return Result;
  }

  absl::StatusOr<store::TransactionResult> commit(const store::Transaction &Txn,
                                                  store::TimePoint) {
    if (auto Racer = std::exchange(BeforeCommit_, nullptr))
      Racer();
    if (std::exchange(LoseNextRequest_, false))
      return absl::DeadlineExceededError("no answer");
    if (std::exchange(DelayNextRequest_, false)) {
      Delayed_ = Txn;
      return absl::DeadlineExceededError("no answer");
    }
    if (const auto Late = std::exchange(Delayed_, std::nullopt))
      execute(*Late);
    const store::TransactionResult Result = execute(Txn);
    if (!Result.Succeeded_ || !std::exchange(LoseNextAnswer_, false))
      return Result;
    if (auto Racer = std::exchange(AfterLostAnswer_, nullptr))
      Racer();
    return absl::DeadlineExceededError("no answer");
  }

  absl::Status watch(const std::string &, store::Revision,
                     const std::function<bool(const store::WatchBatch &)> &) {
    return absl::UnimplementedError("not used");
  }
  absl::StatusOr<std::int64_t> grantLease(std::int64_t, store::TimePoint) {
    return 1;
  }
  absl::StatusOr<bool> keepLease(std::int64_t, store::TimePoint) {
    return true;
  }

  store::Revision Revision_;

private:
  store::TransactionResult execute(const store::Transaction &Txn) {
    for (const store::Compare &Item : Txn.Compares_)
      if (Items_[Item.Key_].ModRevision_ != Item.ModRevision_)
        return {false, Revision_};
    Revision_ = Revision_.next();
    ++Commits_;
    for (const store::Put &Item : Txn.Puts_)
      Items_[Item.Key_] = {Item.Key_, Item.Value_, Revision_};
    return {true, Revision_};
  }

  std::optional<store::Transaction> Delayed_;
  std::map<std::string, store::KeyValue> Items_;
};

static_assert(store::KeyValueStore<FakeStore>);

} // namespace laburnumspread::config
