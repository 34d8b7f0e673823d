#include "membership/contact.h"

#include <algorithm>

namespace laburnumspread::membership {

void ContactTable::storeAnswered(TimePoint SentAt) {
  StoreAt_ = std::max(StoreAt_, SentAt);
}

void ContactTable::peerAnswered(const MemberId &Peer, TimePoint SentAt) {
  TimePoint &Last = PeersAt_[Peer];
  Last = std::max(Last, SentAt);
}

bool ContactTable::storeInTouch(TimePoint Now) const {
  return Now - StoreAt_ <= FenceAfter;
}

bool ContactTable::inTouch(const MemberId &Peer, TimePoint Now) const {
  const auto At = PeersAt_.find(Peer);
  return At != PeersAt_.end() && Now - At->second <= FenceAfter;
}

bool ContactTable::mostInTouch(const View &Current, const MemberId &Self,
                               TimePoint Now) const {
  const auto Reached = std::count_if(
      Current.Members_.begin(), Current.Members_.end(),
      [&](const Member &M) { return M.Id_ == Self || inTouch(M.Id_, Now); });
  return 2 * static_cast<std::size_t>(Reached) > Current.Members_.size();
}

bool ContactTable::fenced(const View &Current, const MemberId &Self,
                          TimePoint Now) const {
  return !storeInTouch(Now) && !mostInTouch(Current, Self, Now);
}

} // namespace laburnumspread::membership
