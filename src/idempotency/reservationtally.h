#pragma once

#include "idempotency/idempotencytypes.h"

#include <map>

namespace laburnumspread::idempotency {

/// Result of an attempt to reserve a key at its replicas.
enum class ReservationOutcome {
  /// More replies are needed.
  Pending,
  /// A majority answered Reserved. The request may be dispatched.
  Granted,
  /// Another attempt has a record under the key; see found().
  Duplicate,
  /// Records are lost, so whether a request ran under the key is not known.
  Unknown,
  /// No majority was reached at this view. This attempt was not dispatched.
  Retry
};

/// Counts the replies of a key's replicas to one attempt.
class ReservationTally {
public:
  ReservationTally(AttemptId Attempt, std::vector<MemberId> Replicas);

  /// Counts a reply. Ignores replies to other attempts, replies from members
  /// that are not replicas, and repeated replies of one replica.
  void add(const ReserveReply &Reply);

  /// The outcome so far. With \p NoMoreReplies, meaning that the caller stops
  /// waiting for replies, the final outcome, which is never Pending.
  ReservationOutcome outcome(bool NoMoreReplies) const;
  /// The record of the other attempt. Valid if a replica answered Duplicate. A
  /// final record takes precedence over a reservation.
  const Record &found() const { return Found_; }

private:
  std::size_t countOf(ReserveResult Result) const;

  AttemptId Attempt_;
  std::vector<MemberId> Replicas_;
  std::map<MemberId, ReserveResult> Replies_;
  Record Found_;
};

} // namespace laburnumspread::idempotency
