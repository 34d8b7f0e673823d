#pragma once

#include "framework/clock/steadyclock.h"
#include "framework/fibers/waiter.h"
#include "peers/messages.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace laburnumspread::cell {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// Limits the number of calls that this entry has in flight at the leader.
///
/// Without a limit, a leader with too little processor time receives more calls
/// than it can read. They wait in its sockets until their callers have given
/// up, and take memory until the process ends. All entries together have few
/// calls at the leader with this limit, however many callers they have.
///
/// The limit follows the time that calls wait before the leader reads them. It
/// grows with each reply while that is short, and is halved when it is long.
/// The time that the leader itself takes for a call, such as that of a slow
/// write to the store, does not count: sending less would not shorten it.
class CallWindow {
public:
  /// Calls that may be in flight at a leader that has not replied yet.
  static constexpr double InitialLimit = 4;
  /// Below a limit of 1, the entry pauses after each call. Hundreds of entries
  /// with one call each are more than a small leader has time for.
  static constexpr double MinLimit = 0.125;
  static constexpr double MaxLimit = 4096;
  /// Time on the way above which the limit is halved. It is half of the time
  /// after which a caller is told that the outcome is not known.
  static constexpr Duration MaxTransit = std::chrono::milliseconds(500);
  /// Time on the way up to which the limit grows. All entries raise theirs at
  /// once, before any of them sees what that adds to the time.
  static constexpr Duration MaxTransitToGrow = std::chrono::milliseconds(250);
  /// Longest time of a reply that the pauses are computed from. Calls that took
  /// longer have been given up by then.
  static constexpr Duration MaxCountedReplyTime = std::chrono::seconds(1);
  /// Longest time that a call waits to be sent.
  static constexpr Duration MaxWait = std::chrono::milliseconds(300);

  /// Waits until a call may be sent, and counts it as in flight. Returns false
  /// if that takes longer than MaxWait or until \p Deadline; at once, if that
  /// can be foreseen.
  bool enter(TimePoint Deadline);
  /// A call that entered is no longer in flight.
  void leave();

  /// The leader has replied to an attempt, whose call may have ended meanwhile.
  void recordReply(const peers::CallTiming &Timing, TimePoint Now);
  /// The leader has not replied to a call in its time, the latest attempt of
  /// which was sent at \p SentAt.
  void recordTimeout(TimePoint SentAt, TimePoint Now);
  /// Another entry leads now.
  void reset();

  /// Greatest time that a call and its reply were on the way lately, less a
  /// part for each reply since. Zero if not known.
  Duration transit() const { return Transit_; }
  double limit() const { return Limit_; }
  std::size_t inFlight() const { return InFlight_; }
  std::size_t waiting() const { return Waiting_.size(); }
  /// Number of calls that did not enter.
  std::uint64_t refused() const { return Refused_; }

private:
  /// Takes a place, waiting for it until \p Until at most.
  bool tryEnter(TimePoint Now, TimePoint Until);
  /// Time until the next call, if the limit is below 1.
  Duration pause() const;
  /// Number of calls that may be in flight.
  double places() const;
  bool hasRoom(TimePoint Now) const;
  /// Time after which one more call could be sent.
  Duration expectedWait(TimePoint Now) const;
  /// Waits for one of the calls in flight to end.
  bool waitForPlace(TimePoint Until);
  /// Gives free places to the calls that wait.
  void admitWaiting();
  void recordTimes(Duration Total, Duration Transit);
  /// Raises the limit if about as many calls are in flight.
  void grow();
  /// Halves the limit, but not below \p Least, and only once for all attempts
  /// that were sent under it.
  void shrink(TimePoint SentAt, TimePoint Now, double Least);

  double Limit_ = InitialLimit;
  /// The limit grows fast below this, and slowly above.
  double SlowGrowthFrom_ = MaxLimit;
  std::optional<TimePoint> ShrunkAt_;
  /// No call is sent until then.
  TimePoint PausedUntil_{};
  /// Time from sending an attempt to its reply, smoothed.
  Duration ReplyTime_{};
  Duration Transit_{};
  std::size_t InFlight_ = 0;
  std::uint64_t Refused_ = 0;
  /// Calls that wait to be sent, the oldest first.
  std::deque<framework::fibers::WaiterPtr> Waiting_;
};

} // namespace laburnumspread::cell
