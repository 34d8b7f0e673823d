#pragma once

#include "idempotency/idempotencytypes.h"

#include <map>

namespace laburnumspread::idempotency {

enum class ReservationOutcome {
  /// More replies are needed.
  Pending,
  /// Most homes answered Reserved: the request may be dispatched.
  Granted,
  /// Another attempt has the key; see found().
  Duplicate,
  /// The homes cannot tell whether the key has run.
  Unknown,
  /// No majority can be had at this view; surely not run by this attempt.
  Retry
};

/// Counts the replies of one attempt's homes.
class ReservationTally {
public:
  ReservationTally(AttemptId Attempt, std::vector<MemberId> Replicas);

  /// Counts a reply. Replies of other attempts or from others than the homes,
  /// and second replies of one home, count for nothing.
  void add(const ReserveReply &Reply);

  /// The verdict so far, or, once \p NoMoreReplies (no more replies will be
  /// waited for), the final one, which is never Pending.
  ReservationOutcome outcome(bool NoMoreReplies) const;
  const Record &found() const { return Found_; }

private:
  std::size_t countOf(ReserveResult Result) const;

  AttemptId Attempt_;
  std::vector<MemberId> Replicas_;
  std::map<MemberId, ReserveResult> Replies_;
  Record Found_;
};

} // namespace laburnumspread::idempotency
