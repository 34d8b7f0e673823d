#pragma once

#include "store/kvstore.h"

#include <map>

namespace laburnumspread::journal {

/// An in-memory store with fault injection. A write can be lost (Lost), applied
/// without an answer (AnswerLost), or delayed and applied later (Late).
class FakeStore {
public:
  enum class Fault { None, Lost, AnswerLost, Late };

  absl::StatusOr<store::RangeResult>
  range(const std::string &Prefix, fleet::Revision Since, store::TimePoint) {
    if (const auto Callback = std::exchange(BeforeList_, nullptr))
      Callback();
    store::RangeResult Result;
    Result.StoreRevision_ = fleet::Revision(Revision_);
    for (const auto &[Key, Item] : Items_)
      if (Key.starts_with(Prefix) && Item.ModRevision_ >= Since)
        Result.Items_.push_back(Item);
    return Result;
  }

  absl::StatusOr<store::TransactionResult> commit(const store::Transaction &Txn,
                                                  store::TimePoint) {
    if (hasTooLargeValue(Txn))
      return refuseForGood();
    const bool Passes = PassFirst_ > 0;
    PassFirst_ -= Passes;
    const Fault Now = Passes ? Fault::None : std::exchange(Next_, Fault::None);
    const store::TransactionResult Result =
        Now == Fault::Lost || Now == Fault::Late ? store::TransactionResult()
                                                 : apply(Txn);
    if (Now == Fault::Late)
      Delayed_.push_back(Txn);
    if (const auto Callback = std::exchange(BeforeAnswer_, nullptr))
      Callback();
    if (Now == Fault::Lost)
      return absl::UnavailableError("lost");
    if (Now == Fault::Late)
      return absl::DeadlineExceededError("no answer");
    if (Now == Fault::AnswerLost)
      return absl::DeadlineExceededError("no answer");
    return Result;
  }

  absl::Status watch(const std::string &, fleet::Revision,
                     const std::function<bool(const store::WatchBatch &)> &) {
    return absl::UnavailableError("not watched here");
  }

  absl::StatusOr<std::int64_t> grantLease(std::int64_t, store::TimePoint) {
    return ++Leases_;
  }
  absl::StatusOr<bool> keepLease(std::int64_t Lease, store::TimePoint) {
    if (const auto Renewal = std::exchange(Renewal_, nullptr))
      if (absl::Status Failed = Renewal(); !Failed.ok())
        return Failed;
    return !Ended_.contains(Lease);
  }

  /// Ends the lease and removes its keys.
  void endLease(std::int64_t Lease) {
    Ended_.insert({Lease, true});
    std::erase_if(Items_, [&](const auto &Row) {
      const auto Held = LeaseOf_.find(Row.first);
      return Held != LeaseOf_.end() && Held->second == Lease;
    });
  }

  /// Applies the delayed writes.
  void carryOutDelayed() {
    for (const store::Transaction &Txn : std::exchange(Delayed_, {}))
      apply(Txn);
  }

  bool has(const std::string &Key) const { return Items_.contains(Key); }

  /// Largest value that is stored. A transaction with a larger one is refused
  /// for good.
  std::size_t MaxValueBytes_ = 1024 * 1024;
  std::uint32_t RefusedForGood_ = 0;
  /// Called when a transaction is refused for good.
  std::function<void()> OnRefusedForGood_;
  /// Fault of the next write after PassFirst_ successful ones.
  Fault Next_ = Fault::None;
  std::uint32_t PassFirst_ = 0;
  std::int64_t Leases_ = 0;
  /// Called between the next write and its answer.
  std::function<void()> BeforeAnswer_;
  /// Called before the next range read.
  std::function<void()> BeforeList_;
  /// Called by the next lease renewal, which fails with the returned error.
  std::function<absl::Status()> Renewal_;

private:
  bool hasTooLargeValue(const store::Transaction &Txn) const {
    for (const store::Put &Item : Txn.Puts_)
      if (Item.Value_.size() > MaxValueBytes_)
        return true;
    return false;
  }

  absl::Status refuseForGood() {
    ++RefusedForGood_;
    if (OnRefusedForGood_)
      OnRefusedForGood_();
    return absl::InvalidArgumentError("the value is too large");
  }

  store::TransactionResult apply(const store::Transaction &Txn) {
    for (const store::Compare &Item : Txn.Compares_) {
      const auto Found = Items_.find(Item.Key_);
      const fleet::Revision Current = Found == Items_.end()
                                          ? fleet::Revision(0)
                                          : Found->second.ModRevision_;
      if (Current != Item.ModRevision_)
        return {};
    }
    ++Revision_;
    for (const store::Put &Item : Txn.Puts_) {
      Items_[Item.Key_] = {Item.Key_, Item.Value_, fleet::Revision(Revision_)};
      LeaseOf_[Item.Key_] = Item.Lease_;
    }
    for (const std::string &Key : Txn.Deletes_)
      Items_.erase(Key);
    return {true, fleet::Revision(Revision_)};
  }

  std::uint64_t Revision_ = 100;
  std::map<std::string, store::KeyValue> Items_;
  std::map<std::string, std::int64_t> LeaseOf_;
  std::map<std::int64_t, bool> Ended_;
  std::vector<store::Transaction> Delayed_;
};

static_assert(store::KeyValueStore<FakeStore>);

} // namespace laburnumspread::journal
