#include "entry/viewchangeoutcome.h"

#include <absl/strings/match.h>

namespace laburnumspread::entry {

namespace {

bool wasNotSent(const absl::Status &Error) {
  return absl::IsUnavailable(Error) &&
         absl::StartsWith(Error.message(), "not sent");
}

} // namespace

absl::Status
viewChangeOutcome(const absl::StatusOr<store::TransactionResult> &Answer,
                  const membership::View &Wanted,
                  const membership::View &Seen) {
  if (Answer.ok())
    return Answer->Succeeded_
               ? absl::OkStatus()
               : absl::AbortedError("view was changed concurrently");
  if (wasNotSent(Answer.status()))
    return Answer.status();
  // The text, since a view that was read has times of the stored precision.
  if (membership::toText(Seen) == membership::toText(Wanted))
    return absl::OkStatus();
  return absl::UnknownError("the store did not answer; the change may have "
                            "taken effect: " +
                            std::string(Answer.status().message()));
}

} // namespace laburnumspread::entry
