#include "config/configtable.h"

#include "config/shards.h"
#include "fleet/resourcejson.h"

#include <algorithm>

#include <boost/json/serialize.hpp>

namespace laburnumspread::config {

namespace json = boost::json;
using framework::settings::FieldErrors;

namespace {

/// Objects of a stored value, or null if it is malformed.
const json::object *itemsOf(const json::value &Document) {
  const json::object *Whole = Document.if_object();
  const json::value *Items = Whole ? Whole->if_contains("items") : nullptr;
  return Items ? Items->if_object() : nullptr;
}

void indexKeyHash(FleetTables &, const std::string &, const auto &) {}
void indexKeyHash(FleetTables &Tables, const std::string &Name,
                  const fleet::Key &Object) {
  Tables.KeyNameByHash_[Object.Spec_.Sha256_] = Name;
}

void unindexKeyHash(FleetTables &, const auto &) {}
void unindexKeyHash(FleetTables &Tables, const fleet::Key &Object) {
  const auto At = Tables.KeyNameByHash_.find(Object.Spec_.Sha256_);
  if (At != Tables.KeyNameByHash_.end() && At->second == Object.Metadata_.Name_)
    Tables.KeyNameByHash_.erase(At);
}

template <typename T> std::string textOf(const T &Object) {
  return json::serialize(fleet::toJson(Object));
}

} // namespace

std::string_view nameOf(ChangeType Type) {
  switch (Type) {
  case ChangeType::Added:
    return "ADDED";
  case ChangeType::Modified:
    return "MODIFIED";
  case ChangeType::Deleted:
    return "DELETED";
  }
  return "MODIFIED";
}

template <typename T>
void ConfigTable::remove(const std::string &Name, Revision At,
                         std::vector<Change> &Changes) {
  auto &Rows = Tables_.table<T>();
  const auto Old = Rows.find(Name);
  if (Old == Rows.end())
    return;
  Changes.push_back({ChangeType::Deleted, fleet::KindOf<T>::Value, Name, At,
                     textOf(Old->second)});
  unindexKeyHash(Tables_, Old->second);
  Rows.erase(Old);
}

template <typename T>
void ConfigTable::applyShard(Shard &Into, const store::KeyValue &Item,
                             std::vector<Change> &Changes) {
  const auto Document = framework::settings::parseJson(Item.Value_);
  const json::object *Items = Document.ok() ? itemsOf(*Document) : nullptr;
  if (!Items) {
    ++UnreadableValues_;
    return;
  }
  auto &Rows = Tables_.table<T>();
  std::vector<std::string> Names;
  for (const auto &Field : *Items) {
    std::string Name(Field.key());
    FieldErrors Errors;
    T Object = fleet::readStored<T>(Name, Field.value(), Errors);
    Names.push_back(Name);
    if (!Errors.empty()) {
      ++UnreadableValues_;
      continue;
    }
    const auto Old = Rows.find(Name);
    if (Old != Rows.end() && Old->second.Metadata_.ResourceVersion_ ==
                                 Object.Metadata_.ResourceVersion_)
      continue;
    const bool Added = Old == Rows.end();
    Changes.push_back({Added ? ChangeType::Added : ChangeType::Modified,
                       fleet::KindOf<T>::Value, Name, Item.ModRevision_,
                       textOf(Object)});
    if (!Added)
      unindexKeyHash(Tables_, Old->second);
    T &Now = Rows[Name] = std::move(Object);
    indexKeyHash(Tables_, Name, Now);
  }
  for (const std::string &Name : Into.Names_)
    if (std::find(Names.begin(), Names.end(), Name) == Names.end())
      remove<T>(Name, Item.ModRevision_, Changes);
  Into = {Item.Value_, Item.ModRevision_, std::move(Names)};
}

std::vector<Change>
ConfigTable::apply(const std::vector<store::KeyValue> &Items,
                   Revision Through) {
  std::vector<Change> Changes;
  for (const store::KeyValue &Item : Items) {
    const std::optional<Kind> Of = kindOfShardKey(Prefix_, Item.Key_);
    if (!Of)
      continue;
    Shard &Into = Shards_[Item.Key_];
    if (Item.ModRevision_ <= Into.ModRevision_)
      continue;
    visitKind(*Of,
              [&]<typename T>(T *) { applyShard<T>(Into, Item, Changes); });
  }
  Revision_ = std::max(Revision_, Through);
  std::stable_sort(Changes.begin(), Changes.end(),
                   [](const Change &A, const Change &B) {
                     return A.Revision_ < B.Revision_;
                   });
  return Changes;
}

std::vector<store::KeyValue> ConfigTable::itemsSince(Revision Since) const {
  std::vector<store::KeyValue> Result;
  for (const auto &[Key, Item] : Shards_)
    if (Item.ModRevision_ > Since)
      Result.push_back({Key, Item.Value_, Item.ModRevision_});
  return Result;
}

Revision ConfigTable::lastWriteRevision(Kind Of, std::string_view Name) const {
  const auto At = Shards_.find(shardKey(Prefix_, Of, Name));
  return At == Shards_.end() ? Revision_ : At->second.ModRevision_;
}

bool ConfigTable::detectStoreRollback(Revision StoreRevision) {
  if (StoreRevision < Revision_)
    StoreRolledBack_ = true;
  return StoreRolledBack_;
}

} // namespace laburnumspread::config
