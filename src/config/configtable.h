#pragma once

#include "config/configtypes.h"
#include "config/fleettables.h"
#include "store/kvstore.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumspread::config {

/// The active configuration of one entry. Its revision is the store's and only
/// increases. Updates from the watch, the periodic read and peers may arrive in
/// any order and more than once.
class ConfigTable {
public:
  explicit ConfigTable(std::string Prefix) : Prefix_(std::move(Prefix)) {}

  /// Applies values and records that all writes up to \p Through are known.
  /// Values that are not newer than the active one are ignored, so that no
  /// change is ever reverted. Returns the resulting changes.
  std::vector<Change> apply(const std::vector<store::KeyValue> &Items,
                            Revision Through);

  /// All values written after \p Since, for a peer that lags behind.
  std::vector<store::KeyValue> itemsSince(Revision Since) const;

  /// Returns whether the store's data must be rejected. A store that answers
  /// with a revision below the active one has lost accepted writes, for example
  /// because it was restored from a backup. Once detected, this stays true.
  bool detectStoreRollback(Revision StoreRevision);
  bool storeRolledBack() const { return StoreRolledBack_; }

  /// Revision of the last write to the value that holds the object. Every entry
  /// that has applied it knows the object's current state. The object's own
  /// resource version may be lower than the revision of its write.
  Revision lastWriteRevision(Kind Of, std::string_view Name) const;

  const FleetTables &tables() const { return Tables_; }
  Revision revision() const { return Revision_; }
  const std::string &prefix() const { return Prefix_; }
  /// Number of shard values and objects that could not be decoded; the previous
  /// version of each stays active.
  std::uint64_t unreadableValues() const { return UnreadableValues_; }

private:
  struct Shard {
    std::string Value_;
    Revision ModRevision_;
    std::vector<std::string> Names_;
  };

  template <typename T>
  void applyShard(Shard &Into, const store::KeyValue &Item,
                  std::vector<Change> &Changes);
  template <typename T>
  void remove(const std::string &Name, Revision At,
              std::vector<Change> &Changes);

  std::string Prefix_;
  std::unordered_map<std::string, Shard> Shards_;
  FleetTables Tables_;
  Revision Revision_;
  std::uint64_t UnreadableValues_ = 0;
  bool StoreRolledBack_ = false;
};

} // namespace laburnumspread::config
