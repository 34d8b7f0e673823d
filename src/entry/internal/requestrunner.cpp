#include "entry/requestrunner.h"

#include "framework/ids/rendezvous.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace laburnumspread::entry {

namespace http = framework::http;
using idempotency::RecordState;
using idempotency::ReservationOutcome;

namespace {

constexpr std::size_t PartBytes = 16 * 1024;
/// Endpoints that are tried for one request before it is given up.
constexpr std::size_t MostTries = 6;
constexpr Duration RetryAfterCutOff = std::chrono::seconds(2);

std::int64_t retryAfterSeconds(Duration Time) {
  return std::chrono::ceil<std::chrono::seconds>(Time).count();
}

http::Response problemAnswer(const Problem &Why) {
  boost::json::object Body;
  Body["type"] = "about:blank";
  Body["title"] = nameOf(Why.Code_);
  Body["status"] = statusOf(Why.Code_);
  Body["code"] = nameOf(Why.Code_);
  Body["detail"] = Why.Detail_;
  Body["outcome"] = fleet::nameOf(Why.Outcome_);
  http::Response Answer;
  Answer.Status_ = statusOf(Why.Code_);
  Answer.Headers_.add("Content-Type", "application/problem+json");
  Answer.Headers_.add("Request-Outcome", fleet::nameOf(Why.Outcome_));
  if (Why.RetryAfter_ > Duration(0))
    Answer.Headers_.add("Retry-After",
                        std::to_string(retryAfterSeconds(Why.RetryAfter_)));
  Answer.Body_ = boost::json::serialize(Body);
  return Answer;
}

/// Fields of an endpoint's answer that concern only the hop to the endpoint.
bool isHopField(std::string_view Name) {
  for (std::string_view Hop :
       {"connection", "transfer-encoding", "content-length", "keep-alive",
        "trailer", "upgrade"})
    if (std::equal(Name.begin(), Name.end(), Hop.begin(), Hop.end(),
                   [](char A, char B) { return std::tolower(A) == B; }))
      return true;
  return false;
}

http::Response callerHead(const http::Response &From, fleet::Outcome Known) {
  http::Response Head;
  Head.Status_ = From.Status_;
  for (const http::Header &Field : From.Headers_.all())
    if (!isHopField(Field.Name_))
      Head.Headers_.add(Field.Name_, Field.Value_);
  Head.Headers_.add("Request-Outcome", fleet::nameOf(Known));
  return Head;
}

std::uint64_t fingerprintOf(const WorkRequest &Request,
                            const RequestBody &Body) {
  return framework::ids::stableHash(Request.Pool_.str() + '\0' + Body.Prefix_ +
                                    std::to_string(Body.Length_));
}

} // namespace

/// One request on its way.
struct RequestRunner::Run {
  http::Exchange &Call_;
  const WorkRequest &Request_;
  const StillGranted &Granted_;
  CancelToken Cancel_;
  RequestBody Body_;
  std::optional<Reservation> Reservation_;
  std::vector<routing::EndpointIndex> Tried_;
  bool Over_ = false;
  /// Set once a byte may have reached an endpoint that did not refuse.
  bool MayHaveRun_ = false;
};

void RequestRunner::refuse(http::Exchange &Call, const Problem &Why,
                           std::string_view Subject) {
  State_.Metrics_
      .counter("refusals_total{code=\"" + std::string(nameOf(Why.Code_)) +
               "\"}")
      .add();
  State_.Decisions_.add(DecisionKind::Refusal, Subject, nameOf(Why.Code_),
                        Why.Detail_);
  Call.reply(problemAnswer(Why));
}

/// Ends the request with a problem and frees its key if nothing has left.
void RequestRunner::fail(Run &Work, Problem Why) {
  Work.Over_ = true;
  if (Work.MayHaveRun_)
    Why.Outcome_ = fleet::Outcome::Unknown;
  if (Work.Reservation_) {
    if (Why.Outcome_ == fleet::Outcome::NotRun)
      Reservations_.abandon(*Work.Reservation_);
    else
      Reservations_.finish(*Work.Reservation_, RecordState::Unknown, {});
  }
  refuse(Work.Call_, Why,
         Work.Request_.Pool_.str() + "/" + Work.Request_.Team_.str());
}

