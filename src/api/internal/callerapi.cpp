#include "api/callerapi.h"

#include "framework/digest/digest.h"

#include <charconv>

namespace laburnumspread::api {

using entry::Problem;
using entry::ProblemCode;
using framework::http::Exchange;
using framework::http::Headers;

namespace {

constexpr framework::clock::Duration DefaultDeadline = std::chrono::seconds(30);
constexpr std::string_view BearerPrefix = "Bearer ";

std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() ||
      Value < 0)
    return std::nullopt;
  return Value;
}

std::optional<fleet::RequestClass> parseClass(std::string_view Text) {
  for (auto Class : {fleet::RequestClass::Urgent, fleet::RequestClass::Normal,
                     fleet::RequestClass::Batch})
    if (fleet::nameOf(Class) == Text)
      return Class;
  return std::nullopt;
}

Problem notRunProblem(ProblemCode Code, std::string Detail) {
  return {Code, std::move(Detail), fleet::Outcome::NotRun, {}};
}

/// Reads Request-Deadline, limited to the longest task lease. Returns nullopt
/// if the field is malformed.
std::optional<entry::TimePoint> readDeadline(const Headers &Fields,
                                             entry::TimePoint Now) {
  const auto Text = Fields.find("Request-Deadline");
  if (!Text)
    return Now + DefaultDeadline;
  const auto Millis = parseNumber(*Text);
  // Later than any real time, and does not overflow when converted to
  // microseconds.
  constexpr std::int64_t MaxMillis = 1LL << 50;
  if (!Millis || *Millis > MaxMillis)
    return std::nullopt;
  return std::min(framework::clock::fromMillis(*Millis),
                  Now + membership::MaxTaskLease);
}

std::optional<Problem> readKey(const Headers &Fields, entry::TimePoint Now,
                               entry::WorkRequest &Into) {
  const auto Text = Fields.find("Idempotency-Key");
  if (!Text) {
    if (Into.Repeatable_)
      return std::nullopt;
    return notRunProblem(ProblemCode::MissingIdempotencyKey,
                         "a non-repeatable request needs an Idempotency-Key");
  }
  Into.Key_ = idempotency::parseIdempotencyKey(*Text);
  if (!Into.Key_)
    return notRunProblem(ProblemCode::MalformedIdempotencyKey,
                         "Idempotency-Key must be a UUID of version 7");
  if (Into.Repeatable_)
    return std::nullopt;
  switch (idempotency::ageOf(*Into.Key_, Now)) {
  case idempotency::KeyAge::TooOld:
    return notRunProblem(ProblemCode::KeyTooOld,
                         "the key was minted more than 15 minutes ago");
  case idempotency::KeyAge::FromTheFuture:
    return notRunProblem(ProblemCode::KeyFromTheFuture,
                         "the key was minted later than now");
  case idempotency::KeyAge::Usable:
    break;
  }
  return std::nullopt;
}

/// Reads the header fields that control how the request is run. Returns the
/// problem if one of them is invalid.
std::optional<Problem> readFields(const Headers &Fields, entry::TimePoint Now,
                                  entry::WorkRequest &Into) {
  const std::string_view Repeatable = Fields.find("Repeatable").value_or("?1");
  if (Repeatable != "?0" && Repeatable != "?1")
    return notRunProblem(ProblemCode::BadRequest,
                         "Repeatable must be ?0 or ?1");
  Into.Repeatable_ = Repeatable == "?1";
  const auto Deadline = readDeadline(Fields, Now);
  if (!Deadline)
    return notRunProblem(
        ProblemCode::BadRequest,
        "Request-Deadline must be milliseconds since the epoch");
  Into.Deadline_ = *Deadline;
  if (Into.Deadline_ <= Now)
    return notRunProblem(ProblemCode::DeadlinePassed,
                         "the deadline has passed");
  const auto Class =
      parseClass(Fields.find("Request-Class").value_or("normal"));
  if (!Class)
    return notRunProblem(ProblemCode::BadRequest,
                         "Request-Class must be urgent, normal or batch");
  Into.Class_ = *Class;
  if (const auto Text = Fields.find("Request-Size")) {
    const auto Size = parseSize(*Text);
    if (!Size.ok())
      return notRunProblem(ProblemCode::BadRequest,
                           std::string(Size.status().message()));
    Into.Size_ = *Size;
  }
  Into.ContentType_ = std::string(Fields.find("Content-Type").value_or(""));
  return readKey(Fields, Now, Into);
}

} // namespace

