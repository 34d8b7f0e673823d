#include "entry/reservationservice.h"

#include "framework/fibers/spawn.h"

namespace laburnumspread::entry {

using framework::fibers::sleepFor;
using idempotency::ReservationOutcome;
using idempotency::ReserveRequest;
using namespace std::chrono_literals;

namespace {

/// A replica that has not answered within this time counts as hung; the two
/// others decide.
constexpr Duration ReplyTimeout = 400ms;
/// Delay between attempts. Replicas briefly answer ViewMismatch or NotReady
/// while the view changes.
constexpr Duration InitialRetryDelay = 10ms;
constexpr Duration MaxRetryDelay = 320ms;
constexpr Duration RetryTimeout = 2s;
constexpr Duration CopyInterval = 100ms;

} // namespace

void ReservationService::start() {
  framework::fibers::spawn([this] { copyLoop(); });
}

void ReservationService::copyLoop() {
  while (true) {
    for (const auto &Wanted : State_.Replicas_.missingCopies())
      State_.Send_(Wanted.Source_, Wanted);
    sleepFor(CopyInterval);
  }
}

template <typename Message>
void ReservationService::sendToReplicas(const idempotency::RecordName &Name,
                                        const Message &Body) {
  for (const MemberId &Replica :
       idempotency::replicasOf(State_.View_, idempotency::bucketOf(Name))) {
    if (Replica == State_.Self_.Id_)
      handle({State_.Self_.Id_, "", {}}, Body);
    else
      State_.Send_(Replica, Body);
  }
}

ReservationResult ReservationService::reserve(const WorkRequest &Request,
                                              std::uint64_t Fingerprint) {
  const TimePoint RetryDeadline =
      std::min(Request.Deadline_, State_.now() + RetryTimeout);
  for (int Attempt = 1;; ++Attempt) {
    ReservationResult Result = attemptReservation(Request, Fingerprint);
    // The earlier attempt may finish within the retry time. Its answer is more
    // useful to the caller than "in progress".
    const bool InProgress =
        Result.Outcome_ == ReservationOutcome::Duplicate &&
        Result.Found_.State_ == idempotency::RecordState::Reserved &&
        Result.Found_.LeaseUntil_ > State_.now();
    if ((Result.Outcome_ != ReservationOutcome::Retry && !InProgress) ||
        State_.now() >= RetryDeadline)
      return Result;
    sleepFor(retryDelay(Attempt));
  }
}

/// Randomized exponential backoff. Concurrent attempts with the same key can
/// each reserve some replicas and all fail; with equal delays they would do so
/// repeatedly.
Duration ReservationService::retryDelay(int Attempt) {
  const Duration MaxDelay =
      std::min(InitialRetryDelay * (1 << std::min(Attempt, 10)), MaxRetryDelay);
  return Duration(Random_() % static_cast<std::uint64_t>(MaxDelay.count()) +
                  1000);
}

ReservationResult
ReservationService::attemptReservation(const WorkRequest &Request,
                                       std::uint64_t Fingerprint) {
  ReserveRequest Message;
  Message.Name_ = idempotency::recordName(Request.Team_, *Request.Key_);
  Message.MintedAt_ = Request.Key_->MintedAt_;
  Message.Attempt_ = {State_.Self_.Id_, ++NextAttempt_};
  Message.View_ = State_.View_.Number_;
  Message.LeaseUntil_ = Request.Deadline_;
  Message.Fingerprint_ = Fingerprint;
  auto Row = std::make_shared<Pending>(
      Pending{{Message.Attempt_,
               idempotency::replicasOf(State_.View_,
                                       idempotency::bucketOf(Message.Name_))},
              std::make_shared<framework::fibers::Waiter>()});
  Pending_[Message.Attempt_.Sequence_] = Row;
  sendToReplicas(Message.Name_, Message);
  if (Row->Tally_.outcome(false) == ReservationOutcome::Pending)
    Row->Waiter_->waitUntil(
        std::min(Request.Deadline_, State_.now() + ReplyTimeout));
  Pending_.erase(Message.Attempt_.Sequence_);
  ReservationResult Result;
  Result.Outcome_ = Row->Tally_.outcome(true);
  Result.Found_ = Row->Tally_.found();
  Result.Reservation_ = {Message.Name_, Message.Attempt_, Message.MintedAt_,
                         Message.LeaseUntil_, Fingerprint};
  if (Result.Outcome_ != ReservationOutcome::Granted)
    abandon(Result.Reservation_);
  return Result;
}

void ReservationService::finish(const Reservation &Reserved,
                                idempotency::RecordState State,
                                const idempotency::StoredResponse &Answer) {
  idempotency::Record Final;
  Final.Attempt_ = Reserved.Attempt_;
  Final.State_ = State;
  Final.LeaseUntil_ = Reserved.LeaseUntil_;
  Final.ForgetAfter_ = Reserved.MintedAt_ + idempotency::KeyWindow +
                       3 * framework::clock::ClockSkewMargin;
  Final.Fingerprint_ = Reserved.Fingerprint_;
  Final.Response_ = Answer;
  sendToReplicas(Reserved.Name_, peers::Finish{{Reserved.Name_, Final}});
}

void ReservationService::abandon(const Reservation &Reserved) {
  sendToReplicas(Reserved.Name_,
                 peers::Abandon{Reserved.Name_, Reserved.Attempt_});
}

void ReservationService::handle(const peers::Sender &From,
                                const ReserveRequest &Request) {
  const auto Reply = State_.Replicas_.reserve(Request, State_.now());
  if (From.Id_ == State_.Self_.Id_)
    handle(From, Reply);
  else
    State_.Send_(From.Id_, Reply);
}

void ReservationService::handle(const peers::Sender &,
                                const idempotency::ReserveReply &Reply) {
  if (Reply.Attempt_.Entry_ != State_.Self_.Id_)
    return;
  const auto Row = Pending_.find(Reply.Attempt_.Sequence_);
  if (Row == Pending_.end())
    return;
  Row->second->Tally_.add(Reply);
  if (Row->second->Tally_.outcome(false) != ReservationOutcome::Pending)
    Row->second->Waiter_->signal();
}

void ReservationService::handle(const peers::Sender &,
                                const peers::Finish &Final) {
  State_.Replicas_.finish(Final.Record_.Name_, Final.Record_.Record_);
}

void ReservationService::handle(const peers::Sender &,
                                const peers::Abandon &Message) {
  State_.Replicas_.abandon(Message.Name_, Message.Attempt_);
}

void ReservationService::handle(const peers::Sender &From,
                                const idempotency::CopyRequest &Request) {
  State_.Send_(From.Id_, State_.Replicas_.handleCopyRequest(Request));
}

void ReservationService::handle(const peers::Sender &,
                                const idempotency::CopyReply &Reply) {
  State_.Replicas_.applyCopyReply(Reply, State_.now());
}

} // namespace laburnumspread::entry