bool RequestRunner::readPrefix(Run &Work) {
  bool More = true;
  while (More && Work.Body_.Prefix_.size() < BufferedBytes) {
    const absl::StatusOr<bool> Next =
        Work.Call_.readSome(Work.Body_.Prefix_, PartBytes);
    if (!Next.ok()) {
      ProblemCode Code = ProblemCode::BadRequest;
      if (absl::IsResourceExhausted(Next.status()))
        Code = ProblemCode::BodyTooLarge;
      if (absl::IsDeadlineExceeded(Next.status()))
        Code = ProblemCode::SlowSender;
      fail(Work, {Code,
                  std::string(Next.status().message()),
                  fleet::Outcome::NotRun,
                  {}});
      return false;
    }
    More = *Next;
  }
  Work.Body_.Length_ = Work.Body_.Prefix_.size();
  if (!More)
    return true;
  const auto Length = Work.Call_.contentLength();
  if (!Length) {
    fail(Work, {ProblemCode::BodyTooLarge,
                "a body above 64 KiB needs a Content-Length",
                fleet::Outcome::NotRun,
                {}});
    return false;
  }
  Work.Body_.Length_ = *Length;
  Work.Body_.Rest_ = &Work.Call_;
  return true;
}

bool RequestRunner::reserve(Run &Work) {
  if (Work.Request_.Repeatable_)
    return true;
  const TimePoint Start = State_.now();
  const ReservationResult Result = Reservations_.reserve(
      Work.Request_, fingerprintOf(Work.Request_, Work.Body_));
  State_.Metrics_.summary("reservation_seconds")
      .record(std::chrono::duration<double>(State_.now() - Start).count());
  switch (Result.Verdict_) {
  case ReservationOutcome::Granted:
    Work.Reservation_ = Result.Reservation_;
    return true;
  case ReservationOutcome::Duplicate:
    answerDuplicate(Work, Result);
    return false;
  case ReservationOutcome::Unknown:
    fail(Work, {ProblemCode::OutcomeUnknown,
                "the records of the time when the key was minted are lost",
                fleet::Outcome::Unknown,
                {}});
    return false;
  case ReservationOutcome::Pending:
  case ReservationOutcome::Retry:
    break;
  }
  fail(Work, {ProblemCode::HomesUnreachable,
              "most entries that remember this key cannot be reached",
              fleet::Outcome::NotRun, RetryAfterCutOff});
  return false;
}

void RequestRunner::answerDuplicate(Run &Work,
                                    const ReservationResult &Result) {
  const idempotency::Record &Found = Result.Found_;
  Work.Over_ = true;
  const std::string Subject = Result.Reservation_.Name_.str();
  if (Found.Fingerprint_ != Result.Reservation_.Fingerprint_)
    return refuse(Work.Call_,
                  {ProblemCode::KeyReused,
                   "the key was used for another request",
                   fleet::Outcome::NotRun,
                   {}},
                  Subject);
  if (Found.State_ == RecordState::Ran && Found.Response_.Complete_) {
    http::Response Answer;
    Answer.Status_ = Found.Response_.Status_;
    if (!Found.Response_.ContentType_.empty())
      Answer.Headers_.add("Content-Type", Found.Response_.ContentType_);
    Answer.Headers_.add("Request-Outcome", fleet::nameOf(fleet::Outcome::Ran));
    Answer.Headers_.add("Idempotent-Replay", "true");
    Answer.Body_ = Found.Response_.Body_;
    return Work.Call_.reply(Answer);
  }
  if (Found.State_ == RecordState::Ran)
    return refuse(Work.Call_,
                  {ProblemCode::AlreadyRan,
                   "it has run with status " +
                       std::to_string(Found.Response_.Status_) +
                       "; its answer was too large to keep",
                   fleet::Outcome::Ran,
                   {}},
                  Subject);
  const Duration Left = Found.LeaseUntil_ - State_.now();
  if (Found.State_ == RecordState::Reserved && Left > Duration(0))
    return refuse(Work.Call_,
                  {ProblemCode::InProgress,
                   "another attempt with this key is under way",
                   fleet::Outcome::Unknown, Left},
                  Subject);
  refuse(Work.Call_,
         {ProblemCode::OutcomeUnknown,
          "an earlier attempt with this key may have run",
          fleet::Outcome::Unknown,
          {}},
         Subject);
}

