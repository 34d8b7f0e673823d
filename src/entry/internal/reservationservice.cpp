#include "entry/reservationservice.h"

#include "framework/fibers/spawn.h"

namespace laburnumspread::entry {

using framework::fibers::sleepFor;
using idempotency::ReservationOutcome;
using idempotency::ReserveRequest;
using namespace std::chrono_literals;

namespace {

/// A home that has not answered by then counts as hung; the two others decide.
constexpr Duration ReplyTimeout = 400ms;
/// While a view changes, homes answer ViewMismatch or NotReady for a moment.
constexpr Duration FirstPause = 10ms;
constexpr Duration LongestPause = 320ms;
constexpr Duration RetryFor = 2s;
constexpr Duration CopyEvery = 100ms;

} // namespace

void ReservationService::start() {
  framework::fibers::spawn([this] { copyLoop(); });
}

void ReservationService::copyLoop() {
  while (true) {
    for (const auto &Wanted : State_.Homes_.missingCopies())
      State_.Send_(Wanted.Source_, Wanted);
    sleepFor(CopyEvery);
  }
}

template <typename Message>
void ReservationService::toHomes(const idempotency::RecordName &Name,
                                 const Message &Body) {
  for (const MemberId &Home :
       idempotency::replicasOf(State_.View_, idempotency::bucketOf(Name))) {
    if (Home == State_.Self_.Id_)
      handle({State_.Self_.Id_, "", {}}, Body);
    else
      State_.Send_(Home, Body);
  }
}

ReservationResult ReservationService::reserve(const WorkRequest &Request,
                                              std::uint64_t Fingerprint) {
  const TimePoint GiveUp = std::min(Request.Deadline_, State_.now() + RetryFor);
  for (int Try = 1;; ++Try) {
    ReservationResult Result = tryOnce(Request, Fingerprint);
    // The first attempt may be about to end, or its end may be on its way to
    // the homes: its answer is better than "in progress".
    const bool UnderWay =
        Result.Verdict_ == ReservationOutcome::Duplicate &&
        Result.Found_.State_ == idempotency::RecordState::Reserved &&
        Result.Found_.LeaseUntil_ > State_.now();
    if ((Result.Verdict_ != ReservationOutcome::Retry && !UnderWay) ||
        State_.now() >= GiveUp)
      return Result;
    sleepFor(pauseBefore(Try));
  }
}

/// Attempts with one key that start together each take a home from the others
/// and all give up. With equal pauses they would do so again and again; random
/// ones that grow let one of them through.
Duration ReservationService::pauseBefore(int Try) {
  const Duration Most =
      std::min(FirstPause * (1 << std::min(Try, 10)), LongestPause);
  return Duration(Random_() % static_cast<std::uint64_t>(Most.count()) + 1000);
}

ReservationResult ReservationService::tryOnce(const WorkRequest &Request,
                                              std::uint64_t Fingerprint) {
  ReserveRequest Asked;
  Asked.Name_ = idempotency::recordName(Request.Team_, *Request.Key_);
  Asked.MintedAt_ = Request.Key_->MintedAt_;
  Asked.Attempt_ = {State_.Self_.Id_, ++NextAttempt_};
  Asked.View_ = State_.View_.Number_;
  Asked.LeaseUntil_ = Request.Deadline_;
  Asked.Fingerprint_ = Fingerprint;
  auto Row = std::make_shared<Pending>(Pending{
      {Asked.Attempt_, idempotency::replicasOf(
                           State_.View_, idempotency::bucketOf(Asked.Name_))},
      std::make_shared<framework::fibers::Waiter>()});
  Pending_[Asked.Attempt_.Sequence_] = Row;
  toHomes(Asked.Name_, Asked);
  if (Row->Tally_.outcome(false) == ReservationOutcome::Pending)
    Row->Waiter_->waitUntil(
        std::min(Request.Deadline_, State_.now() + ReplyTimeout));
  Pending_.erase(Asked.Attempt_.Sequence_);
  ReservationResult Result;
  Result.Verdict_ = Row->Tally_.outcome(true);
  Result.Found_ = Row->Tally_.found();
  Result.Reservation_ = {Asked.Name_, Asked.Attempt_, Asked.MintedAt_,
                         Asked.LeaseUntil_, Fingerprint};
  if (Result.Verdict_ != ReservationOutcome::Granted)
    abandon(Result.Reservation_);
  return Result;
}

void ReservationService::finish(const Reservation &Held,
                                idempotency::RecordState How,
                                const idempotency::StoredResponse &Answer) {
  idempotency::Record Final;
  Final.Attempt_ = Held.Attempt_;
  Final.State_ = How;
  Final.LeaseUntil_ = Held.LeaseUntil_;
  Final.ForgetAfter_ = Held.MintedAt_ + idempotency::KeyWindow +
                       3 * framework::clock::ClockSkewMargin;
  Final.Fingerprint_ = Held.Fingerprint_;
  Final.Response_ = Answer;
  toHomes(Held.Name_, peers::Finish{{Held.Name_, Final}});
}

void ReservationService::abandon(const Reservation &Held) {
  toHomes(Held.Name_, peers::Abandon{Held.Name_, Held.Attempt_});
}

void ReservationService::handle(const peers::Sender &From,
                                const ReserveRequest &Asked) {
  const auto Reply = State_.Homes_.reserve(Asked, State_.now());
  if (From.Id_ == State_.Self_.Id_)
    handle(From, Reply);
  else
    State_.Send_(From.Id_, Reply);
}

void ReservationService::handle(const peers::Sender &,
                                const idempotency::ReserveReply &Said) {
  if (Said.Attempt_.Entry_ != State_.Self_.Id_)
    return;
  const auto Row = Pending_.find(Said.Attempt_.Sequence_);
  if (Row == Pending_.end())
    return;
  Row->second->Tally_.add(Said);
  if (Row->second->Tally_.outcome(false) != ReservationOutcome::Pending)
    Row->second->Waiter_->signal();
}

void ReservationService::handle(const peers::Sender &,
                                const peers::Finish &Final) {
  State_.Homes_.finish(Final.Record_.Name_, Final.Record_.Record_);
}

void ReservationService::handle(const peers::Sender &,
                                const peers::Abandon &Freed) {
  State_.Homes_.abandon(Freed.Name_, Freed.Attempt_);
}

void ReservationService::handle(const peers::Sender &From,
                                const idempotency::CopyRequest &Asked) {
  State_.Send_(From.Id_, State_.Homes_.handleCopyRequest(Asked));
}

void ReservationService::handle(const peers::Sender &,
                                const idempotency::CopyReply &Said) {
  State_.Homes_.applyCopyReply(Said, State_.now());
}

} // namespace laburnumspread::entry
