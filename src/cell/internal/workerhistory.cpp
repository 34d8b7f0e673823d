#include "cell/workerhistory.h"

#include <algorithm>

namespace laburnumspread::cell {

std::optional<jobs::FencingToken>
WorkerHistory::assignToken(const WorkerId &Id, jobs::FencingToken Newest) {
  jobs::FencingToken &Last = Tokens_[Id];
  if (Newest <= Last)
    return std::nullopt;
  Last = Newest;
  return Newest;
}

TimePoint WorkerHistory::formerOrdersUntil(const WorkerId &Id, Duration Age,
                                           TimePoint Now) const {
  if (Tokens_.contains(Id))
    return Now + MaxOrderDelay;
  const bool Old = Age > MaxAgeForFormerOrders + MaxWallClockDifference;
  return Old ? Now : std::max(Now, formerLeaderOrdersUntil());
}

TimePoint WorkerHistory::formerLeaderOrdersUntil() const {
  return FormerLeader_ ? TakeoverAt_ + StoreOutageTolerance + MaxOrderDelay
                       : TimePoint::min();
}

void WorkerHistory::recordEnd(const WorkerRow &Row) {
  const auto SentAt = Row.lastUnansweredAck();
  if (!SentAt)
    return;
  TimePoint &Known = UnansweredAcks_[Row.Record_.Incarnation_.Id_];
  Known = std::max(Known, *SentAt);
}

bool WorkerHistory::mayDropUnreadEnds(const WorkerRow &Row,
                                      TimePoint Now) const {
  const bool Unanswered =
      UnansweredAcks_.contains(Row.Record_.Incarnation_.Id_);
  if (!Row.Synced_)
    return Unanswered;
  return (Unanswered && Now < Row.SyncedAt_ + MaxHoldWait) ||
         mayDropForFormerLeader(Row, Now);
}

bool WorkerHistory::mayDropForFormerLeader(const WorkerRow &Row,
                                           TimePoint Now) const {
  const auto Age = [&](TimePoint At) {
    return std::chrono::milliseconds(Row.clockMs(At));
  };
  const bool BornBefore = Age(TakeoverAt_) > Duration::zero();
  return FormerLeader_ && BornBefore &&
         Age(Now) < MaxUnnoticedRestart + MaxHoldWait;
}

void WorkerHistory::forgetOldHolds(TimePoint Now) {
  absl::erase_if(UnansweredAcks_, [Now](const auto &Item) {
    return Now > Item.second + MaxOrderDelay + MaxHoldWait;
  });
}

} // namespace laburnumspread::cell
