#include "store/internal/gatewayjson.h"

#include "framework/digest/digest.h"

#include <boost/json.hpp>

namespace laburnumspread::store {

namespace json = boost::json;
using framework::digest::base64Decode;
using framework::digest::base64Encode;

namespace {

/// Reads an integer; the gateway encodes 64-bit numbers as strings.
std::int64_t numberAt(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  if (!Value)
    return 0;
  if (Value->is_string())
    return std::strtoll(Value->get_string().c_str(), nullptr, 10);
  boost::system::error_code Ignored;
  return Value->is_number() ? Value->to_number<std::int64_t>(Ignored) : 0;
}

std::string bytesAt(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  if (!Value || !Value->is_string())
    return {};
  return base64Decode(std::string_view(Value->get_string())).value_or("");
}

const json::object *objectAt(const json::object &Object,
                             std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value ? Value->if_object() : nullptr;
}

Revision headerRevision(const json::object &Answer) {
  const json::object *Header = objectAt(Answer, "header");
  return Revision(Header ? numberAt(*Header, "revision") : 0);
}

KeyValue readKeyValue(const json::object &Item) {
  return {bytesAt(Item, "key"), bytesAt(Item, "value"),
          Revision(numberAt(Item, "mod_revision"))};
}

absl::StatusOr<json::object> parseObject(std::string_view Text) {
  boost::system::error_code Error;
  json::value Value =
      json::parse(json::string_view(Text.data(), Text.size()), Error);
  if (Error || !Value.is_object())
    return absl::UnknownError("store answer is not a JSON object");
  return std::move(Value.get_object());
}

WatchBatch readBatch(const json::object &Result) {
  WatchBatch Batch;
  Batch.StoreRevision_ = headerRevision(Result);
  const json::value *Events = Result.if_contains("events");
  if (!Events || !Events->is_array())
    return Batch;
  for (const json::value &Item : Events->get_array()) {
    const json::object *Event = Item.if_object();
    const json::object *Kv = Event ? objectAt(*Event, "kv") : nullptr;
    if (!Kv)
      continue;
    const json::value *Type = Event->if_contains("type");
    if (Type && Type->is_string() && Type->get_string() == "DELETE")
      Batch.recordDelete(bytesAt(*Kv, "key"));
    else
      Batch.recordPut(readKeyValue(*Kv));
  }
  return Batch;
}

json::object toJson(const Compare &Item) {
  json::object Result;
  Result["key"] = base64Encode(Item.Key_);
  Result["target"] = "MOD";
  Result["result"] = "EQUAL";
  Result["mod_revision"] = std::to_string(Item.ModRevision_.value());
  return Result;
}

json::object toJson(const Put &Item) {
  json::object Request;
  Request["key"] = base64Encode(Item.Key_);
  Request["value"] = base64Encode(Item.Value_);
  if (Item.Lease_ != 0)
    Request["lease"] = std::to_string(Item.Lease_);
  json::object Result;
  Result["request_put"] = std::move(Request);
  return Result;
}

json::object deleteToJson(const std::string &Key) {
  json::object Request;
  Request["key"] = base64Encode(Key);
  json::object Result;
  Result["request_delete_range"] = std::move(Request);
  return Result;
}

} // namespace

std::string prefixEnd(std::string Prefix) {
  while (!Prefix.empty()) {
    const auto Last = static_cast<unsigned char>(Prefix.back());
    if (Last < 0xff) {
      Prefix.back() = static_cast<char>(Last + 1);
      return Prefix;
    }
    Prefix.pop_back();
  }
  return std::string(1, '\0');
}

std::string rangeRequest(const std::string &Prefix, Revision Since) {
  json::object Request;
  Request["key"] = base64Encode(Prefix);
  Request["range_end"] = base64Encode(prefixEnd(Prefix));
  if (Since.value() > 0)
    Request["min_mod_revision"] = std::to_string(Since.value());
  return json::serialize(Request);
}

std::string transactionRequest(const Transaction &Txn) {
  json::array Compares, Successes;
  for (const Compare &Item : Txn.Compares_)
    Compares.push_back(toJson(Item));
  for (const Put &Item : Txn.Puts_)
    Successes.push_back(toJson(Item));
  for (const std::string &Key : Txn.Deletes_)
    Successes.push_back(deleteToJson(Key));
  json::object Request;
  Request["compare"] = std::move(Compares);
  Request["success"] = std::move(Successes);
  return json::serialize(Request);
}

std::string watchRequest(const std::string &Prefix, Revision Since) {
  json::object Create;
  Create["key"] = base64Encode(Prefix);
  Create["range_end"] = base64Encode(prefixEnd(Prefix));
  Create["start_revision"] = std::to_string(Since.value());
  json::object Request;
  Request["create_request"] = std::move(Create);
  return json::serialize(Request);
}

std::string leaseRequest(std::string_view Field, std::int64_t Value) {
  json::object Request;
  Request[Field] = std::to_string(Value);
  return json::serialize(Request);
}

absl::StatusOr<RangeResult> readRangeAnswer(std::string_view Text) {
  absl::StatusOr<json::object> Answer = parseObject(Text);
  if (!Answer.ok())
    return Answer.status();
  RangeResult Result;
  Result.StoreRevision_ = headerRevision(*Answer);
  if (const json::value *Items = Answer->if_contains("kvs");
      Items && Items->is_array())
    for (const json::value &Item : Items->get_array())
      if (const json::object *Kv = Item.if_object())
        Result.Items_.push_back(readKeyValue(*Kv));
  return Result;
}

absl::StatusOr<TransactionResult> readTransactionAnswer(std::string_view Text) {
  absl::StatusOr<json::object> Answer = parseObject(Text);
  if (!Answer.ok())
    return Answer.status();
  const json::value *Succeeded = Answer->if_contains("succeeded");
  return TransactionResult{Succeeded && Succeeded->is_bool() &&
                               Succeeded->get_bool(),
                           headerRevision(*Answer)};
}

absl::StatusOr<std::int64_t> readLeaseId(std::string_view Text) {
  absl::StatusOr<json::object> Answer = parseObject(Text);
  if (!Answer.ok())
    return Answer.status();
  return numberAt(*Answer, "ID");
}

absl::StatusOr<bool> readKeepAlive(std::string_view Text) {
  absl::StatusOr<json::object> Answer = parseObject(Text);
  if (!Answer.ok())
    return Answer.status();
  const json::object *Result = objectAt(*Answer, "result");
  return Result && numberAt(*Result, "TTL") > 0;
}

bool WatchReader::feed(std::string_view Part) {
  Pending_ += Part;
  if (Pending_.size() > MaxWatchLineBytes)
    return fail(absl::ResourceExhaustedError("watch answer is too large"));
  std::size_t Start = 0;
  for (std::size_t End = Pending_.find('\n'); End != std::string::npos;
       End = Pending_.find('\n', Start)) {
    if (!handleLine(std::string_view(Pending_).substr(Start, End - Start)))
      return false;
    Start = End + 1;
  }
  Pending_.erase(0, Start);
  return true;
}

bool WatchReader::fail(absl::Status Error) {
  Status_ = std::move(Error);
  return false;
}

bool WatchReader::handleLine(std::string_view Text) {
  if (Text.empty())
    return true;
  absl::StatusOr<json::object> Answer = parseObject(Text);
  if (!Answer.ok())
    return fail(Answer.status());
  const json::object *Result = objectAt(*Answer, "result");
  if (!Result)
    return fail(absl::UnknownError("watch answer has no result"));
  if (const json::value *Cancelled = Result->if_contains("canceled");
      Cancelled && Cancelled->is_bool() && Cancelled->get_bool())
    return fail(absl::OutOfRangeError("history has been compacted"));
  return Callback_(readBatch(*Result));
}

} // namespace laburnumspread::store