bool RequestRunner::mayRetry(Run &Work, const ForwardResult &Result) {
  const bool NotStarted = Result.Kind_ == ForwardKind::NotSent ||
                          Result.Kind_ == ForwardKind::Refused;
  if (Work.Tried_.size() >= MostTries ||
      State_.now() >= Work.Request_.Deadline_ || Work.Cancel_.cancelled())
    return false;
  // The rest of a streamed body has been read and cannot be sent again.
  if (Work.Body_.Rest_ && Result.Kind_ != ForwardKind::NotSent)
    return false;
  // Work that did not start adds no load, so it needs no budget.
  return NotStarted || (Work.Request_.Repeatable_ &&
                        budgetOf(Work.Request_.Pool_).tryConsume());
}

void RequestRunner::runOn(Run &Work, const Placement &At) {
  const TimePoint Start = State_.now();
  if (Work.Cancel_.cancelled() || !Work.Granted_() || State_.fenced()) {
    Placements_.finish(Work.Request_, At, routing::ExchangeResult::Refused, {},
                       Work.Cancel_);
    const bool Cancelled = Work.Cancel_.cancelled();
    return fail(Work, {Cancelled         ? ProblemCode::Cancelled
                       : Work.Granted_() ? ProblemCode::CutOff
                                         : ProblemCode::UnknownKey,
                       Cancelled ? "cancelled while waiting"
                                 : "the key was withdrawn, or this entry was "
                                   "cut off, while the request waited",
                       fleet::Outcome::NotRun,
                       {}});
  }
  Placements_.running(Work.Request_, Work.Cancel_);
  ForwardResult Result =
      Forward_.forward(Work.Request_, At, Work.Body_, Work.Cancel_);
  const bool Preempted = Work.Cancel_.preempted();
  routing::ExchangeResult How = routing::ExchangeResult::Failed;
  if (Result.Kind_ == ForwardKind::Answered && Result.Answer_.Status_ < 500)
    How = routing::ExchangeResult::Succeeded;
  if (Result.Kind_ == ForwardKind::Refused ||
      Result.Kind_ == ForwardKind::CallerFailed || Preempted ||
      Work.Cancel_.cancelled())
    How = routing::ExchangeResult::Refused;
  const std::string Address = State_.Endpoints_.at(At.Endpoint_).Address_;
  if (Result.Kind_ == ForwardKind::Answered) {
    noteAnswer(Work, Result);
    deliver(Work, Result);
    Placements_.finish(Work.Request_, At, How, State_.now() - Start,
                       Work.Cancel_);
    return Forward_.done(Address, Result.Link_);
  }
  Placements_.finish(Work.Request_, At, How, State_.now() - Start,
                     Work.Cancel_);
  if (Result.Kind_ == ForwardKind::Refused)
    Forward_.done(Address, Result.Link_);
  if (Result.Kind_ == ForwardKind::Lost ||
      Result.Kind_ == ForwardKind::CallerFailed)
    Work.MayHaveRun_ = true;
  if (Preempted && !Work.Cancel_.cancelled()) {
    Work.Cancel_.clearPreemption();
    return;
  }
  Work.Tried_.push_back(At.Endpoint_);
  if (mayRetry(Work, Result)) {
    State_.Metrics_
        .counter(Result.Kind_ == ForwardKind::Lost
                     ? "retries_total{started=\"maybe\"}"
                     : "retries_total{started=\"no\"}")
        .add();
    return;
  }
  if (Work.Cancel_.cancelled())
    return fail(Work, {ProblemCode::Cancelled,
                       "cancelled while running",
                       fleet::Outcome::NotRun,
                       {}});
  const bool Late = State_.now() >= Work.Request_.Deadline_;
  fail(Work, {Late ? ProblemCode::AnswerLost : ProblemCode::EndpointFailed,
              Result.Reason_, fleet::Outcome::NotRun,
              Duration(std::chrono::seconds(1))});
}

