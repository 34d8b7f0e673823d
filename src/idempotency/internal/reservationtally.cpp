#include "idempotency/reservationtally.h"

#include <algorithm>

namespace laburnumspread::idempotency {

ReservationTally::ReservationTally(AttemptId Attempt,
                                   std::vector<MemberId> Replicas)
    : Attempt_(std::move(Attempt)), Replicas_(std::move(Replicas)) {}

void ReservationTally::add(const ReserveReply &Reply) {
  if (Reply.Attempt_ != Attempt_ ||
      std::find(Replicas_.begin(), Replicas_.end(), Reply.From_) ==
          Replicas_.end() ||
      !Replies_.try_emplace(Reply.From_, Reply.Result_).second)
    return;
  if (Reply.Result_ != ReserveResult::Duplicate)
    return;
  if (countOf(ReserveResult::Duplicate) == 1 ||
      Found_.State_ == RecordState::Reserved)
    Found_ = Reply.Found_;
}

std::size_t ReservationTally::countOf(ReserveResult Result) const {
  return std::count_if(Replies_.begin(), Replies_.end(),
                       [&](const auto &Item) { return Item.second == Result; });
}

ReservationOutcome ReservationTally::outcome(bool NoMoreReplies) const {
  if (Replicas_.empty())
    return ReservationOutcome::Retry;
  const std::size_t Quorum = quorumOf(Replicas_.size());
  if (countOf(ReserveResult::Reserved) >= Quorum)
    return ReservationOutcome::Granted;
  const bool Found = countOf(ReserveResult::Duplicate) > 0;
  if (Found && Found_.State_ != RecordState::Reserved)
    return ReservationOutcome::Duplicate;
  if (!NoMoreReplies && Replies_.size() < Replicas_.size())
    return ReservationOutcome::Pending;
  if (Found)
    return ReservationOutcome::Duplicate;
  return countOf(ReserveResult::RecordsLost) > 0 ? ReservationOutcome::Unknown
                                                 : ReservationOutcome::Retry;
}

} // namespace laburnumspread::idempotency