absl::StatusOr<fleet::Size> parseSize(std::string_view Text) {
  fleet::Size Size;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find(','), Text.size());
    std::string_view Part = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    while (Part.starts_with(' '))
      Part.remove_prefix(1);
    const std::size_t Equals = std::min(Part.find('='), Part.size());
    const std::string_view Name = Part.substr(0, Equals);
    const auto Value =
        parseNumber(Equals < Part.size() ? Part.substr(Equals + 1) : "");
    if (!Value || *Value > (1LL << 40))
      return absl::InvalidArgumentError("Request-Size: " + std::string(Name) +
                                        " needs a whole number");
    if (Name == "cpus")
      Size.Cpus_ = fleet::MilliCpus(1000 * *Value);
    else if (Name == "memory_mb")
      Size.Memory_ = fleet::Megabytes(*Value);
    else if (Name == "accelerators")
      Size.Accelerators_ = fleet::Accelerators(*Value);
    else if (Name != "slots")
      return absl::InvalidArgumentError("Request-Size: unknown part " +
                                        std::string(Name));
    else if (*Value != 1)
      return absl::InvalidArgumentError(
          "Request-Size: slots: only 1 is supported");
  }
  return Size;
}

std::optional<fleet::TeamName> CallerApi::authenticateTeam(Exchange &Call) {
  const auto Field = Call.head().Headers_.find("Authorization");
  if (!Field || !Field->starts_with(BearerPrefix)) {
    Context_.Runner_.refuse(
        Call,
        notRunProblem(ProblemCode::MissingKey,
                      "Authorization: Bearer <key> is required"),
        "key");
    return std::nullopt;
  }
  const auto &Tables = Context_.State_.Config_.tables();
  // The lookup is by hash, so its timing reveals nothing about the secret.
  const auto Known = Tables.KeyNameByHash_.find(
      framework::digest::sha256Hex(Field->substr(BearerPrefix.size())));
  const fleet::Key *Key = Known == Tables.KeyNameByHash_.end()
                              ? nullptr
                              : Tables.find<fleet::Key>(Known->second);
  if (Key)
    return Key->Spec_.Team_;
  Context_.Runner_.refuse(
      Call,
      notRunProblem(ProblemCode::UnknownKey,
                    "the key is not granted, or was withdrawn"),
      "key");
  return std::nullopt;
}

void CallerApi::submit(Exchange &Call, const std::string &Pool) {
  entry::EntryState &State = Context_.State_;
  if (State.Leaving_)
    return Context_.Runner_.refuse(
        Call,
        {ProblemCode::Leaving, "this entry is shutting down; use another one",
         fleet::Outcome::NotRun, std::chrono::seconds(1)},
        Pool);
  if (!State.Started_)
    return Context_.Runner_.refuse(
        Call,
        {ProblemCode::Starting, "this entry is starting; use another one",
         fleet::Outcome::NotRun, std::chrono::seconds(1)},
        Pool);
  if (State.fenced())
    return Context_.Runner_.refuse(
        Call,
        {ProblemCode::CutOff,
         "this entry reaches neither the store nor most other entries",
         fleet::Outcome::NotRun, std::chrono::seconds(2)},
        Pool);
  const auto Team = authenticateTeam(Call);
  if (!Team)
    return;
  const std::string Subject = Pool + "/" + Team->str();
  if (!State.Config_.tables().find<fleet::Pool>(Pool))
    return Context_.Runner_.refuse(
        Call,
        notRunProblem(ProblemCode::UnknownPool, "there is no pool " + Pool),
        Subject);
  entry::WorkRequest Request;
  Request.Pool_ = fleet::PoolName(Pool);
  Request.Team_ = *Team;
  if (const auto Fault = readFields(Call.head().Headers_, State.now(), Request))
    return Context_.Runner_.refuse(Call, *Fault, Subject);
  const std::string Secret = framework::digest::sha256Hex(
      Call.head().Headers_.find("Authorization")->substr(BearerPrefix.size()));
  Context_.Runner_.run(Call, Request, [&State, Secret] {
    return State.Config_.tables().KeyNameByHash_.contains(Secret);
  });
}

void CallerApi::cancel(Exchange &Call, const std::string &Text) {
  const auto Team = authenticateTeam(Call);
  if (!Team)
    return;
  const auto Key = idempotency::parseIdempotencyKey(Text);
  if (!Key)
    return replyProblem(Call, ProblemCode::MalformedIdempotencyKey,
                        "not a UUID of version 7");
  const auto Name = idempotency::recordName(*Team, *Key);
  const bool Here = Context_.Runner_.cancel(Name);
  if (!Here)
    for (const auto &Peer : Context_.State_.otherMembers())
      Context_.State_.Send_(Peer.Id_, peers::CancelRequest{Name});
  replyJson(
      Call, 202,
      boost::json::object{{"cancelled", Here ? "here" : "asked-all-entries"}});
}

} // namespace laburnumspread::api
