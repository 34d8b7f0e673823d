#pragma once

#include "store/kvstore.h"

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace laburnumspread::store {

// Message bodies of the etcd v3 JSON gateway: keys and values are base64,
// 64-bit numbers are strings, and fields with default values are omitted.

constexpr std::size_t MaxWatchLineBytes = 64ULL * 1024 * 1024;

std::string rangeRequest(const std::string &Prefix, Revision Since);
std::string transactionRequest(const Transaction &Txn);
std::string watchRequest(const std::string &Prefix, Revision Since);
std::string leaseRequest(std::string_view Field, std::int64_t Value);

// The functions below return Unknown if the answer is not a JSON object.

absl::StatusOr<RangeResult> readRangeAnswer(std::string_view Text);
absl::StatusOr<TransactionResult> readTransactionAnswer(std::string_view Text);
absl::StatusOr<std::int64_t> readLeaseId(std::string_view Text);
/// Whether the lease was renewed.
absl::StatusOr<bool> readKeepAlive(std::string_view Text);

/// Splits a watch stream into JSON lines and passes each batch to the callback.
class WatchReader {
public:
  using OnBatch = std::function<bool(const WatchBatch &)>;

  explicit WatchReader(const OnBatch &Callback) : Callback_(Callback) {}

  /// Consumes the next part of the stream. Returns whether to continue reading.
  bool feed(std::string_view Part);

  /// Error that ended the stream, otherwise ok. OutOfRange if the history has
  /// been compacted, ResourceExhausted if a line is too long.
  const absl::Status &status() const { return Status_; }

private:
  bool fail(absl::Status Error);
  bool handleLine(std::string_view Text);

  const OnBatch &Callback_;
  std::string Pending_;
  absl::Status Status_;
};

/// First key after all keys with \p Prefix.
std::string prefixEnd(std::string Prefix);

} // namespace laburnumspread::store
