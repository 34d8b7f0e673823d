#pragma once

#include "membership/membershiptypes.h"

#include <unordered_map>

namespace laburnumspread::membership {

/// The store or a peer counts as unreachable if it has not replied to a message
/// sent within this time. Together with the poll of the store each second, this
/// keeps a withdrawn key from working for more than 5 s on an isolated entry.
constexpr framework::clock::Duration ReachabilityTimeout =
    std::chrono::milliseconds(2500);

/// Tracks when this entry last reached the store and its peers, by its own
/// clock.
///
/// Records the time at which the entry sent a message that was answered, not
/// the time at which the reply arrived. A process that resumes after a pause
/// finds old replies in its sockets and would otherwise take them for new.
class ReachabilityTracker {
public:
  /// A poll of the store sent at \p SentAt was answered.
  void recordStoreReply(TimePoint SentAt);
  /// \p Peer echoed a heartbeat that was sent at \p SentAt.
  void recordPeerReply(const MemberId &Peer, TimePoint SentAt);

  bool isStoreReachable(TimePoint Now) const;
  bool isPeerReachable(const MemberId &Peer, TimePoint Now) const;

  /// Whether a majority of the members of \p Current is reachable. Counts this
  /// entry as reachable if it is a member.
  bool isMajorityReachable(const View &Current, const MemberId &Self,
                           TimePoint Now) const;

  /// Whether the entry must refuse work because it reaches neither the store
  /// nor a majority of its view, and so may miss the withdrawal of a key. An
  /// entry that still reaches a majority may continue: changes are accepted
  /// only by an entry that reaches a majority too, and the member that both
  /// majorities share forwards the change.
  bool fenced(const View &Current, const MemberId &Self, TimePoint Now) const;

private:
  TimePoint LastStoreReply_{};
  std::unordered_map<MemberId, TimePoint> LastPeerReplies_;
};

} // namespace laburnumspread::membership
