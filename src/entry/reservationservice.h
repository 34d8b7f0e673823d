#pragma once

#include "entry/entrystate.h"
#include "entry/requesttypes.h"
#include "idempotency/reservationtally.h"

#include <map>
#include <memory>
#include <random>

namespace laburnumspread::entry {

/// An idempotency key reserved by this entry for one dispatch.
struct Reservation {
  idempotency::RecordName Name_;
  idempotency::AttemptId Attempt_;
  TimePoint MintedAt_{};
  TimePoint LeaseUntil_{};
  std::uint64_t Fingerprint_ = 0;
};

/// Result of an attempt to reserve a key.
struct ReservationResult {
  idempotency::ReservationOutcome Outcome_ =
      idempotency::ReservationOutcome::Retry;
  Reservation Reservation_;
  /// The existing record; set with Duplicate.
  idempotency::Record Found_;
};

/// Reserves idempotency keys at their replicas, the entries that store a key's
/// records, and reports the outcome of attempts to them. As a replica, copies
/// records from the former replicas when the view changes.
class ReservationService {
public:
  explicit ReservationService(EntryState &State)
      : State_(State), Random_(State.Self_.Id_.Incarnation_.value()) {}

  /// Starts the fiber that requests copies from former replicas.
  void start();

  /// Waits for a quorum of the key's replicas. The outcome is never Pending.
  ReservationResult reserve(const WorkRequest &Request,
                            std::uint64_t Fingerprint);
  void finish(const Reservation &Reserved, idempotency::RecordState State,
              const idempotency::StoredResponse &Answer);
  /// Releases a reservation of which no part was sent to an endpoint.
  void abandon(const Reservation &Reserved);

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
  Duration retryDelay(int Attempt);
  void copyLoop();
  template <typename Message>
  void sendToReplicas(const idempotency::RecordName &Name, const Message &Body);

  EntryState &State_;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Pending_;
  std::uint64_t NextAttempt_ = 0;
  std::mt19937_64 Random_;
};

} // namespace laburnumspread::entry
