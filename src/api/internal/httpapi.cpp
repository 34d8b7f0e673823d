#include "api/httpapi.h"

#include <boost/json.hpp>

namespace laburnumspread::api {

namespace json = boost::json;
using entry::ProblemCode;
using framework::http::Exchange;
using framework::http::Response;
using framework::http::Target;

namespace {

Response textResponse(int Status, std::string Text) {
  Response Answer;
  Answer.Status_ = Status;
  Answer.Headers_.add("Content-Type", "text/plain; charset=utf-8");
  Answer.Body_ = std::move(Text);
  return Answer;
}

Response problemResponse(const entry::Problem &Reason) {
  const ProblemCode Code = Reason.Code_;
  Response Answer;
  Answer.Status_ = entry::statusOf(Code);
  Answer.Headers_.add("Content-Type", "application/problem+json");
  Answer.Headers_.add("Request-Outcome", fleet::nameOf(Reason.Outcome_));
  Answer.Body_ = json::serialize(
      json::object{{"type", "about:blank"},
                   {"title", entry::nameOf(Code)},
                   {"status", entry::statusOf(Code)},
                   {"code", entry::nameOf(Code)},
                   {"detail", Reason.Detail_},
                   {"outcome", fleet::nameOf(Reason.Outcome_)}});
  return Answer;
}

Response problemResponse(ProblemCode Code, const std::string &Detail) {
  entry::Problem Reason;
  Reason.Code_ = Code;
  Reason.Detail_ = Detail;
  return problemResponse(Reason);
}

json::array dumpMembers(const entry::EntryState &State) {
  json::array Rows;
  for (const auto &Member : State.View_.Members_)
    Rows.push_back(json::object{
        {"name", Member.Id_.Name_.str()},
        {"incarnation", Member.Id_.Incarnation_.value()},
        {"zone", Member.Zone_.str()},
        {"leaving", Member.Leaving_},
        {"inTouch",
         Member.Id_ == State.Self_.Id_ ||
             State.Reachability_.isPeerReachable(Member.Id_, State.now())}});
  return Rows;
}

/// Returns all teams, and the endpoints with slots in use. Rows for idle
/// endpoints, of which there are up to 11,000, would dominate the dump and its
/// memory.
json::array dumpSubjects(const limits::UnitLedger &Ledger) {
  json::array Rows;
  for (std::uint32_t I = 0; I < Ledger.subjectCount(); ++I) {
    const limits::SubjectIndex Index(I);
    const limits::SubjectCounts Counts = Ledger.counts(Index);
    const bool Idle = Counts.Running_ + Counts.Lent_ + Counts.Borrowed_ == 0;
    if (Idle && Ledger.nameOf(Index).str().starts_with("slots/"))
      continue;
    Rows.push_back(json::object{{"subject", Ledger.nameOf(Index).str()},
                                {"limit", Counts.Limit_},
                                {"owned", Counts.Owned_},
                                {"available", Counts.Available_},
                                {"running", Counts.Running_},
                                {"lent", Counts.Lent_},
                                {"borrowedIdle", Counts.Borrowed_}});
  }
  return Rows;
}

json::array dumpUnits(const limits::UnitLedger &Ledger) {
  json::array Rows;
  for (const limits::HeldUnit &Held : Ledger.unitsInUse())
    Rows.push_back(json::object{{"subject", Held.Subject_.str()},
                                {"unit", Held.Unit_.value()}});
  return Rows;
}

/// Returns the endpoints that run requests, are closed or are unhealthy.
json::array dumpEndpoints(const routing::EndpointTable &Table) {
  json::array Rows;
  for (const fleet::PoolName &Pool : Table.pools())
    for (routing::EndpointIndex Index : Table.inPool(Pool)) {
      const routing::Endpoint &Row = Table.at(Index);
      if (Row.Running_ == 0 && Row.Open_ &&
          Row.Health_ == routing::Health::Healthy)
        continue;
      Rows.push_back(json::object{{"vm", Row.Vm_.str()},
                                  {"pool", Pool.str()},
                                  {"zone", Row.Zone_.str()},
                                  {"open", Row.Open_},
                                  {"health", routing::nameOf(Row.Health_)},
                                  {"running", Row.Running_}});
    }
  return Rows;
}

json::array dumpQueues(const entry::PlacementService &Placements) {
  json::array Rows;
  for (const auto &Row : Placements.queues())
    Rows.push_back(json::object{{"pool", Row.Pool_.str()},
                                {"team", Row.Team_.str()},
                                {"waiting", Row.Waiting_}});
  return Rows;
}

} // namespace

void replyJson(Exchange &Call, int Status, const json::value &Body) {
  Response Answer;
  Answer.Status_ = Status;
  Answer.Headers_.add("Content-Type", "application/json");
  Answer.Body_ = json::serialize(Body);
  Call.reply(Answer);
}

void replyProblem(Exchange &Call, ProblemCode Code, const std::string &Detail) {
  Call.reply(problemResponse(Code, Detail));
}

void replyProblem(Exchange &Call, const entry::Problem &Reason) {
  Call.reply(problemResponse(Reason));
}

Response errorResponse(int Status, const std::string &Reason) {
  switch (Status) {
  case 431:
    return problemResponse(ProblemCode::HeaderTooLarge, Reason);
  case 408:
    return problemResponse(ProblemCode::SlowSender, Reason);
  case 413:
    return problemResponse(ProblemCode::BodyTooLarge, Reason);
  default:
    return problemResponse(ProblemCode::BadRequest, Reason);
  }
}

void HttpApi::handle(Exchange &Call) {
  const Target Path = framework::http::parseTarget(Call.head().Target_);
  const auto &Parts = Path.Segments_;
  const std::string &Method = Call.head().Method_;
  if (Context_.State_.Leaving_)
    Call.closeAfterReply();
  if (Parts.size() >= 4 && Parts[0] == "v1" && Parts[1] == "pools" &&
      Parts[3] == "requests") {
    if (Parts.size() == 4 && Method == "POST")
      return Callers_.submit(Call, Parts[2]);
    if (Parts.size() == 5 && Method == "DELETE")
      return Callers_.cancel(Call, Parts[4]);
    return replyProblem(Call, ProblemCode::MethodNotAllowed,
                        "use POST, or DELETE with the idempotency key");
  }
  if (!Parts.empty() && Parts[0] == "v1" && Operators_.handle(Call, Path))
    return;
  if (!handleDiagnostics(Call, Path))
    replyProblem(Call, ProblemCode::NotFound, "no such path");
}

bool HttpApi::handleDiagnostics(Exchange &Call, const Target &Path) {
  const auto &Parts = Path.Segments_;
  const std::string First = Parts.empty() ? "" : Parts[0];
  if (First == "healthz")
    Call.reply(textResponse(200, "ok\n"));
  else if (First == "readyz")
    replyReadiness(Call);
  else if (First == "metrics")
    Call.reply(textResponse(200, Context_.State_.Metrics_.exposition()));
  else if (First == "debug" && Parts.size() == 2 && Parts[1] == "state") {
    if (Operators_.authorizeOperator(Call)) {
      Response Answer;
      Answer.Status_ = 200;
      Answer.Headers_.add("Content-Type", "application/json");
      Answer.Body_ = dump();
      Call.reply(Answer);
    }
  } else if (First == "debug" && Parts.size() == 2 && Parts[1] == "log") {
    if (Operators_.authorizeOperator(Call))
      setLogLevel(Call, Path);
  } else {
    return false;
  }
  return true;
}

void HttpApi::replyReadiness(Exchange &Call) {
  const entry::EntryState &State = Context_.State_;
  std::string_view Reason = "ready";
  if (State.Leaving_)
    Reason = "leaving";
  else if (!State.Started_)
    Reason = "starting";
  else if (State.fenced())
    Reason = "fenced";
  Call.reply(
      textResponse(Reason == "ready" ? 200 : 503, std::string(Reason) + "\n"));
}

void HttpApi::setLogLevel(Exchange &Call, const Target &Path) {
  framework::log::Level Wanted = framework::log::level();
  const absl::Status Parsed =
      framework::log::parseLevel(Path.query("level").value_or(""), Wanted);
  if (!Parsed.ok())
    return replyProblem(Call, ProblemCode::BadRequest,
                        "level " + std::string(Parsed.message()));
  framework::log::setLevel(Wanted);
  Call.reply(textResponse(200, "ok\n"));
}

std::string HttpApi::dump() const {
  const entry::EntryState &State = Context_.State_;
  json::object Dump;
  Dump["entry"] = State.Self_.Id_.Name_.str();
  Dump["incarnation"] = State.Self_.Id_.Incarnation_.value();
  Dump["started"] = State.Started_;
  Dump["leaving"] = State.Leaving_;
  Dump["fenced"] = State.fenced();
  Dump["storeInTouch"] = State.Reachability_.isStoreReachable(State.now());
  Dump["refusesStore"] = State.Config_.storeRolledBack();
  Dump["configRevision"] = State.Config_.revision().value();
  Dump["unreadableValues"] = State.Config_.unreadableValues();
  Dump["view"] =
      json::object{{"number", State.View_.Number_.value()},
                   {"settledThrough", State.View_.SettledThrough_.value()},
                   {"members", dumpMembers(State)}};
  Dump["stillHeld"] = State.Ledger_.releaseStatement().StillHeld_.size();
  Dump["bucketsToCopy"] = State.Replicas_.bucketsToCopy();
  Dump["idempotencyRecords"] = State.Replicas_.records();
  Dump["blindBuckets"] = State.Replicas_.bucketsWithLostRecords(State.now());
  Dump["limits"] = dumpSubjects(State.Ledger_);
  Dump["unitsInUse"] = dumpUnits(State.Ledger_);
  Dump["endpoints"] = dumpEndpoints(State.Endpoints_);
  Dump["queues"] = dumpQueues(Context_.Placements_);
  Dump["inFlight"] = Context_.Runner_.inFlight();
  if (Context_.AddToDump_)
    Context_.AddToDump_(Dump);
  return json::serialize(Dump);
}

} // namespace laburnumspread::api
