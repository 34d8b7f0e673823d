#pragma once

#include "membership/membershiptypes.h"

#include <span>
#include <string>

#include <absl/status/statusor.h>

namespace laburnumspread::membership {

/// Longest time that a dispatched request may run: the bound of its task
/// lease. Settings may only lower it.
constexpr framework::clock::Duration MaxTaskLease = std::chrono::seconds(60);

/// What one member says of itself in a heartbeat, as far as settling a view
/// depends on it.
struct MemberProgress {
  MemberId Id_;
  ViewNumber View_;
  /// Units that it still uses although another member owns them now.
  std::uint64_t HeldUnits_ = 0;
  /// Buckets of idempotency records that it has yet to copy.
  std::uint64_t BucketsToCopy_ = 0;
};

/// The view with one more member. FailedPrecondition while an earlier join is
/// not settled: a second one could move a unit again while its first move is
/// still under way, and the gainer would have to wait for a chain of members.
/// AlreadyExists when the member, or a newer run of it, is in the view.
absl::StatusOr<View> withJoined(const View &Current, const Member &NewMember);

/// The view in which \p Id owns nothing any more. NotFound if it is no member.
absl::StatusOr<View> withLeaving(const View &Current, const MemberId &Id);

/// The view without \p Id. What it held may be reused after \p ReusableAfter.
absl::StatusOr<View> withRemoved(const View &Current, const MemberId &Id,
                                 TimePoint ReusableAfter);

/// Whether everything that moved up to the present view has arrived: every
/// member has taken the view, holds back nothing and has copied its records,
/// and the task leases of all removed members have ended.
bool canSettle(const View &Current, std::span<const MemberProgress> Progress,
               TimePoint Now);

/// The same view with nothing left to move.
View asSettled(const View &Current);

std::string toText(const View &Value);
absl::StatusOr<View> parseView(std::string_view Text);

} // namespace laburnumspread::membership
