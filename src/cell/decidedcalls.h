#pragma once

#include "framework/clock/clock.h"
#include "peers/messages.h"

#include <map>
#include <optional>

#include <absl/container/btree_map.h>

namespace laburnumspread::cell {

/// What a leader has decided about a call.
struct CallDecision {
  /// Ok if the change was accepted, else a rejection.
  peers::JobCallStatus Status_ = peers::JobCallStatus::Refused;
  peers::RefusalReason Reason_ = peers::RefusalReason::StoreUnavailable;
  std::uint32_t RetryAfterMs_ = 0;
};

/// Remembers what a leader has decided about the calls of its term, so that
/// each further attempt of a call gets the same answer.
///
/// Guards against a job that runs although its caller was told that it never
/// does: an entry sends an unanswered call again, a late leader finds both
/// attempts, and the reason to reject the first may have passed before the
/// second. Entries number their calls, so a call whose decision may have been
/// forgotten is below a bound, and is not decided anew either.
class DecidedCalls {
public:
  using TimePoint = framework::clock::TimePoint;
  using Duration = framework::clock::Duration;

  /// Calls of an entry that are remembered one by one.
  static constexpr std::size_t MaxCallsPerEntry = 256;
  /// Of an entry without a decision for this long, only the bound is kept.
  /// Entries restart, and each process counts as another.
  static constexpr Duration Retention = std::chrono::minutes(10);
  /// Time between two looks for such entries.
  static constexpr Duration SweepInterval = std::chrono::minutes(1);

  /// At most \p MaxCalls calls of an entry are remembered one by one.
  explicit DecidedCalls(std::size_t MaxCalls = MaxCallsPerEntry)
      : MaxCalls_(MaxCalls) {}

  /// Records the first decision about a call. Calls without a number are not
  /// recorded.
  void add(const peers::JobCall &Call, const CallDecision &Decision,
           TimePoint Now);
  /// Returns the decision about the call, or nullopt if none is remembered.
  std::optional<CallDecision> find(const peers::JobCall &Call) const;
  /// Whether the call is so old that its decision may be forgotten.
  bool isBelowBound(const peers::JobCall &Call) const;
  /// Number of calls that are remembered one by one.
  std::size_t size() const;

private:
  struct Entry {
    /// By the number of the call.
    absl::btree_map<std::uint64_t, CallDecision> Decisions_;
    /// Decisions about calls up to this number may be forgotten.
    std::uint64_t Bound_ = 0;
    TimePoint LastAt_{};
  };

  /// Forgets the oldest calls of the entry, but for the given number.
  static void forgetAllBut(std::size_t Count, Entry &From);
  void forgetSilentEntries(TimePoint Now);

  std::size_t MaxCalls_;
  std::map<peers::MemberId, Entry> Entries_;
  TimePoint SweptAt_{};
};

} // namespace laburnumspread::cell
