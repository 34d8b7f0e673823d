#pragma once

#include "framework/clock/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnumspread::standin {

using framework::clock::TimePoint;

struct StoredValue {
  std::string Value_;
  std::int64_t CreateRevision_ = 0;
  std::int64_t ModRevision_ = 0;
  std::int64_t Version_ = 0;
  std::int64_t Lease_ = 0;
};

struct KvEvent {
  std::string Key_;
  bool Deleted_ = false;
  StoredValue Value_;
  std::int64_t Revision_ = 0;
};

/// The data of the key-value service: revisions, history, leases. All in
/// memory; no I/O.
class KvState {
public:
  static constexpr std::size_t MaxValueBytes = 1024 * 1024;
  static constexpr std::size_t MaxHistoryEvents = 20'000;

  std::int64_t revision() const { return Revision_; }
  const std::map<std::string, StoredValue> &items() const { return Items_; }
  const StoredValue *find(const std::string &Key) const;

  /// Opens the next revision; the writes that follow belong to it.
  void beginWrite() { ++Revision_; }
  void put(const std::string &Key, std::string Value, std::int64_t Lease);
  std::size_t eraseRange(const std::string &From, const std::string &To);

  /// Events at or after \p Revision; empty optional when compacted.
  std::optional<std::vector<KvEvent>> eventsSince(std::int64_t Revision) const;
  void compact(std::int64_t Revision);

  std::int64_t grantLease(std::int64_t Seconds, TimePoint Now);
  /// Seconds granted again, or 0 when the lease is gone.
  std::int64_t keepLease(std::int64_t Id, TimePoint Now);
  void revokeLease(std::int64_t Id);
  void expireLeases(TimePoint Now);

  /// Copies kept to come back to, as a service restored from a backup does.
  void save() { Backup_ = {Items_, Revision_}; }
  void restore();

private:
  struct Lease {
    std::int64_t Seconds_ = 0;
    TimePoint ExpiresAt_{};
  };
  struct Backup {
    std::map<std::string, StoredValue> Items_;
    std::int64_t Revision_ = 0;
  };
  void record(KvEvent Event);

  std::map<std::string, StoredValue> Items_;
  std::deque<KvEvent> History_;
  std::map<std::int64_t, Lease> Leases_;
  Backup Backup_;
  std::int64_t Revision_ = 1;
  std::int64_t Compacted_ = 0;
  std::int64_t NextLease_ = 1;
};

/// Whether a key lies in the range of the gateway: an empty end means the one
/// key, a zero byte means no end.
bool inRange(const std::string &Key, const std::string &From,
             const std::string &To);

} // namespace laburnumspread::standin
