#pragma once

#include "config/configtypes.h"
#include "config/fleettables.h"
#include "store/kvstore.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumspread::config {

/// The configuration in force at one entry: numbered by the store's revision,
/// which only rises. Fed by the watch, by the periodic read and by peers, in
/// any order and any number of times.
class ConfigTable {
public:
  explicit ConfigTable(std::string Prefix) : Prefix_(std::move(Prefix)) {}

  /// Takes values and notes that everything up to \p Through is known. A value
  /// that is not newer than the one in force is left aside, so nothing ever
  /// reverts. Returns what changed.
  std::vector<Change> apply(const std::vector<store::KeyValue> &Items,
                            Revision Through);

  /// Everything written after \p Since, for a peer that lags.
  std::vector<store::KeyValue> itemsSince(Revision Since) const;

  /// A store that answers with a revision below the one in force has lost
  /// writes that were accepted (it was restored from a backup, say). Returns
  /// true and stays set: nothing of it is taken any more.
  bool detectStoreRollback(Revision StoreRevision);
  bool storeRolledBack() const { return StoreRolledBack_; }

  /// A revision at which every entry that has it in force knows the object as
  /// it stands: that of the last write to the value that holds it. The
  /// object's own resource version may be lower than that of its write.
  Revision lastWriteRevision(Kind Of, std::string_view Name) const;

  const FleetTables &tables() const { return Tables_; }
  Revision revision() const { return Revision_; }
  const std::string &prefix() const { return Prefix_; }
  /// Shard values that could not be read; the version before stays in force.
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
