#pragma once

#include "framework/clock/clock.h"
#include "peers/messages.h"

#include <map>
#include <optional>

namespace laburnumspread::cell {

/// Remembers the calls that a leader has rejected during its term, so that each
/// further attempt of a call gets the same answer.
///
/// Guards against a job that runs although its caller was told that it never
/// does: an entry sends an unanswered call again, a late leader finds both
/// attempts, and the reason to reject the first may have passed before the
/// second. Entries number their calls, so a call that may have been forgotten
/// is below a bound, and is not decided anew either.
class RejectedCalls {
public:
  using TimePoint = framework::clock::TimePoint;

  /// Rejected calls of an entry that are remembered one by one.
  static constexpr std::size_t MaxCallsPerEntry = 256;
  /// Of an entry that has had no call rejected for this long, only the bound is
  /// kept. Entries restart, and each process counts as another.
  static constexpr framework::clock::Duration Retention =
      std::chrono::minutes(10);

  /// At most \p MaxCalls rejected calls of an entry are remembered one by one.
  explicit RejectedCalls(std::size_t MaxCalls = MaxCallsPerEntry)
      : MaxCalls_(MaxCalls) {}

  /// Records the rejection of a call. Calls without a number are not recorded.
  void add(const peers::JobCall &Call, const peers::JobReply &Rejection,
           TimePoint Now);
  /// Returns the reply to an earlier attempt that was rejected, or nullopt if
  /// none is remembered.
  std::optional<peers::JobReply> find(const peers::JobCall &Call) const;
  /// Whether the call is so old that a rejection of it may be forgotten.
  bool mayBeForgotten(const peers::JobCall &Call) const;
  /// Number of calls that are remembered one by one.
  std::size_t size() const;

private:
  struct Entry {
    std::map<std::uint64_t, peers::JobReply> Replies_;
    /// Rejections of calls up to this number may be forgotten.
    std::uint64_t ForgottenThrough_ = 0;
    TimePoint LastAt_{};
  };

  /// Forgets the oldest calls of the entry, but for the given number.
  static void forgetAllBut(std::size_t Count, Entry &From);
  void forgetSilentEntries(TimePoint Now);

  std::size_t MaxCalls_;
  std::map<peers::MemberId, Entry> Entries_;
};

} // namespace laburnumspread::cell
