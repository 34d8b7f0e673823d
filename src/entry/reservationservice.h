#pragma once

#include "entry/entrystate.h"
#include "entry/requesttypes.h"
#include "idempotency/reservationtally.h"

#include <map>
#include <memory>
#include <random>

namespace laburnumspread::entry {

/// A key that this entry may dispatch once.
struct Reservation {
  idempotency::RecordName Name_;
  idempotency::AttemptId Attempt_;
  TimePoint MintedAt_{};
  TimePoint LeaseUntil_{};
  std::uint64_t Fingerprint_ = 0;
};

/// What became of the try to reserve a key.
struct ReservationResult {
  idempotency::ReservationOutcome Verdict_ =
      idempotency::ReservationOutcome::Retry;
  Reservation Reservation_;
  /// With Duplicate.
  idempotency::Record Found_;
};

/// Reserves keys at their homes, reports how attempts ended, and keeps this
/// entry's own records ready across changes of the view.
class ReservationService {
public:
  explicit ReservationService(EntryState &State)
      : State_(State), Random_(State.Self_.Id_.Incarnation_.value()) {}

  /// Starts the fiber that asks former homes for copies.
  void start();

  /// Waits for most homes of the key. Never Pending.
  ReservationResult reserve(const WorkRequest &Request,
                            std::uint64_t Fingerprint);
  void finish(const Reservation &Held, idempotency::RecordState How,
              const idempotency::StoredResponse &Answer);
  /// Nothing of the request has left.
  void abandon(const Reservation &Held);

  void handle(const peers::Sender &From,
              const idempotency::ReserveRequest &Request);
  void handle(const peers::Sender &From,
              const idempotency::ReserveReply &Reply);
  void handle(const peers::Sender &From, const peers::Finish &Final);
  void handle(const peers::Sender &From, const peers::Abandon &Message);
  void handle(const peers::Sender &From,
              const idempotency::CopyRequest &Request);
  void handle(const peers::Sender &From, const idempotency::CopyReply &Reply);

private:
  struct Pending {
    idempotency::ReservationTally Tally_;
    framework::fibers::WaiterPtr Waiter_;
  };

  ReservationResult attemptReservation(const WorkRequest &Request,
                                       std::uint64_t Fingerprint);
  Duration retryDelay(int Try);
  void copyLoop();
  template <typename Message>
  void sendToHomes(const idempotency::RecordName &Name, const Message &Body);

  EntryState &State_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Pending_;
  std::uint64_t NextAttempt_ = 0;
  std::mt19937_64 Random_;
};

} // namespace laburnumspread::entry
