#include "config/objectwriter.h"

#include "framework/digest/digest.h"

#include <boost/json/value.hpp>

namespace laburnumspread::config {

namespace json = boost::json;

namespace {

/// Maximum size of a stored value. The platform accepts up to 1 MB.
constexpr std::size_t MaxShardBytes = 256 * 1024;

const store::KeyValue *findKey(const store::RangeResult &Read,
                               const std::string &Key) {
  for (const store::KeyValue &Item : Read.Items_)
    if (Item.Key_ == Key)
      return &Item;
  return nullptr;
}

} // namespace

absl::StatusOr<LoadedShard> loadShard(const std::string &Key,
                                      const store::RangeResult &Read) {
  LoadedShard Shard;
  Shard.NextResourceVersion_ = Read.StoreRevision_.next();
  Shard.Stored_.Key_ = Key;
  const store::KeyValue *Found = findKey(Read, Key);
  if (!Found)
    return Shard;
  Shard.Stored_ = *Found;
  absl::StatusOr<json::value> Document =
      framework::settings::parseJson(Found->Value_);
  const json::object *Fields = Document.ok() ? Document->if_object() : nullptr;
  const json::value *Items = Fields ? Fields->if_contains("items") : nullptr;
  if (!Items || !Items->is_object())
    return absl::DataLossError("stored value " + Key + " is malformed");
  Shard.Items_ = Items->get_object();
  if (Found->Value_.size() > MaxShardBytes)
    return absl::ResourceExhaustedError("stored value " + Key +
                                        " exceeds the size limit");
  return Shard;
}

std::string serializeShard(const LoadedShard &Shard) {
  json::object Whole;
  Whole["items"] = Shard.Items_;
  // Distinguishes this write from all others, even those of equal content.
  Whole["write"] = framework::digest::randomHex(8);
  return json::serialize(Whole);
}

bool containsWrite(const store::RangeResult &Read, const std::string &Key,
                   std::string_view Wanted) {
  const store::KeyValue *Found = findKey(Read, Key);
  return Found && Found->Value_ == Wanted;
}

} // namespace laburnumspread::config
