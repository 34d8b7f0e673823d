#include "api/operatorapi.h"

#include "api/validation.h"
#include "framework/digest/digest.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

namespace laburnumspread::api {

namespace json = boost::json;
using entry::ProblemCode;
using fleet::Kind;
using fleet::Revision;
using framework::http::Exchange;
using framework::http::Response;
using framework::http::Target;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxDocumentBytes = 256 * 1024;
constexpr framework::clock::Duration WriteTimeout = 5s;
constexpr framework::clock::Duration BookmarkInterval = 5s;

std::optional<Revision> parseRevision(std::string_view Text) {
  while (Text.starts_with('"') || Text.starts_with("W/"))
    Text.remove_prefix(Text.starts_with('"') ? 1 : 2);
  if (Text.ends_with('"'))
    Text.remove_suffix(1);
  std::uint64_t Value = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Parsed.ec != std::errc() ||
      Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Revision(Value);
}

absl::StatusOr<std::string> readDocument(Exchange &Call) {
  std::string Body;
  for (bool More = true; More;) {
    const absl::StatusOr<bool> Next = Call.readSome(Body, 16 * 1024);
    if (!Next.ok())
      return Next.status();
    if (Body.size() > MaxDocumentBytes)
      return absl::ResourceExhaustedError("document is larger than 256 KiB");
    More = *Next;
  }
  return Body;
}

json::object conditionJson(std::string_view Type, bool Holds,
                           std::string_view Reason, const std::string &Message,
                           std::uint64_t Generation) {
  return {{"type", Type},
          {"status", Holds ? "True" : "False"},
          {"reason", Reason},
          {"message", Message},
          {"observedGeneration", Generation}};
}

std::string joined(const std::vector<std::string> &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name;
  return Text;
}

bool isDryRun(const Target &Path) { return Path.query("dryRun") == "true"; }

} // namespace

class OperatorApi::JsonLineStream {
public:
  JsonLineStream(OperatorApi &Owner, Exchange &Call)
      : Owner_(Owner), Call_(Call) {
    Call_.onCallerDisconnected([Gone = Gone_, Wake = Wake_] {
      *Gone = true;
      if (*Wake)
        (*Wake)->signal();
    });
    Response Head;
    Head.Status_ = 200;
    Head.Headers_.add("Content-Type", "application/jsonl");
    Call_.beginReply(Head, std::nullopt);
  }

  ~JsonLineStream() {
    Call_.onCallerDisconnected(nullptr);
    Call_.endReply();
  }

  /// Writes one line. Returns false if the caller has disconnected.
  bool writeLine(const json::object &Value) {
    return Call_.write(json::serialize(Value) + "\n").ok();
  }

  /// Waits for a change or the time of the next bookmark. Returns false if the
  /// caller has disconnected or the entry is stopping.
  bool wait() {
    auto Next = std::make_shared<framework::fibers::Waiter>();
    *Wake_ = Next;
    Owner_.Watchers_.push_back(Next);
    Next->waitUntil(Owner_.Context_.State_.now() + BookmarkInterval);
    return !*Gone_ && !Owner_.Context_.State_.Leaving_;
  }

private:
  OperatorApi &Owner_;
  Exchange &Call_;
  std::shared_ptr<bool> Gone_ = std::make_shared<bool>(false);
  std::shared_ptr<framework::fibers::WaiterPtr> Wake_ =
      std::make_shared<framework::fibers::WaiterPtr>();
};

OperatorApi::OperatorApi(ApiContext &Context) : Context_(Context) {
  Context_.State_.Decisions_.onAdded([this] { notifyWatchers(); });
}

void OperatorApi::notifyWatchers() {
  std::vector<std::weak_ptr<framework::fibers::Waiter>> Wakened;
  Wakened.swap(Watchers_);
  for (const auto &Item : Wakened)
    if (const auto Waiter = Item.lock())
      Waiter->signal();
}

bool OperatorApi::authorizeOperator(Exchange &Call) {
  constexpr std::string_view Bearer = "Bearer ";
  const auto Field = Call.head().Headers_.find("Authorization");
  if (!Field || !Field->starts_with(Bearer)) {
    replyProblem(Call, ProblemCode::MissingKey,
                 "Authorization: Bearer <operator key> is required");
    return false;
  }
  const std::string Hash =
      framework::digest::sha256Hex(Field->substr(Bearer.size()));
  bool Known = false;
  for (const entry::OperatorKey &Key : Context_.State_.Settings_.OperatorKeys_)
    Known |= framework::digest::equalInConstantTime(Hash, Key.Sha256_);
  if (!Known)
    replyProblem(Call, ProblemCode::UnknownKey, "unknown operator key");
  return Known;
}

