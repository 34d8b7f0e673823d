#include "entry/requestrunner.h"

#include "framework/ids/rendezvous.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace laburnumspread::entry {

namespace http = framework::http;
using idempotency::RecordState;
using idempotency::ReservationOutcome;

namespace {

constexpr std::size_t ReadChunkBytes = 16 * 1024;
/// Maximum number of endpoints tried for one request.
constexpr std::size_t MaxAttempts = 6;
constexpr Duration ReplicasUnreachableRetryAfter = std::chrono::seconds(2);

std::int64_t retryAfterSeconds(Duration Time) {
  return std::chrono::ceil<std::chrono::seconds>(Time).count();
}

http::Response problemAnswer(const Problem &Reason) {
  boost::json::object Body;
  Body["type"] = "about:blank";
  Body["title"] = nameOf(Reason.Code_);
  Body["status"] = statusOf(Reason.Code_);
  Body["code"] = nameOf(Reason.Code_);
  Body["detail"] = Reason.Detail_;
  Body["outcome"] = fleet::nameOf(Reason.Outcome_);
  http::Response Answer;
  Answer.Status_ = statusOf(Reason.Code_);
  Answer.Headers_.add("Content-Type", "application/problem+json");
  Answer.Headers_.add("Request-Outcome", fleet::nameOf(Reason.Outcome_));
  if (Reason.RetryAfter_ > Duration(0))
    Answer.Headers_.add("Retry-After",
                        std::to_string(retryAfterSeconds(Reason.RetryAfter_)));
  Answer.Body_ = boost::json::serialize(Body);
  return Answer;
}

/// Whether a header field applies only to the connection to the endpoint.
bool isHopField(std::string_view Name) {
  for (std::string_view Hop :
       {"connection", "transfer-encoding", "content-length", "keep-alive",
        "trailer", "upgrade"})
    if (std::equal(Name.begin(), Name.end(), Hop.begin(), Hop.end(),
                   [](char A, char B) { return std::tolower(A) == B; }))
      return true;
  return false;
}

http::Response callerResponseHead(const http::Response &From,
                                  fleet::Outcome Known) {
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

/// A request in progress.
struct RequestRunner::ActiveRequest {
  http::Exchange &Call_;
  const WorkRequest &Request_;
  const KeyValidator &KeyIsValid_;
  CancelToken Cancel_;
  RequestBody Body_;
  std::optional<Reservation> Reservation_;
  std::vector<routing::EndpointIndex> TriedEndpoints_;
  bool Finished_ = false;
  /// Set once an endpoint may have received the request without refusing it.
  bool MayHaveRun_ = false;
};

void RequestRunner::refuse(http::Exchange &Call, const Problem &Reason,
                           std::string_view Subject) {
  State_.Metrics_
      .counter("refusals_total{code=\"" + std::string(nameOf(Reason.Code_)) +
               "\"}")
      .add();
  State_.Decisions_.add(DecisionKind::Refusal, Subject, nameOf(Reason.Code_),
                        Reason.Detail_);
  Call.reply(problemAnswer(Reason));
}

/// Ends the request with a problem. Releases its idempotency key if it did not
/// run.
void RequestRunner::fail(ActiveRequest &Active, Problem Reason) {
  Active.Finished_ = true;
  if (Active.MayHaveRun_)
    Reason.Outcome_ = fleet::Outcome::Unknown;
  if (Active.Reservation_) {
    if (Reason.Outcome_ == fleet::Outcome::NotRun)
      Reservations_.abandon(*Active.Reservation_);
    else
      Reservations_.finish(*Active.Reservation_, RecordState::Unknown, {});
  }
  refuse(Active.Call_, Reason,
         Active.Request_.Pool_.str() + "/" + Active.Request_.Team_.str());
}

bool RequestRunner::readPrefix(ActiveRequest &Active) {
  bool More = true;
  while (More && Active.Body_.Prefix_.size() < MaxBufferedBodyBytes) {
    const absl::StatusOr<bool> Next =
        Active.Call_.readSome(Active.Body_.Prefix_, ReadChunkBytes);
    if (!Next.ok()) {
      ProblemCode Code = ProblemCode::BadRequest;
      if (absl::IsResourceExhausted(Next.status()))
        Code = ProblemCode::BodyTooLarge;
      if (absl::IsDeadlineExceeded(Next.status()))
        Code = ProblemCode::SlowSender;
      fail(Active, {Code,
                    std::string(Next.status().message()),
                    fleet::Outcome::NotRun,
                    {}});
      return false;
    }
    More = *Next;
  }
  Active.Body_.Length_ = Active.Body_.Prefix_.size();
  if (!More)
    return true;
  const auto Length = Active.Call_.contentLength();
  if (!Length) {
    fail(Active, {ProblemCode::BodyTooLarge,
                  "a body above 64 KiB needs a Content-Length",
                  fleet::Outcome::NotRun,
                  {}});
    return false;
  }
  Active.Body_.Length_ = *Length;
  Active.Body_.Rest_ = &Active.Call_;
  return true;
}

bool RequestRunner::reserve(ActiveRequest &Active) {
  if (Active.Request_.Repeatable_)
    return true;
  const TimePoint Start = State_.now();
  const ReservationResult Result = Reservations_.reserve(
      Active.Request_, fingerprintOf(Active.Request_, Active.Body_));
  State_.Metrics_.summary("reservation_seconds")
      .record(std::chrono::duration<double>(State_.now() - Start).count());
  switch (Result.Outcome_) {
  case ReservationOutcome::Granted:
    Active.Reservation_ = Result.Reservation_;
    return true;
  case ReservationOutcome::Duplicate:
    answerDuplicate(Active, Result);
    return false;
  case ReservationOutcome::Unknown:
    fail(Active, {ProblemCode::OutcomeUnknown,
                  "the records from the time when the key was created are lost",
                  fleet::Outcome::Unknown,
                  {}});
    return false;
  case ReservationOutcome::Pending:
  case ReservationOutcome::Retry:
    break;
  }
  fail(Active, {ProblemCode::ReplicasUnreachable,
                "a majority of the entries that store this key is unreachable",
                fleet::Outcome::NotRun, ReplicasUnreachableRetryAfter});
  return false;
}

void RequestRunner::answerDuplicate(ActiveRequest &Active,
                                    const ReservationResult &Result) {
  const idempotency::Record &Found = Result.Found_;
  Active.Finished_ = true;
  const std::string Subject = Result.Reservation_.Name_.str();
  if (Found.Fingerprint_ != Result.Reservation_.Fingerprint_)
    return refuse(Active.Call_,
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
    return Active.Call_.reply(Answer);
  }
  if (Found.State_ == RecordState::Ran)
    return refuse(Active.Call_,
                  {ProblemCode::AlreadyRan,
                   "the request ran with status " +
                       std::to_string(Found.Response_.Status_) +
                       ", but its answer was too large to store",
                   fleet::Outcome::Ran,
                   {}},
                  Subject);
  const Duration Remaining = Found.LeaseUntil_ - State_.now();
  if (Found.State_ == RecordState::Reserved && Remaining > Duration(0))
    return refuse(Active.Call_,
                  {ProblemCode::InProgress,
                   "another attempt with this key is in progress",
                   fleet::Outcome::Unknown, Remaining},
                  Subject);
  refuse(Active.Call_,
         {ProblemCode::OutcomeUnknown,
          "an earlier attempt with this key may have run",
          fleet::Outcome::Unknown,
          {}},
         Subject);
}

bool RequestRunner::mayRetry(ActiveRequest &Active,
                             const ForwardResult &Result) {
  const bool NotStarted = Result.Kind_ == ForwardStatus::NotSent ||
                          Result.Kind_ == ForwardStatus::Refused;
  if (Active.TriedEndpoints_.size() >= MaxAttempts ||
      State_.now() >= Active.Request_.Deadline_ || Active.Cancel_.cancelled())
    return false;
  // A streamed body has already been consumed and cannot be sent again.
  if (Active.Body_.Rest_ && Result.Kind_ != ForwardStatus::NotSent)
    return false;
  // Requests that were not started added no load, so retrying them takes
  // nothing from the retry budget.
  return NotStarted || (Active.Request_.Repeatable_ &&
                        budgetOf(Active.Request_.Pool_).tryConsume());
}

void RequestRunner::runAttempt(ActiveRequest &Active,
                               const Placement &Assigned) {
  const TimePoint Start = State_.now();
  if (Active.Cancel_.cancelled() || !Active.KeyIsValid_() || State_.fenced()) {
    Placements_.finish(Active.Request_, Assigned,
                       routing::ExchangeResult::Refused, {}, Active.Cancel_);
    const bool Cancelled = Active.Cancel_.cancelled();
    return fail(Active, {Cancelled              ? ProblemCode::Cancelled
                         : Active.KeyIsValid_() ? ProblemCode::CutOff
                                                : ProblemCode::UnknownKey,
                         Cancelled ? "cancelled while waiting"
                                   : "the key was withdrawn, or this entry was "
                                     "cut off, while the request waited",
                         fleet::Outcome::NotRun,
                         {}});
  }
  Placements_.markRunning(Active.Request_, Active.Cancel_);
  ForwardResult Result =
      Forward_.forward(Active.Request_, Assigned, Active.Body_, Active.Cancel_);
  const bool Preempted = Active.Cancel_.preempted();
  routing::ExchangeResult Outcome = routing::ExchangeResult::Failed;
  if (Result.Kind_ == ForwardStatus::Answered && Result.Answer_.Status_ < 500)
    Outcome = routing::ExchangeResult::Succeeded;
  if (Result.Kind_ == ForwardStatus::Refused ||
      Result.Kind_ == ForwardStatus::CallerFailed || Preempted ||
      Active.Cancel_.cancelled())
    Outcome = routing::ExchangeResult::Refused;
  const std::string Address = State_.Endpoints_.at(Assigned.Endpoint_).Address_;
  if (Result.Kind_ == ForwardStatus::Answered) {
    recordAnswer(Active, Result);
    deliver(Active, Result);
    Placements_.finish(Active.Request_, Assigned, Outcome, State_.now() - Start,
                       Active.Cancel_);
    return Forward_.releaseConnection(Address, Result.Connection_);
  }
  Placements_.finish(Active.Request_, Assigned, Outcome, State_.now() - Start,
                     Active.Cancel_);
  if (Result.Kind_ == ForwardStatus::Refused)
    Forward_.releaseConnection(Address, Result.Connection_);
  if (Result.Kind_ == ForwardStatus::Unanswered ||
      Result.Kind_ == ForwardStatus::CallerFailed)
    Active.MayHaveRun_ = true;
  if (Preempted && !Active.Cancel_.cancelled()) {
    Active.Cancel_.clearPreemption();
    return;
  }
  Active.TriedEndpoints_.push_back(Assigned.Endpoint_);
  if (mayRetry(Active, Result)) {
    State_.Metrics_
        .counter(Result.Kind_ == ForwardStatus::Unanswered
                     ? "retries_total{started=\"maybe\"}"
                     : "retries_total{started=\"no\"}")
        .add();
    return;
  }
  if (Active.Cancel_.cancelled())
    return fail(Active, {ProblemCode::Cancelled,
                         "cancelled while running",
                         fleet::Outcome::NotRun,
                         {}});
  const bool DeadlinePassed = State_.now() >= Active.Request_.Deadline_;
  fail(Active,
       {DeadlinePassed ? ProblemCode::AnswerLost : ProblemCode::EndpointFailed,
        Result.Reason_, fleet::Outcome::NotRun,
        Duration(std::chrono::seconds(1))});
}

/// Records the answer at the key's replicas before it is sent to the caller.
void RequestRunner::recordAnswer(ActiveRequest &Active,
                                 const ForwardResult &Result) {
  State_.Metrics_.counter("requests_total{outcome=\"ran\"}").add();
  if (!Active.Reservation_)
    return;
  idempotency::StoredResponse Kept;
  Kept.Status_ = Result.Answer_.Status_;
  Kept.ContentType_ =
      std::string(Result.Answer_.Headers_.find("Content-Type").value_or(""));
  Kept.Complete_ = !Result.More_ && Result.Answer_.Body_.size() <=
                                        idempotency::MaxStoredResponseBytes;
  if (Kept.Complete_)
    Kept.Body_ = Result.Answer_.Body_;
  Reservations_.finish(*Active.Reservation_, RecordState::Ran, Kept);
}

void RequestRunner::deliver(ActiveRequest &Active,
                            const ForwardResult &Result) {
  Active.Finished_ = true;
  if (Result.More_)
    return deliverStream(Active, Result);
  http::Response Answer =
      callerResponseHead(Result.Answer_, fleet::Outcome::Ran);
  Answer.Body_ = Result.Answer_.Body_;
  Active.Call_.reply(Answer);
}

void RequestRunner::deliverStream(ActiveRequest &Active,
                                  const ForwardResult &Result) {
  const auto Length = Result.Connection_->contentLength();
  const std::uint64_t Limit = State_.Settings_.AnswerBytes_;
  if (Length && *Length > Limit)
    return refuse(Active.Call_,
                  {ProblemCode::AnswerTooLarge,
                   "the endpoint's answer is larger than the limit",
                   fleet::Outcome::Ran,
                   {}},
                  Active.Request_.Pool_.str());
  Active.Call_.beginReply(
      callerResponseHead(Result.Answer_, fleet::Outcome::Ran), Length);
  std::string Chunk = Result.Answer_.Body_;
  std::uint64_t Sent = 0;
  for (bool More = true; More || !Chunk.empty();) {
    Sent += Chunk.size();
    // Abort the connection so that the caller cannot mistake a truncated answer
    // for a complete one.
    if (Sent > Limit || !Active.Call_.write(Chunk).ok())
      return Active.Call_.abort();
    Chunk.clear();
    if (!More)
      break;
    const auto Next = Result.Connection_->readSome(Chunk, ReadChunkBytes,
                                                   Active.Request_.Deadline_);
    if (!Next.ok())
      return Active.Call_.abort();
    More = *Next;
  }
  Active.Call_.endReply();
}

void RequestRunner::run(http::Exchange &Call, const WorkRequest &Request,
                        const KeyValidator &KeyIsValid) {
  ActiveRequest Active{Call, Request, KeyIsValid, {}, {}, {}, {}, false, false};
  ++InFlight_;
  std::optional<std::multimap<idempotency::RecordName, CancelToken *>::iterator>
      Registration;
  if (Request.Key_)
    Registration = CancelTokens_.emplace(
        idempotency::recordName(Request.Team_, *Request.Key_), &Active.Cancel_);
  if (readPrefix(Active) && reserve(Active)) {
    budgetOf(Request.Pool_).requestStarted();
    if (!Active.Body_.Rest_) {
      // Cleared below: the exchange may outlive the request and its token.
      Call.onCallerDisconnected([&Active] { Active.Cancel_.cancel(); });
    }
    while (!Active.Finished_) {
      Problem Refusal;
      const absl::StatusOr<Placement> Assigned = Placements_.place(
          Request, Active.Cancel_, Active.TriedEndpoints_, Refusal);
      if (Assigned.ok())
        runAttempt(Active, *Assigned);
      else
        fail(Active, Refusal);
    }
  }
  Call.onCallerDisconnected(nullptr);
  if (Registration)
    CancelTokens_.erase(*Registration);
  --InFlight_;
}

bool RequestRunner::cancel(const idempotency::RecordName &Name) {
  const auto [First, Last] = CancelTokens_.equal_range(Name);
  std::vector<CancelToken *> Tokens;
  for (auto It = First; It != Last; ++It)
    Tokens.push_back(It->second);
  for (CancelToken *Token : Tokens)
    Token->cancel();
  return !Tokens.empty();
}

} // namespace laburnumspread::entry
