#pragma once

#include "membership/membershiptypes.h"

#include <span>
#include <string>

#include <absl/status/statusor.h>

namespace laburnumspread::membership {

/// Maximum length of a task lease, the time that a dispatched request may run.
/// Settings may only lower it.
constexpr framework::clock::Duration MaxTaskLease = std::chrono::seconds(60);

/// Transfer progress that a member reports in its heartbeat. A view is settled
/// once all members have completed their transfers.
struct MemberProgress {
  MemberId Id_;
  ViewNumber View_;
  /// Number of units that it still holds although another member owns them.
  std::uint64_t HeldUnits_ = 0;
  /// Number of buckets of idempotency records that it still has to copy.
  std::uint64_t BucketsToCopy_ = 0;
};

/// Returns the view with one more member. Returns FailedPrecondition while an
/// earlier join is not settled: a second join could move a unit again while its
/// first transfer is in progress, and the new owner would have to wait for a
/// chain of members. Returns AlreadyExists if any run of the same entry is in
/// the view.
absl::StatusOr<View> withJoined(const View &Current, const Member &NewMember);

/// Returns the view in which \p Id is leaving and owns nothing. Returns
/// NotFound if it is not a member.
absl::StatusOr<View> withLeaving(const View &Current, const MemberId &Id);

/// Returns the view without \p Id. What the member held may be reused after
/// \p ReusableAfter. Returns NotFound if it is not a member.
absl::StatusOr<View> withRemoved(const View &Current, const MemberId &Id,
                                 TimePoint ReusableAfter);

/// Whether all transfers up to the current view are complete: every member has
/// adopted the view, holds no moved units and has copied its records, and the
/// task leases of all removed members have expired.
bool canSettle(const View &Current, std::span<const MemberProgress> Progress,
               TimePoint Now);

/// Returns the same view, marked as settled.
View asSettled(const View &Current);

/// Encodes a view as JSON for the store.
std::string toText(const View &Value);
/// Decodes a view from JSON. Returns InvalidArgument if a field is missing or
/// has the wrong type.
absl::StatusOr<View> parseView(std::string_view Text);

} // namespace laburnumspread::membership