bool OperatorApi::handle(Exchange &Call, const Target &Path) {
  const auto &Parts = Path.Segments_;
  if (Parts.size() < 2 || Parts.size() > 3)
    return false;
  if (Parts[1] == "decisions" || Parts[1] == "entries") {
    if (authorizeOperator(Call))
      Parts[1] == "entries" ? handleEntries(Call, Path)
                            : handleDecisions(Call, Path);
    return true;
  }
  const std::optional<Kind> Of = fleet::parseKind(Parts[1]);
  if (!Of)
    return false;
  if (!authorizeOperator(Call))
    return true;
  const std::string &Method = Call.head().Method_;
  const std::string Name = Parts.size() == 3 ? Parts[2] : "";
  config::visitKind(*Of, [&]<typename T>(T *) {
    if (Name.empty() && Method == "GET")
      Path.query("watch") == "true" ? watch(Call, *Of, Path) : list<T>(Call);
    else if (!Name.empty() && Method == "GET")
      get<T>(Call, Name);
    else if (!Name.empty() && Method == "PUT")
      put<T>(Call, Name, Path);
    else if (!Name.empty() && Method == "DELETE")
      remove<T>(Call, Name, Path);
    else
      replyProblem(Call, ProblemCode::MethodNotAllowed,
                   Method + " is not supported on this path");
  });
  return true;
}

template <typename T>
json::object OperatorApi::withStatus(const T &Object, Revision InForce) {
  json::object Result = fleet::toJson(Object);
  json::object &Status = Result["status"].as_object();
  if (!Status.contains("conditions"))
    Status["conditions"] = json::array();
  const auto Rollout = Context_.Membership_.configRollout(InForce);
  Status["conditions"].as_array().push_back(conditionJson(
      "InForce", Rollout.Awaited_.empty(),
      Rollout.Awaited_.empty() ? "AllEntries" : "EntriesAwaited",
      Rollout.Awaited_.empty() ? "in force on " + joined(Rollout.Applied_)
                               : "awaiting " + joined(Rollout.Awaited_),
      Object.Metadata_.Generation_.value()));
  return Result;
}

template <typename T> void OperatorApi::list(Exchange &Call) {
  const auto &State = Context_.State_;
  json::array Items;
  for (const auto &[Name, Object] : State.Config_.tables().table<T>())
    Items.push_back(fleet::toJson(Object));
  replyJson(
      Call, 200,
      json::object{
          {"kind", fleet::nameOf(fleet::KindOf<T>::Value)},
          {"metadata",
           json::object{{"resourceVersion",
                         std::to_string(State.Config_.revision().value())}}},
          {"items", std::move(Items)}});
}

template <typename T>
void OperatorApi::get(Exchange &Call, const std::string &Name) {
  const T *Object = Context_.State_.Config_.tables().find<T>(Name);
  if (!Object)
    return replyProblem(Call, ProblemCode::NotFound, "no such object");
  json::object Body = withStatus(
      *Object,
      Context_.State_.Config_.lastWriteRevision(fleet::KindOf<T>::Value, Name));
  if constexpr (std::is_same_v<T, fleet::Vm>)
    addDrain(Body, *Object);
  replyJson(Call, 200, Body);
}

/// Adds the progress of a VM's drain, whether requested by an operator or by a
/// wave.
void OperatorApi::addDrain(json::object &Body, const fleet::Vm &Object) const {
  const auto Drain =
      Context_.Membership_.drainState(fleet::VmName(Object.Metadata_.Name_),
                                      Context_.State_.Config_.lastWriteRevision(
                                          Kind::Vms, Object.Metadata_.Name_));
  json::array Awaited;
  for (const std::string &Name : Drain.Awaited_)
    Awaited.emplace_back(Name);
  Body["drain"] =
      json::object{{"busy", Drain.Busy_}, {"awaited", std::move(Awaited)}};
}

bool OperatorApi::acceptsWrites(Exchange &Call) {
  entry::EntryState &State = Context_.State_;
  // An entry that does not reach a majority of the view could accept a
  // withdrawal that the other entries never learn of while they still serve
  // requests; see ReachabilityTracker::fenced().
  if (State.Started_ && State.Reachability_.isMajorityReachable(
                            State.View_, State.Self_.Id_, State.now()))
    return true;
  replyProblem(Call, ProblemCode::CutOff,
               "this entry does not reach most other entries, so a change "
               "might not take effect everywhere");
  return false;
}

