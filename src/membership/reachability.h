#pragma once

#include "membership/membershiptypes.h"

#include <unordered_map>

namespace laburnumspread::membership {

/// Without proof of contact for this long an entry counts itself as cut off.
/// With the store's poll each second this keeps a withdrawn key from working
/// for more than 5 s on an entry that hears nobody.
constexpr framework::clock::Duration ReachabilityTimeout =
    std::chrono::milliseconds(2500);

/// Proofs that the entry was in touch with others, by its own clock.
///
/// A proof is the time at which the entry itself sent the message that was
/// answered. The time of arrival would not do: a process that was paused finds
/// old answers in its sockets when it wakes and would take them for fresh.
class ReachabilityTracker {
public:
  /// A poll of the store sent at \p SentAt was answered.
  void recordStoreReply(TimePoint SentAt);
  /// \p Peer echoed a heartbeat that was sent at \p SentAt.
  void recordPeerReply(const MemberId &Peer, TimePoint SentAt);

  bool isStoreReachable(TimePoint Now) const;
  bool isPeerReachable(const MemberId &Peer, TimePoint Now) const;

  /// Whether most members of \p Current, the entry itself included if it is
  /// one, are in touch.
  bool isMajorityReachable(const View &Current, const MemberId &Self,
                           TimePoint Now) const;

  /// Whether the entry must refuse work: it reaches neither the store nor most
  /// of its view, so a withdrawal could be in force without its knowledge. An
  /// entry that still reaches most of the view goes on: changes are accepted
  /// only by an entry that reaches most of it too, the two majorities share a
  /// member, and that member passes the change on.
  bool fenced(const View &Current, const MemberId &Self, TimePoint Now) const;

private:
  TimePoint LastStoreReply_{};
  std::unordered_map<MemberId, TimePoint> LastPeerReplies_;
};

} // namespace laburnumspread::membership
