#pragma once

#include "cell/celltypes.h"
#include "cell/orderattempts.h"
#include "cell/orderhealth.h"
#include "cell/workerrestriction.h"
#include "framework/clock/adaptivetimeout.h"
#include "framework/clock/steadyclock.h"
#include "framework/fibers/waiter.h"
#include "scheduling/pacer.h"

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace laburnumspread::cell {

/// Lowest rate of a worker's steady clock relative to real time, as the
/// platform specifies it. On the leader's clock a lease may therefore last
/// longer.
constexpr double MinClockRate = 0.98;

/// Safety margin for comparing times of two machines.
constexpr Duration ClockSkewMargin = std::chrono::milliseconds(300);

/// An order that is sent to a worker which has just restarted, before the
/// leader knows, is executed within this time, or it is lost with the
/// connection.
constexpr Duration MaxStaleOrderDelay = std::chrono::milliseconds(1000);

/// Longest time after which a sent order may still be executed. The platform
/// specifies only "seconds later".
constexpr Duration MaxOrderDelay = std::chrono::seconds(12);

/// Longest time that a hold may wait at the worker; the platform's limit.
constexpr Duration MaxHoldWait = std::chrono::milliseconds(2000);

/// Time for which a leader without confirmation from the store keeps renewing
/// leases. Runs survive a store outage of up to this time plus one lease. A
/// successor waits equally long before it gives up an unreachable worker.
constexpr Duration StoreOutageTolerance = std::chrono::milliseconds(4000);

/// Returns the time after which no run that an earlier leader ordered can still
/// be active on a worker that has not replied since the takeover at \p
/// TakeoverAt. The earlier leader sent orders for at most StoreOutageTolerance
/// more, and the leases of its last orders have expired by then.
inline TimePoint inheritedLeaseExpiry(TimePoint TakeoverAt, Duration MaxLease) {
  const auto Lease = Duration(static_cast<std::int64_t>(
      static_cast<double>(MaxLease.count()) / MinClockRate));
  return TakeoverAt + StoreOutageTolerance + Lease + ClockSkewMargin;
}

/// Highest number of consecutive unanswered orders with which a worker still
/// receives new tasks. Single lost replies are common when orders are executed
/// late, and the next poll clears them up within a few tenths of a second.
/// Meanwhile, a failed worker is sent a few more starts.
constexpr std::uint32_t MaxUnansweredInUse = 1;

/// Bounds of the timeout for a worker's reply. Workers reply within
/// milliseconds, but an entry under a CPU quota can be paused for up to 100 ms,
/// which must not count as a lost reply.
constexpr Duration MinAnswerTimeout = std::chrono::milliseconds(120);
constexpr Duration MaxAnswerTimeout = std::chrono::milliseconds(300);

/// Delay before an order without a reply is sent again.
constexpr Duration OrderRetryPause = std::chrono::milliseconds(150);

/// The leader's view of one incarnation of a worker.
struct WorkerRow {
  WorkerRecord Record_;
  /// Whether the platform's worker list contains it.
  bool Listed_ = true;
  /// Whether it has replied to this leader. Then its runs are known, and it
  /// refuses orders of earlier leaders. Until then no start is sent to it.
  bool Synced_ = false;
  /// When it replied to this leader for the first time.
  TimePoint SyncedAt_{};
  /// Token of all orders to this incarnation; 0 until one is known that is
  /// higher than those of the earlier ones (WorkerHistory). Nothing is sent
  /// before.
  jobs::FencingToken Token_;
  /// A start that was sent to an earlier incarnation of this worker may still
  /// be executed here.
  bool MayRunStaleStarts_ = false;
  /// Until then this incarnation may execute orders that were meant for an
  /// earlier one, if it has not replied before (WorkerHistory).
  TimePoint FormerOrdersUntil_{};
  /// The worker reports runs that the journal does not show on it. It is polled
  /// until they are gone, so that a lost stop is sent again.
  bool HasUnknownRuns_ = false;
  /// Its last report did not hold all its ends.
  bool HasMoreEnds_ = false;
  /// The incarnation has ended, and all runs on it are gone.
  bool Ended_ = false;
  /// Another incarnation has replied in its place.
  bool Replaced_ = false;
  /// Latest known reading of the worker's clock, and the local time at which it
  /// was received.
  std::int64_t ClockMs_ = 0;
  TimePoint ClockAt_{};
  /// Latest time at which a run ordered by this leader can be active without
  /// further orders.
  TimePoint LeaseExpiry_{};
  TimePoint AnsweredAt_{};
  /// When this leader first saw the worker in the platform's list.
  TimePoint ListedAt_{};
  /// Consecutive orders without a reply.
  std::uint32_t Unanswered_ = 0;
  /// Set by suspect() until the outcome of the next order is known.
  bool Suspect_ = false;
  /// Run ends up to these numbers are stored in the journal, are staged, or
  /// have been acknowledged to the worker.
  std::uint64_t EndsStored_ = 0;
  std::uint64_t EndsStaged_ = 0;
  std::uint64_t EndsAcknowledged_ = 0;
  /// When the last hold that acknowledged ends was sent, until it is answered,
  /// and the last one before it that was not.
  std::optional<TimePoint> AckSentAt_;
  std::optional<TimePoint> LostAckAt_;
  /// What the replies to starts and stops tell.
  OrderHealth Orders_;
  /// Controls the pace of the filler tasks on this worker.
  scheduling::Pacer Pace_;
  /// Score of the runs that failed or hung on this worker; decays over time.
  double FailureScore_ = 0;
  /// Whether a fiber is polling the worker.
  bool HasSession_ = false;
  /// When a worker that did not reply is polled again, if it is not in use.
  TimePoint NextPollAt_{};
  /// Starts that wait for the worker's first reply.
  std::vector<framework::fibers::WaiterPtr> AwaitingFirstReply_;
  framework::clock::AdaptiveTimeout Answers_{MinAnswerTimeout,
                                             MaxAnswerTimeout};

  /// Estimates the worker's clock at \p Now from its last known reading.
  std::int64_t clockMs(TimePoint Now) const {
    return ClockMs_ +
           std::chrono::duration_cast<std::chrono::milliseconds>(Now - ClockAt_)
               .count();
  }

  /// Updates the estimate of how long this worker's replies take. A reply
  /// received before \p Expected was triggered by the end of a run and is
  /// ignored.
  void recordAnswer(OrderResult Result, TimePoint Expected, TimePoint Now) {
    if (isUnanswered(Result))
      Answers_.recordTimeout();
    else if (Now >= Expected)
      Answers_.recordResponse(Now - Expected);
  }

  /// Whether the worker has to be called because orders that were meant for an
  /// earlier incarnation may still arrive there. Its first reply shows that it
  /// refuses them.
  bool mayExecuteFormerOrders(TimePoint Now) const {
    return !Synced_ && Now < FormerOrdersUntil_;
  }

  /// Records the outcome of a start that was sent at \p SentAt.
  void recordStartReply(OrderResult Result, TimePoint SentAt, TimePoint Now) {
    recordAnswer(Result, SentAt, Now);
    Orders_.recordStart(Result, Now, randomShare());
  }

  /// Records the outcome of a stop that was sent at \p SentAt.
  void recordStopReply(OrderResult Result, TimePoint SentAt, TimePoint Now) {
    recordAnswer(Result, SentAt, Now);
    Orders_.recordStop(Result, Now, randomShare());
  }

  /// Records a reading of the worker's clock, in milliseconds.
  void updateClock(std::int64_t ReportedMs, TimePoint Now) {
    // Replies on different connections may arrive out of order.
    if (ReportedMs < ClockMs_)
      return;
    ClockMs_ = ReportedMs;
    ClockAt_ = Now;
  }

  /// Extends LeaseExpiry_ for an order that is about to be sent. The worker's
  /// clock has advanced since its last reading and may run slow, so its
  /// deadline maps to a later local time. A restarted process has a new clock,
  /// on which the deadline lies far in the future; there the order is limited
  /// by the longest lease only.
  void recordOrder(std::int64_t DeadlineMs, TimePoint Now, Duration MaxLease) {
    const double LeftMicros =
        static_cast<double>(DeadlineMs - ClockMs_) * 1000.0;
    const auto Span = Duration(
        static_cast<std::int64_t>(std::max(0.0, LeftMicros) / MinClockRate));
    const auto NewProcessSpan = Duration(static_cast<std::int64_t>(
        static_cast<double>(MaxLease.count()) / MinClockRate));
    LeaseExpiry_ = std::max({LeaseExpiry_, ClockAt_ + Span,
                             Now + MaxStaleOrderDelay + NewProcessSpan});
  }

  /// Records that a hold is about to be sent.
  void recordHold(const HoldOrder &Order, TimePoint Now) {
    if (Order.AcknowledgedEnds_ == 0)
      return;
    if (AckSentAt_)
      LostAckAt_ = AckSentAt_;
    AckSentAt_ = Now;
  }

  /// Records that the hold sent at \p SentAt was answered, or was not sent.
  void recordHoldAnswered(TimePoint SentAt) {
    if (AckSentAt_ == SentAt)
      AckSentAt_.reset();
  }

  /// Returns when the last hold was sent that acknowledged ends and has no
  /// answer, so that it may still be executed.
  std::optional<TimePoint> lastUnansweredAck() const {
    return AckSentAt_ ? AckSentAt_ : LostAckAt_;
  }

  /// Returns an order that requests a report without renewing the lease. It
  /// acknowledges only ends that the worker still lists: executed by the next
  /// incarnation, whose ends have the same numbers, it would drop them unread.
  HoldOrder nextPoll(Duration Wait) const {
    HoldOrder Order;
    Order.Token_ = Token_;
    Order.AcknowledgedEnds_ = EndsStored_ > EndsAcknowledged_ ? EndsStored_ : 0;
    Order.Wait_ = Wait;
    return Order;
  }

  /// Returns the next hold to send. A worker that did not reply to the last one
  /// is only polled: a renewal could be executed while its replies are lost,
  /// and the leader could then never assume that the runs there have expired.
  HoldOrder nextRenewal(TimePoint Now, Duration Lease, Duration Wait) {
    HoldOrder Order = nextPoll(Duration::zero());
    if (!Synced_ || Unanswered_ > 0)
      return Order;
    Order.DeadlineMs_ =
        clockMs(Now) +
        std::chrono::duration_cast<std::chrono::milliseconds>(Lease).count();
    Order.Wait_ = Wait;
    recordOrder(Order.DeadlineMs_, Now, Lease);
    return Order;
  }

  /// Whether nothing that was ordered to this silent worker can still be
  /// running: all orders of this leader have expired or, if the worker has
  /// never replied to this leader, those of earlier ones.
  bool leaseExpired(TimePoint Now, TimePoint InheritedExpiry) const {
    return Now > (Synced_ ? LeaseExpiry_ + ClockSkewMargin : InheritedExpiry);
  }

  /// Records the first reply to this leader. Runs ordered by an earlier leader
  /// may go on for one full lease from now.
  void markSynced(TimePoint Now, Duration MaxLease) {
    Synced_ = true;
    SyncedAt_ = Now;
    const auto Span = Duration(static_cast<std::int64_t>(
        static_cast<double>(MaxLease.count()) / MinClockRate));
    LeaseExpiry_ = std::max(LeaseExpiry_, Now + Span);
  }

  /// Whether a machine list as of \p ListOf may declare the worker gone: it
  /// does not reply, and has neither replied nor been listed since then.
  bool silentSince(TimePoint ListOf) const {
    return Unanswered_ > 0 && std::max(AnsweredAt_, ListedAt_) < ListOf;
  }

  /// Marks the worker as possibly gone. It receives no new tasks until it
  /// replies.
  void suspect() {
    Unanswered_ = std::max(Unanswered_, MaxUnansweredInUse + 1);
    Suspect_ = true;
  }

  /// Returns what keeps the worker from new tasks, as far as its replies and
  /// the platform's list tell.
  WorkerRestriction restriction() const {
    if (!Listed_)
      return WorkerRestriction::Unlisted;
    if (Ended_)
      return WorkerRestriction::Ended;
    if (MayRunStaleStarts_)
      return WorkerRestriction::StaleStarts;
    if (Record_.Draining_)
      return WorkerRestriction::Draining;
    return Unanswered_ > MaxUnansweredInUse ? WorkerRestriction::Silent
                                            : WorkerRestriction::None;
  }
  /// Whether new tasks may be started on the worker by its restriction().
  bool acceptsTasks() const { return allowsTasks(restriction()); }

  /// Whether the end of one more run would fit into a report, beside the ends
  /// that have not been acknowledged and those of \p LiveRuns runs.
  bool oneMoreEndFits(std::size_t LiveRuns, std::uint64_t EndsPerReport) const {
    return EndsStaged_ - EndsAcknowledged_ + LiveRuns < EndsPerReport;
  }

  /// Lets the starts continue that wait for the worker's first reply: it has
  /// come, or is no longer expected.
  void endFirstReplyWaits() {
    for (const framework::fibers::WaiterPtr &Item :
         std::exchange(AwaitingFirstReply_, {}))
      Item->signal();
  }
};

using WorkerRowPtr = std::shared_ptr<WorkerRow>;
using WorkerTable = std::map<WorkerIncarnation, WorkerRowPtr>;

} // namespace laburnumspread::cell