entry::Problem problemOf(const absl::Status &Error) {
  entry::Problem Result;
  Result.Code_ = ProblemCode::StoreUnavailable;
  if (absl::IsAborted(Error))
    Result.Code_ = ProblemCode::Conflict;
  if (absl::IsNotFound(Error))
    Result.Code_ = ProblemCode::NotFound;
  if (absl::IsInvalidArgument(Error))
    Result.Code_ = ProblemCode::Invalid;
  if (absl::IsUnknown(Error))
    Result.Outcome_ = fleet::Outcome::Unknown;
  Result.Detail_ = std::string(Error.message());
  return Result;
}

template <typename T>
void OperatorApi::replyWritten(Exchange &Call,
                               const config::WriteResult<T> &Done,
                               bool DryRun) {
  if (!DryRun && Done.Changed_)
    // Apply the change here before the response reports it as written.
    Context_.Config_.poll();
  json::object Body = withStatus(Done.Object_, Done.Revision_);
  Body["changed"] = Done.Changed_;
  Body["inForceRevision"] = std::to_string(Done.Revision_.value());
  if (DryRun)
    Body["dryRun"] = true;
  replyJson(Call, 200, Body);
}

template <typename T>
void OperatorApi::put(Exchange &Call, const std::string &Name,
                      const Target &Path) {
  const absl::StatusOr<std::string> Text = readDocument(Call);
  if (!Text.ok())
    return replyProblem(Call, ProblemCode::BodyTooLarge,
                        std::string(Text.status().message()));
  const auto Document = framework::settings::parseJson(*Text);
  if (!Document.ok())
    return replyProblem(Call, ProblemCode::BadRequest,
                        std::string(Document.status().message()));
  framework::settings::FieldErrors Errors;
  const T Wanted = fleet::readResource<T>(*Document, Errors);
  if (Errors.empty() && Wanted.Metadata_.Name_ != Name)
    Errors.push_back({"metadata.name", "is not the name in the path"});
  if (Errors.empty())
    Errors = validate(Context_.State_.Config_.tables(), Wanted);
  if (!Errors.empty())
    return replyProblem(Call, ProblemCode::Invalid,
                        framework::settings::describe(Errors));
  std::optional<Revision> IfMatch;
  if (!readCondition(Call, IfMatch))
    return;
  if (!isDryRun(Path) && !acceptsWrites(Call))
    return;
  const auto Done = Context_.Writer_.putSpec(
      Wanted, IfMatch, isDryRun(Path), Context_.State_.now() + WriteTimeout);
  if (!Done.ok())
    return replyProblem(Call, problemOf(Done.status()));
  replyWritten(Call, *Done, isDryRun(Path));
}

bool OperatorApi::readCondition(Exchange &Call, std::optional<Revision> &Into) {
  const auto Field = Call.head().Headers_.find("If-Match");
  if (!Field)
    return true;
  Into = parseRevision(*Field);
  if (!Into)
    replyProblem(Call, ProblemCode::BadRequest,
                 "If-Match must be a resource version");
  return Into.has_value();
}

template <typename T>
void OperatorApi::remove(Exchange &Call, const std::string &Name,
                         const Target &Path) {
  const std::string Conflict = deletionConflict(
      Context_.State_.Config_.tables(), fleet::KindOf<T>::Value, Name);
  if (!Conflict.empty())
    return replyProblem(Call, ProblemCode::Conflict, Conflict);
  std::optional<Revision> IfMatch;
  if (!readCondition(Call, IfMatch))
    return;
  if (!isDryRun(Path) && !acceptsWrites(Call))
    return;
  const auto Done = Context_.Writer_.template remove<T>(
      Name, IfMatch, isDryRun(Path), Context_.State_.now() + WriteTimeout);
  if (!Done.ok())
    return replyProblem(Call, problemOf(Done.status()));
  replyWritten(Call, *Done, isDryRun(Path));
}

void OperatorApi::watch(Exchange &Call, Kind Of, const Target &Path) {
  auto &State = Context_.State_;
  const auto Requested = Path.query("resourceVersion");
  std::optional<Revision> Since =
      Requested ? parseRevision(*Requested) : State.Config_.revision();
  if (!Since)
    return replyProblem(Call, ProblemCode::BadRequest,
                        "resourceVersion must be a number");
  if (!State.Changes_.since(Of, *Since))
    return replyProblem(Call, ProblemCode::Gone,
                        "changes since " + std::to_string(Since->value()) +
                            " are no longer kept; list the objects again");
  JsonLineStream Stream(*this, Call);
  do {
    const auto Changes = State.Changes_.since(Of, *Since);
    if (!Changes)
      return;
    for (const config::Change &Item : *Changes)
      if (!Stream.writeLine({{"type", config::nameOf(Item.Type_)},
                             {"object", json::parse(Item.Object_)}}))
        return;
    Since = std::max(*Since, State.Changes_.through());
    if (!Stream.writeLine(
            {{"type", "BOOKMARK"},
             {"resourceVersion", std::to_string(Since->value())}}))
      return;
  } while (Stream.wait());
}

