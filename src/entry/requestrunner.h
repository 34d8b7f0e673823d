#pragma once

#include "entry/forwarder.h"
#include "entry/placementservice.h"
#include "entry/reservationservice.h"
#include "routing/retrybudget.h"

#include <map>
#include <memory>
#include <set>

namespace laburnumspread::entry {

/// Executes admitted requests: reserves the idempotency key, places and
/// forwards the request, retries, and answers the caller.
class RequestRunner {
public:
  RequestRunner(EntryState &State, PlacementService &Placements,
                ReservationService &Reservations, Forwarder &Forward)
      : State_(State), Placements_(Placements), Reservations_(Reservations),
        Forward_(Forward) {}

  /// Returns whether the access key of the request is still valid. Checked
  /// again just before the request is forwarded.
  using KeyValidator = std::function<bool()>;

  /// Runs the request and answers the caller in every case.
  void run(framework::http::Exchange &Call, const WorkRequest &Request,
           const KeyValidator &KeyIsValid);

  /// Cancels waiting and running repeatable requests of this entry with this
  /// name. Returns false if there are none.
  bool cancel(const idempotency::RecordName &Name);

  std::size_t inFlight() const { return InFlight_; }

  /// Answers with a problem document and records the refusal of \p Subject.
  void refuse(framework::http::Exchange &Call, const Problem &Reason,
              std::string_view Subject);

private:
  struct ActiveRequest;

  bool readPrefix(ActiveRequest &Active);
  bool reserve(ActiveRequest &Active);
  void answerDuplicate(ActiveRequest &Active, const ReservationResult &Found);
  void runAttempt(ActiveRequest &Active, const Placement &Assigned);
  bool mayRetry(ActiveRequest &Active, const ForwardResult &Result);
  void deliver(ActiveRequest &Active, const ForwardResult &Result);
  void deliverStream(ActiveRequest &Active, const ForwardResult &Result);
  void recordAnswer(ActiveRequest &Active, const ForwardResult &Result);
  void fail(ActiveRequest &Active, Problem Reason);
  routing::RetryBudget &budgetOf(const fleet::PoolName &Pool) {
    return Budgets_[Pool];
  }

  EntryState &State_;
  PlacementService &Placements_;
  ReservationService &Reservations_;
  Forwarder &Forward_;
  std::map<fleet::PoolName, routing::RetryBudget> Budgets_;
  std::multimap<idempotency::RecordName, CancelToken *> CancelTokens_;
  std::size_t InFlight_ = 0;
};

} // namespace laburnumspread::entry
