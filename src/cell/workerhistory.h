#pragma once

#include "cell/workertable.h"

#include <optional>

#include <absl/container/flat_hash_map.h>

namespace laburnumspread::cell {

/// A leader learns within this time that a worker has restarted: its holds are
/// answered by the new incarnation, or the list names that.
constexpr Duration MaxUnnoticedRestart = std::chrono::seconds(5);

/// Largest difference between the wall clocks of a worker and a leader; the
/// platform allows for 5 s where clocks jump.
constexpr Duration MaxWallClockDifference = std::chrono::seconds(5);

/// A worker of this age is not sent anything late that was meant for an earlier
/// incarnation: leaders have noticed its start, and what they had sent before
/// has been executed or lost.
constexpr Duration MaxAgeForFormerOrders = MaxUnnoticedRestart + MaxOrderDelay;

/// What a leader has sent to earlier incarnations of the workers.
///
/// A call names a worker's id alone, so one that was meant for an earlier
/// incarnation may be executed by the next, up to MaxOrderDelay late. Two rules
/// keep it from doing harm there:
///
///  - Each incarnation of an id gets a higher fencing token than those before
///    it. Once it has executed its first call, it refuses all that were meant
///    for them. Without this a late start runs a finished task again. No task
///    is started before the first reply. An incarnation that may receive such
///    orders is called as soon as it is listed, needed or not.
///  - A hold that was executed before that may still wait, for up to
///    MaxHoldWait, and drops the ends that happen meanwhile. An end dropped
///    unread looks like a lost run, and its task would be started again. So no
///    task is started in this time if such a hold has no answer. Holds without
///    acknowledgements drop nothing.
///
/// What a former leader has sent is not known. Its token is lower, so the first
/// rule holds. For the second the worker's clock decides, which begins anew in
/// each incarnation: one that was born before the takeover gets no task until
/// all holds that may wait there are over.
///
/// Which ids a former leader has called is not known either, so for a time
/// after the takeover each worker that may be young is called.
///
/// Not covered is a start that the new incarnation executes before its first
/// hold: a worker that has just started has seen no token. This time lasts
/// until the worker has been listed and one hold has arrived there.
class WorkerHistory {
public:
  /// The leadership began at \p TakeoverAt.
  explicit WorkerHistory(TimePoint TakeoverAt) : TakeoverAt_(TakeoverAt) {}

  /// Records whether there was a leader before, as the journal tells.
  void setFormerLeader(bool Existed) { FormerLeader_ = Existed; }

  /// Returns the fencing token for a new incarnation of a worker. \p Newest is
  /// the highest token that this leader may use: a revision of the store at
  /// which the head key was its own. Returns nullopt if an earlier incarnation
  /// has been sent it.
  std::optional<jobs::FencingToken> assignToken(const WorkerId &Id,
                                                jobs::FencingToken Newest);

  /// Returns until when an incarnation listed at \p Now may execute orders that
  /// were meant for an earlier one, unless it is called before; \p Now if there
  /// are none. \p Age is its age by the wall clocks.
  TimePoint formerOrdersUntil(const WorkerId &Id, Duration Age,
                              TimePoint Now) const;

  /// Records that an incarnation has ended, with the holds that it has not
  /// answered.
  void recordEnd(const WorkerRow &Row);

  /// Whether a hold to an earlier incarnation may still acknowledge ends that
  /// this one lists.
  bool mayDropUnreadEnds(const WorkerRow &Row, TimePoint Now) const;

  /// Forgets the holds that can no longer be executed.
  void forgetOldHolds(TimePoint Now);

private:
  TimePoint formerLeaderOrdersUntil() const;
  bool mayDropForFormerLeader(const WorkerRow &Row, TimePoint Now) const;

  TimePoint TakeoverAt_;
  bool FormerLeader_ = false;
  absl::flat_hash_map<WorkerId, jobs::FencingToken> Tokens_;
  /// When the last hold was sent that acknowledged ends and had no answer, of
  /// ended incarnations.
  absl::flat_hash_map<WorkerId, TimePoint> UnansweredAcks_;
};

} // namespace laburnumspread::cell