void OperatorApi::handleEntries(Exchange &Call, const Target &Path) {
  auto &State = Context_.State_;
  if (Path.Segments_.size() == 3 && Call.head().Method_ == "DELETE") {
    for (const auto &Member : State.View_.Members_)
      if (Member.Id_.Name_.str() == Path.Segments_[2]) {
        const absl::Status Done = Context_.Membership_.declareStopped(
            Member.Id_, "declared stopped by an operator");
        if (!Done.ok())
          return replyProblem(Call, problemOf(Done));
        return replyJson(Call, 200,
                         json::object{{"removed", Path.Segments_[2]}});
      }
    return replyProblem(Call, ProblemCode::NotFound, "no such entry");
  }
  if (Call.head().Method_ != "GET")
    return replyProblem(Call, ProblemCode::MethodNotAllowed,
                        "entries join and leave on their own; use GET or "
                        "DELETE");
  json::array Items;
  for (const auto &Member : State.View_.Members_) {
    const std::string &Name = Member.Id_.Name_.str();
    if (Path.Segments_.size() == 3 && Path.Segments_[2] != Name)
      continue;
    const bool Self = Member.Id_ == State.Self_.Id_;
    const auto Row = State.Peers_.find(Member.Id_);
    const bool Reachable =
        Self || State.Reachability_.isPeerReachable(Member.Id_, State.now());
    Revision AppliedRevision = Self ? State.Config_.revision() : Revision(0);
    if (Row != State.Peers_.end())
      AppliedRevision = Row->second.Last_.ConfigRevision_;
    Items.push_back(json::object{
        {"kind", "entries"},
        {"metadata", json::object{{"name", Name}}},
        {"spec", json::object{{"vm", Member.Vm_.str()},
                              {"zone", Member.Zone_.str()},
                              {"http", Member.HttpAddress_},
                              {"peer", Member.PeerAddress_}}},
        {"status",
         json::object{{"incarnation", Member.Id_.Incarnation_.value()},
                      {"leaving", Member.Leaving_},
                      {"inTouch", Reachable},
                      {"configRevision", AppliedRevision.value()},
                      {"view", State.View_.Number_.value()},
                      {"settled", State.View_.settled()}}}});
  }
  replyJson(Call, 200, json::object{{"kind", "entries"}, {"items", Items}});
}

namespace {

json::object toJson(const entry::Decision &Item) {
  return {{"sequence", Item.Sequence_},
          {"atMicros", framework::clock::toMicros(Item.At_)},
          {"kind", entry::nameOf(Item.Kind_)},
          {"subject", Item.Subject_},
          {"reason", Item.Reason_},
          {"detail", Item.Detail_}};
}

} // namespace

void OperatorApi::handleDecisions(Exchange &Call, const Target &Path) {
  if (Call.head().Method_ != "GET")
    return replyProblem(Call, ProblemCode::MethodNotAllowed,
                        "decisions are read-only");
  const auto &Log = Context_.State_.Decisions_;
  const auto Requested = Path.query("resourceVersion");
  const std::optional<Revision> Since =
      Requested ? parseRevision(*Requested) : Revision(0);
  if (!Since)
    return replyProblem(Call, ProblemCode::BadRequest,
                        "resourceVersion must be a number");
  if (Path.query("watch") == "true")
    return watchDecisions(Call, Since->value());
  json::array Items;
  for (const entry::Decision &Item : Log.since(Since->value()))
    Items.push_back(toJson(Item));
  replyJson(Call, 200,
            json::object{
                {"kind", "decisions"},
                {"metadata",
                 json::object{{"resourceVersion", std::to_string(Log.last())}}},
                {"items", std::move(Items)}});
}

void OperatorApi::watchDecisions(Exchange &Call, std::uint64_t Since) {
  const auto &Log = Context_.State_.Decisions_;
  if (Since > 0 && Since + 1 < Log.oldestSequence())
    return replyProblem(Call, ProblemCode::Gone,
                        "earlier decisions are no longer kept");
  JsonLineStream Stream(*this, Call);
  do {
    for (const entry::Decision &Item : Log.since(Since)) {
      if (!Stream.writeLine({{"type", "ADDED"}, {"object", toJson(Item)}}))
        return;
      Since = Item.Sequence_;
    }
    if (!Stream.writeLine(
            {{"type", "BOOKMARK"}, {"resourceVersion", std::to_string(Since)}}))
      return;
  } while (Stream.wait());
}

} // namespace laburnumspread::api
