#include "config/objectwriter.h"

#include "framework/digest/digest.h"

#include <boost/json/value.hpp>

namespace laburnumspread::config {

namespace json = boost::json;

namespace {

/// Longest stored value; the platform takes up to a megabyte.
constexpr std::size_t LongestShard = 256 * 1024;

const store::KeyValue *findKey(const store::RangeResult &Read,
                               const std::string &Key) {
  for (const store::KeyValue &Item : Read.Items_)
    if (Item.Key_ == Key)
      return &Item;
  return nullptr;
}

} // namespace

absl::StatusOr<OpenShard> openShard(const std::string &Key,
                                    const store::RangeResult &Read) {
  OpenShard Open;
  Open.Stamp_ = Read.StoreRevision_.next();
  Open.Before_.Key_ = Key;
  const store::KeyValue *Found = findKey(Read, Key);
  if (!Found)
    return Open;
  Open.Before_ = *Found;
  absl::StatusOr<json::value> Document =
      framework::settings::parseJson(Found->Value_);
  if (!Document.ok() || !Document->is_object() ||
      !Document->get_object().contains("items"))
    return absl::DataLossError("stored value " + Key + " cannot be read");
  Open.Items_ = std::move(Document->get_object()["items"].as_object());
  if (Found->Value_.size() > LongestShard)
    return absl::ResourceExhaustedError("stored value " + Key + " is full");
  return Open;
}

std::string shardText(const OpenShard &Open) {
  json::object Whole;
  Whole["items"] = Open.Items_;
  // Tells this write from every other, also from one of the same content.
  Whole["write"] = framework::digest::randomHex(8);
  return json::serialize(Whole);
}

bool holdsWrite(const store::RangeResult &Read, const std::string &Key,
                std::string_view Wanted) {
  const store::KeyValue *Found = findKey(Read, Key);
  return Found && Found->Value_ == Wanted;
}

} // namespace laburnumspread::config
