#pragma once

#include "store/kvstore.h"

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace laburnumspread::store {

// The bodies of the etcd v3 JSON gateway: keys and values are base64, 64-bit
// numbers are strings, fields with a default value are left out.

constexpr std::size_t MaxWatchLineBytes = 64ULL * 1024 * 1024;

std::string rangeRequest(const std::string &Prefix, Revision Since);
std::string transactionRequest(const Transaction &Txn);
std::string watchRequest(const std::string &Prefix, Revision Since);
std::string leaseRequest(std::string_view Field, std::int64_t Value);

/// Unknown when the text is no answer of the gateway.
absl::StatusOr<RangeResult> readRangeAnswer(std::string_view Text);
absl::StatusOr<TransactionResult> readTransactionAnswer(std::string_view Text);
absl::StatusOr<std::int64_t> readLeaseId(std::string_view Text);
/// Whether the lease lives.
absl::StatusOr<bool> readKeepAlive(std::string_view Text);

/// Cuts a stream of JSON lines and hands out the watch answers in it.
class WatchReader {
public:
  using OnBatch = std::function<bool(const WatchBatch &)>;

  explicit WatchReader(const OnBatch &Take) : Callback_(Take) {}

  /// Returns whether to read on.
  bool feed(std::string_view Part);

  /// Why the stream ended; ok while it goes on. OutOfRange when the history
  /// has been compacted.
  const absl::Status &status() const { return Status_; }

private:
  bool fail(absl::Status Why);
  bool handleLine(std::string_view Text);

  const OnBatch &Callback_;
  std::string Pending_;
  absl::Status Status_;
};

/// First key after all keys with \p Prefix.
std::string prefixEnd(std::string Prefix);

} // namespace laburnumspread::store
