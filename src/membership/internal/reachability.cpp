#include "membership/reachability.h"

#include <algorithm>

namespace laburnumspread::membership {

void ReachabilityTracker::recordStoreReply(TimePoint SentAt) {
  LastStoreReply_ = std::max(LastStoreReply_, SentAt);
}

void ReachabilityTracker::recordPeerReply(const MemberId &Peer,
                                          TimePoint SentAt) {
  TimePoint &Last = LastPeerReplies_[Peer];
  Last = std::max(Last, SentAt);
}

bool ReachabilityTracker::isStoreReachable(TimePoint Now) const {
  return Now - LastStoreReply_ <= ReachabilityTimeout;
}

bool ReachabilityTracker::isPeerReachable(const MemberId &Peer,
                                          TimePoint Now) const {
  const auto At = LastPeerReplies_.find(Peer);
  return At != LastPeerReplies_.end() &&
         Now - At->second <= ReachabilityTimeout;
}

bool ReachabilityTracker::isMajorityReachable(const View &Current,
                                              const MemberId &Self,
                                              TimePoint Now) const {
  const auto Reached = std::count_if(
      Current.Members_.begin(), Current.Members_.end(), [&](const Member &M) {
        return M.Id_ == Self || isPeerReachable(M.Id_, Now);
      });
  return 2 * static_cast<std::size_t>(Reached) > Current.Members_.size();
}

bool ReachabilityTracker::fenced(const View &Current, const MemberId &Self,
                                 TimePoint Now) const {
  return !isStoreReachable(Now) && !isMajorityReachable(Current, Self, Now);
}

} // namespace laburnumspread::membership