/// Records the answer with the key's homes before the caller sees it.
void RequestRunner::noteAnswer(Run &Work, const ForwardResult &Result) {
  State_.Metrics_.counter("requests_total{outcome=\"ran\"}").add();
  if (!Work.Reservation_)
    return;
  idempotency::StoredResponse Kept;
  Kept.Status_ = Result.Answer_.Status_;
  Kept.ContentType_ =
      std::string(Result.Answer_.Headers_.find("Content-Type").value_or(""));
  Kept.Complete_ = !Result.More_ && Result.Answer_.Body_.size() <=
                                        idempotency::MaxStoredResponseBytes;
  if (Kept.Complete_)
    Kept.Body_ = Result.Answer_.Body_;
  Reservations_.finish(*Work.Reservation_, RecordState::Ran, Kept);
}

void RequestRunner::deliver(Run &Work, const ForwardResult &Result) {
  Work.Over_ = true;
  if (Result.More_)
    return deliverStream(Work, Result);
  http::Response Answer = callerHead(Result.Answer_, fleet::Outcome::Ran);
  Answer.Body_ = Result.Answer_.Body_;
  Work.Call_.reply(Answer);
}

void RequestRunner::deliverStream(Run &Work, const ForwardResult &Result) {
  const auto Length = Result.Link_->answerLength();
  const std::uint64_t Limit = State_.Settings_.AnswerBytes_;
  if (Length && *Length > Limit)
    return refuse(Work.Call_,
                  {ProblemCode::AnswerTooLarge,
                   "the endpoint's answer is larger than the limit",
                   fleet::Outcome::Ran,
                   {}},
                  Work.Request_.Pool_.str());
  Work.Call_.beginReply(callerHead(Result.Answer_, fleet::Outcome::Ran),
                        Length);
  std::string Part = Result.Answer_.Body_;
  std::uint64_t Sent = 0;
  for (bool More = true; More || !Part.empty();) {
    Sent += Part.size();
    // A caller must never take a part for the whole: the connection breaks
    // before the announced end.
    if (Sent > Limit || !Work.Call_.write(Part).ok())
      return Work.Call_.abort();
    Part.clear();
    if (!More)
      break;
    const auto Next =
        Result.Link_->readSome(Part, PartBytes, Work.Request_.Deadline_);
    if (!Next.ok())
      return Work.Call_.abort();
    More = *Next;
  }
  Work.Call_.endReply();
}

void RequestRunner::run(http::Exchange &Call, const WorkRequest &Request,
                        const StillGranted &Granted) {
  Run Work{Call, Request, Granted, {}, {}, {}, {}, false, false};
  ++InFlight_;
  std::optional<std::multimap<idempotency::RecordName, CancelToken *>::iterator>
      Listed;
  if (Request.Key_)
    Listed = ByName_.emplace(
        idempotency::recordName(Request.Team_, *Request.Key_), &Work.Cancel_);
  if (readPrefix(Work) && reserve(Work)) {
    budgetOf(Request.Pool_).requestStarted();
    if (!Work.Body_.Rest_) {
      // The exchange may be over before the caller goes; the token is reached
      // only through it.
      Call.onCallerGone([&Work] { Work.Cancel_.cancel(); });
    }
    while (!Work.Over_) {
      Problem Refusal;
      const absl::StatusOr<Placement> At =
          Placements_.place(Request, Work.Cancel_, Work.Tried_, Refusal);
      if (At.ok())
        runOn(Work, *At);
      else
        fail(Work, Refusal);
    }
  }
  Call.onCallerGone(nullptr);
  if (Listed)
    ByName_.erase(*Listed);
  --InFlight_;
}

bool RequestRunner::cancel(const idempotency::RecordName &Name) {
  const auto [First, Last] = ByName_.equal_range(Name);
  std::vector<CancelToken *> Tokens;
  for (auto It = First; It != Last; ++It)
    Tokens.push_back(It->second);
  for (CancelToken *Token : Tokens)
    Token->cancel();
  return !Tokens.empty();
}

} // namespace laburnumspread::entry
