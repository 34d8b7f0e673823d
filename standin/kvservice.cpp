#include "standin/kvservice.h"

#include "framework/digest/digest.h"
#include "framework/fibers/waiter.h"

#include <boost/json.hpp>

namespace laburnumspread::standin {

namespace json = boost::json;
namespace http = framework::http;
using framework::clock::SystemClock;
using framework::digest::base64Decode;
using framework::digest::base64Encode;

namespace {

std::string decodedField(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  if (!Value || !Value->is_string())
    return {};
  return base64Decode(std::string_view(Value->get_string())).value_or("");
}

std::int64_t integerField(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  if (!Value)
    return 0;
  if (Value->is_string())
    return std::strtoll(Value->get_string().c_str(), nullptr, 10);
  return Value->is_int64() ? Value->get_int64() : 0;
}

json::object header(std::int64_t Revision) {
  return {{"revision", std::to_string(Revision)}};
}

json::object toJson(const std::string &Key, const StoredValue &Item) {
  return {{"key", base64Encode(Key)},
          {"value", base64Encode(Item.Value_)},
          {"create_revision", std::to_string(Item.CreateRevision_)},
          {"mod_revision", std::to_string(Item.ModRevision_)},
          {"version", std::to_string(Item.Version_)}};
}

json::object toJson(const KvEvent &Event) {
  json::object Result;
  if (Event.Deleted_) {
    Result["type"] = "DELETE";
    Result["kv"] = json::object{{"key", base64Encode(Event.Key_)}};
  } else {
    Result["kv"] = toJson(Event.Key_, Event.Value_);
  }
  return Result;
}

void replyJson(http::Exchange &Call, int Status, const json::value &Body) {
  http::Response Answer;
  Answer.Status_ = Status;
  Answer.Headers_.add("Content-Type", "application/json");
  Answer.Body_ = json::serialize(Body);
  Call.reply(Answer);
}

std::optional<json::object> readBody(http::Exchange &Call) {
  std::string Body;
  for (bool More = true; More;) {
    const absl::StatusOr<bool> Next = Call.readSome(Body, 64 * 1024);
    if (!Next.ok())
      return std::nullopt;
    More = *Next;
  }
  boost::system::error_code Error;
  json::value Document = json::parse(Body, Error);
  if (Error || !Document.is_object())
    return std::nullopt;
  return std::move(Document.get_object());
}

} // namespace

void KvService::handle(http::Exchange &Call) {
  const std::string Path = Call.head().Target_.substr(3);
  ++Calls_[Path];
  if (Faults_.StoreSlowMs_ > 0)
    framework::fibers::sleepFor(
        std::chrono::milliseconds(Faults_.StoreSlowMs_));
  if (Faults_.StoreDown_)
    return Call.abort();
  const std::optional<json::object> Request = readBody(Call);
  if (!Request)
    return replyJson(Call, 400, json::object{{"message", "bad request"}});
  State_.expireLeases(SystemClock().now());
  if (Path == "/watch")
    return watch(Call, *Request);
  const std::int64_t Before = State_.revision();
  json::object Answer;
  if (Path == "/kv/range")
    Answer = range(*Request);
  else if (Path == "/kv/txn")
    Answer = txn(*Request);
  else if (Path == "/kv/put")
    Answer = apply({{"request_put", *Request}});
  else if (Path == "/kv/compaction")
    State_.compact(integerField(*Request, "revision"));
  else if (Path.starts_with("/lease/"))
    Answer = lease(Path.substr(7), *Request);
  else
    return replyJson(Call, 404, json::object{{"message", "not found"}});
  const bool Modified = State_.revision() != Before;
  if (Modified)
    Changed_.notify_all();
  if (Modified && Faults_.LoseAnswers_ > 0) {
    --Faults_.LoseAnswers_;
    return Call.abort();
  }
  if (Answer.contains("error"))
    return replyJson(Call, 400, Answer);
  Answer["header"] = header(State_.revision());
  replyJson(Call, 200, Answer);
}

json::object KvService::range(const json::object &Request) {
  const std::string From = decodedField(Request, "key");
  const std::string To = decodedField(Request, "range_end");
  const std::int64_t MinRevision = integerField(Request, "min_mod_revision");
  json::array Items;
  const auto &All = State_.items();
  for (auto It = All.lower_bound(From); It != All.end(); ++It) {
    if (!inRange(It->first, From, To))
      break;
    if (It->second.ModRevision_ >= MinRevision)
      Items.push_back(toJson(It->first, It->second));
  }
  const std::size_t Count = Items.size();
  return {{"kvs", std::move(Items)}, {"count", std::to_string(Count)}};
}

bool KvService::compareSucceeds(const json::object &Compare) const {
  const StoredValue *Item = State_.find(decodedField(Compare, "key"));
  const json::value *Target = Compare.if_contains("target");
  if (Target && Target->is_string() && Target->get_string() == "CREATE")
    return (Item ? Item->CreateRevision_ : 0) ==
           integerField(Compare, "create_revision");
  return (Item ? Item->ModRevision_ : 0) ==
         integerField(Compare, "mod_revision");
}

json::object KvService::txn(const json::object &Request) {
  bool Succeeded = true;
  if (const json::value *Compares = Request.if_contains("compare"))
    for (const json::value &Item : Compares->as_array())
      Succeeded = Succeeded && compareSucceeds(Item.as_object());
  const json::value *Operations =
      Request.if_contains(Succeeded ? "success" : "failure");
  json::array Answers;
  if (Operations && !Operations->as_array().empty()) {
    State_.beginWrite();
    for (const json::value &Item : Operations->as_array()) {
      json::object Answer = apply(Item.as_object());
      if (Answer.contains("error"))
        return Answer;
      Answers.push_back(std::move(Answer));
    }
  }
  json::object Result{{"responses", std::move(Answers)}};
  // The etcd gateway omits false flags.
  if (Succeeded)
    Result["succeeded"] = true;
  return Result;
}

json::object KvService::apply(const json::object &Operation) {
  if (const json::value *Put = Operation.if_contains("request_put")) {
    const json::object &Request = Put->as_object();
    std::string Value = decodedField(Request, "value");
    if (Value.size() > KvState::MaxValueBytes)
      return {{"error", "value is too large"}};
    State_.put(decodedField(Request, "key"), std::move(Value),
               integerField(Request, "lease"));
    return {{"response_put", json::object()}};
  }
  if (const json::value *Delete =
          Operation.if_contains("request_delete_range")) {
    const json::object &Request = Delete->as_object();
    State_.eraseRange(decodedField(Request, "key"),
                      decodedField(Request, "range_end"));
    return {{"response_delete_range", json::object()}};
  }
  return {{"error", "unknown operation"}};
}

json::object KvService::lease(std::string_view Operation,
                              const json::object &Request) {
  const TimePoint Now = SystemClock().now();
  const std::int64_t Id = integerField(Request, "ID");
  if (Operation == "grant")
    return {{"ID", std::to_string(
                       State_.grantLease(integerField(Request, "TTL"), Now))}};
  if (Operation == "keepalive") {
    const std::int64_t Seconds = State_.keepLease(Id, Now);
    return {{"result", json::object{{"ID", std::to_string(Id)},
                                    {"TTL", std::to_string(Seconds)}}}};
  }
  State_.revokeLease(Id);
  return {};
}

bool KvService::sendEvents(http::Exchange &Call, const std::string &From,
                           const std::string &To, std::int64_t &Next) {
  const auto Events = State_.eventsSince(Next);
  if (!Events) {
    const json::object Result{
        {"result", json::object{{"header", header(State_.revision())},
                                {"canceled", true},
                                {"compact_revision",
                                 std::to_string(State_.revision())}}}};
    Call.write(json::serialize(Result) + "\n").IgnoreError();
    return false;
  }
  Next = State_.revision() + 1;
  json::array Matching;
  for (const KvEvent &Event : *Events)
    if (inRange(Event.Key_, From, To))
      Matching.push_back(toJson(Event));
  if (Matching.empty())
    return true;
  const json::object Result{
      {"result", json::object{{"header", header(State_.revision())},
                              {"events", std::move(Matching)}}}};
  return Call.write(json::serialize(Result) + "\n").ok();
}

void KvService::watch(http::Exchange &Call, const json::object &Request) {
  const json::value *Create = Request.if_contains("create_request");
  if (!Create || !Create->is_object())
    return replyJson(Call, 400, json::object{{"message", "no create_request"}});
  const std::string From = decodedField(Create->get_object(), "key");
  const std::string To = decodedField(Create->get_object(), "range_end");
  std::int64_t Next = integerField(Create->get_object(), "start_revision");
  if (Next == 0)
    Next = State_.revision() + 1;
  auto Disconnected = std::make_shared<bool>(false);
  Call.onCallerDisconnected([this, Disconnected] {
    *Disconnected = true;
    Changed_.notify_all();
  });
  http::Response Head;
  Head.Status_ = 200;
  Head.Headers_.add("Content-Type", "application/json");
  Call.beginReply(Head, std::nullopt);
  const json::object Created{
      {"result",
       json::object{{"header", header(State_.revision())}, {"created", true}}}};
  bool Open = Call.write(json::serialize(Created) + "\n").ok();
  while (Open && !*Disconnected) {
    if (Faults_.StoreDown_)
      return Call.abort();
    if (!Faults_.WatchSilent_)
      Open = sendEvents(Call, From, To, Next);
    std::unique_lock<boost::fibers::mutex> Lock(Mutex_);
    if (Open && !*Disconnected &&
        (Faults_.WatchSilent_ || State_.revision() < Next))
      Changed_.wait(Lock);
  }
  Call.endReply();
}

} // namespace laburnumspread::standin
