#pragma once

#include "fleet/fleettypes.h"
#include "framework/clock/clock.h"

#include <concepts>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace laburnumspread::store {

using fleet::Revision;
using framework::clock::TimePoint;

/// Largest value of a key, in bytes, unless the settings name another limit.
inline constexpr std::size_t DefaultMaxValueBytes = 1024 * 1024;

struct KeyValue {
  std::string Key_;
  std::string Value_;
  /// Revision of the last write to the key; 0 in a deletion event.
  Revision ModRevision_;
};

struct RangeResult {
  std::vector<KeyValue> Items_;
  /// Revision of the whole store when it answered.
  Revision StoreRevision_;
};

/// Condition that the key was last written at this revision; 0 means that the
/// key does not exist.
struct Compare {
  std::string Key_;
  Revision ModRevision_;
};

struct Put {
  std::string Key_;
  std::string Value_;
  /// Lease whose end deletes the key; 0 for none.
  std::int64_t Lease_ = 0;
};

/// Writes that take effect atomically if all compares hold.
struct Transaction {
  std::vector<Compare> Compares_;
  std::vector<Put> Puts_;
  std::vector<std::string> Deletes_;
};

struct TransactionResult {
  bool Succeeded_ = false;
  Revision StoreRevision_;
};

/// Writes reported by a watch, in order. A key in both lists was written before
/// it was deleted, so the deletions apply after the writes.
struct WatchBatch {
  /// Appends a write. A former deletion of its key is dropped: applied after
  /// the writes, it would remove a key that exists.
  void recordPut(KeyValue Item) {
    std::erase(Deletes_, Item.Key_);
    Puts_.push_back(std::move(Item));
  }
  /// Appends a deletion.
  void recordDelete(std::string Key) { Deletes_.push_back(std::move(Key)); }

  std::vector<KeyValue> Puts_;
  std::vector<std::string> Deletes_;
  Revision StoreRevision_;
  /// Every write that was acknowledged before this time is in this batch or in
  /// an earlier one. On the steady clock; the epoch if it is not known.
  TimePoint CompleteThrough_{};
};

/// The platform's key-value service. Errors of commit(): Unavailable with "not
/// sent" means that nothing was written, and InvalidArgument that this
/// transaction can never take effect, for example because of a value that is
/// too large; after any other error it is unknown whether it took effect.
/// Failed compares are not an error, see TransactionResult::Succeeded_.
template <typename T>
concept KeyValueStore = requires(
    T &S, const std::string &Prefix, Revision Since, const Transaction &Txn,
    TimePoint Deadline, const std::function<bool(const WatchBatch &)> &OnBatch,
    std::int64_t Lease) {
  /// Keys under a prefix that were last written at or after \p Since.
  /// \p Deadline applies to the head of the answer; the body grows with the
  /// stored state and is read while data arrives, within the limits of
  /// bodyDeadlines().
  {
    S.range(Prefix, Since, Deadline)
    } -> std::same_as<absl::StatusOr<RangeResult>>;
  {
    S.commit(Txn, Deadline)
    } -> std::same_as<absl::StatusOr<TransactionResult>>;
  /// Blocks until the watch ends. Returns OutOfRange if the history from
  /// \p Since has been compacted.
  { S.watch(Prefix, Since, OnBatch) } -> std::same_as<absl::Status>;
  {
    S.grantLease(Lease, Deadline)
    } -> std::same_as<absl::StatusOr<std::int64_t>>;
  /// Renews a lease. Returns false if it has expired.
  { S.keepLease(Lease, Deadline) } -> std::same_as<absl::StatusOr<bool>>;
};

/// A store whose watches can be bounded. A watch ends with ResourceExhausted
/// when an answer has more than the given number of bytes as transferred.
template <typename T>
concept BoundedWatchStore = KeyValueStore<T> &&
    requires(T &S, const std::string &Prefix, Revision Since,
             const std::function<bool(const WatchBatch &)> &OnBatch,
             std::size_t MaxAnswerBytes) {
  {
    S.watch(Prefix, Since, OnBatch, MaxAnswerBytes)
    } -> std::same_as<absl::Status>;
};

} // namespace laburnumspread::store
