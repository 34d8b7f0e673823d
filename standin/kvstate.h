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

/// Value of a key with its etcd metadata.
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

/// In-memory state of the key-value service: values, event history and leases.
/// Performs no I/O.
class KvState {
public:
  static constexpr std::size_t MaxValueBytes = 1024 * 1024;
  static constexpr std::size_t MaxHistoryEvents = 20'000;

  std::int64_t revision() const { return Revision_; }
  const std::map<std::string, StoredValue> &items() const { return Items_; }
  const StoredValue *find(const std::string &Key) const;

  /// Starts a new revision, to which the following writes belong.
  void beginWrite() { ++Revision_; }
  void put(const std::string &Key, std::string Value, std::int64_t Lease);
  /// Deletes the keys in the range, see inRange(). Returns their number.
  std::size_t eraseRange(const std::string &From, const std::string &To);

  /// Events at or after \p Revision; an empty optional if some of them have
  /// been compacted.
  std::optional<std::vector<KvEvent>> eventsSince(std::int64_t Revision) const;
  void compact(std::int64_t Revision);

  /// Grants a lease of \p Seconds and returns its ID.
  std::int64_t grantLease(std::int64_t Seconds, TimePoint Now);
  /// Renews a lease. Returns its time to live in seconds, or 0 if it does not
  /// exist.
  std::int64_t keepLease(std::int64_t Id, TimePoint Now);
  bool hasLease(std::int64_t Id) const { return Leases_.contains(Id); }
  /// Ends a lease and deletes its keys.
  void revokeLease(std::int64_t Id);
  void expireLeases(TimePoint Now);

  /// Saves a backup for restore(), which simulates a store that was restored
  /// from a backup: its revision goes back, and older history is compacted.
  /// Leases are not part of the backup.
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
  std::int64_t CompactedRevision_ = 0;
  std::int64_t NextLease_ = 1;
};

/// Whether \p Key is in the etcd range [\p From, \p To). An empty \p To selects
/// the single key \p From; a zero byte means no upper bound.
bool inRange(const std::string &Key, const std::string &From,
             const std::string &To);

} // namespace laburnumspread::standin
