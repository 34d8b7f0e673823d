#pragma once

#include "cell/celltypes.h"
#include "framework/clock/adaptivetimeout.h"
#include "framework/clock/steadyclock.h"
#include "framework/fibers/waiter.h"
#include "scheduling/pacer.h"

#include <memory>

namespace laburnumspread::cell {

/// A worker's steady clock may run this much slow (the platform's word), so a
/// lease may last longer by our clock.
constexpr double MinClockRate = 0.98;

/// Added where times of two machines are compared.
constexpr Duration ClockSkewMargin = std::chrono::milliseconds(300);

/// An order to a worker process that has started again since is carried out
/// within this time, or went with the connection.
constexpr Duration MaxStaleOrderDelay = std::chrono::milliseconds(1000);

/// How long a holder that the store does not confirm goes on renewing what
/// runs. Long enough that work outlives an outage of the store of this time and
/// a lease; a successor waits as long before it gives up on a worker that it
/// cannot reach.
constexpr Duration StoreOutageTolerance = std::chrono::milliseconds(4000);

/// After this, nothing that an earlier holder ordered runs on a worker that has
/// not been heard since the takeover at \p Begun: the earlier one went on for
/// StoreOutageTolerance at the most, and what it ordered last has lapsed.
inline TimePoint inheritedLeaseExpiry(TimePoint Begun, Duration MaxLease) {
  const auto Lease = Duration(static_cast<std::int64_t>(
      static_cast<double>(MaxLease.count()) / MinClockRate));
  return Begun + StoreOutageTolerance + Lease + ClockSkewMargin;
}

/// Orders without an answer with which a worker stays in use. One lost answer
/// is common where orders are carried out late, and the next look tells within
/// some tenths of a second; a dark worker gets a few starts more meanwhile.
constexpr std::uint32_t MaxUnansweredInUse = 1;

/// Bounds of the wait for a worker's answer. A worker answers within some
/// milliseconds; an entry whose processor time is a quota stands still for up
/// to a tenth of a second, which must not look like a lost answer.
constexpr Duration MinAnswerTimeout = std::chrono::milliseconds(120);
constexpr Duration MaxAnswerTimeout = std::chrono::milliseconds(300);

/// Before an order without an answer is sent again.
constexpr Duration OrderRetryPause = std::chrono::milliseconds(150);

/// What the holder knows of one life of a worker.
struct WorkerRow {
  WorkerRecord Record_;
  /// Whether the platform's store lists it.
  bool Listed_ = true;
  /// Whether it has answered under this leadership: its list of runs is known
  /// and it refuses orders of earlier holders.
  bool Synced_ = false;
  /// A run of a former life may still begin here.
  bool MayRunStaleStarts_ = false;
  /// It lists runs that the journal does not know of there. It is looked at
  /// until they are gone: a lost order to stop one is then given again.
  bool HasUnknownRuns_ = false;
  /// Known to be over: everything that ran on it is gone.
  bool Ended_ = false;
  /// The worker's clock as it last told, and when that was heard.
  std::int64_t ClockMs_ = 0;
  TimePoint ClockAt_{};
  /// Latest time at which something ordered by this holder may still run
  /// without a further order.
  TimePoint LeaseExpiry_{};
  TimePoint AnsweredAt_{};
  /// When this holder saw its entry first.
  TimePoint ListedAt_{};
  /// Orders without an answer since the last one with.
  std::uint32_t Unanswered_ = 0;
  /// Ends up to here are stored, or are staged.
  std::uint64_t EndsStored_ = 0;
  std::uint64_t EndsStaged_ = 0;
  std::uint64_t EndsAcknowledged_ = 0;
  /// Pace of the tasks that only fill.
  scheduling::Pacer Pace_;
  /// Runs that failed or hung there, fading.
  double Distrust_ = 0;
  framework::fibers::WaiterPtr Wake_;
  framework::clock::AdaptiveTimeout Answers_{MinAnswerTimeout,
                                             MaxAnswerTimeout};

  /// The worker's clock now, by its last word.
  std::int64_t clockMs(TimePoint Now) const {
    return ClockMs_ +
           std::chrono::duration_cast<std::chrono::milliseconds>(Now - ClockAt_)
               .count();
  }

  /// Learns from one call how long this worker's answers take. An answer
  /// before \p Expected was given for an end and tells nothing.
  void recordAnswer(OrderResult Result, TimePoint Expected, TimePoint Now) {
    if (Result == OrderResult::Unknown)
      Answers_.recordTimeout();
    else if (Now >= Expected)
      Answers_.recordResponse(Now - Expected);
  }

  void updateClock(std::int64_t Told, TimePoint Now) {
    // Answers on different connections may overtake each other.
    if (Told < ClockMs_)
      return;
    ClockMs_ = Told;
    ClockAt_ = Now;
  }

  /// Notes that an order with this lease end leaves. The worker's clock is past
  /// its last word and may run slow, so the end by our clock is the later one.
  /// A process that has started again has a clock of its own, on which the
  /// deadline lies far ahead: there the order lasts for the longest lease.
  void recordOrder(std::int64_t DeadlineMs, TimePoint Now, Duration Longest) {
    const double Left = static_cast<double>(DeadlineMs - ClockMs_) * 1000.0;
    const auto Span =
        Duration(static_cast<std::int64_t>(std::max(0.0, Left) / MinClockRate));
    const auto Anew = Duration(static_cast<std::int64_t>(
        static_cast<double>(Longest.count()) / MinClockRate));
    LeaseExpiry_ = std::max(
        {LeaseExpiry_, ClockAt_ + Span, Now + MaxStaleOrderDelay + Anew});
  }

  /// A hold that asks for a report and renews no lease.
  HoldOrder nextPoll(jobs::FencingToken Token, Duration Wait) const {
    HoldOrder Order;
    Order.Token_ = Token;
    Order.AcknowledgedEnds_ = EndsStored_;
    Order.Wait_ = Wait;
    return Order;
  }

  /// The next hold to send. A worker that has not answered the last one is only
  /// looked at: a hold that renews its lease might arrive, and the runs there
  /// could then never be given up.
  HoldOrder nextRenewal(TimePoint Now, jobs::FencingToken Token, Duration Lease,
                        Duration Wait) {
    HoldOrder Order = nextPoll(Token, Duration::zero());
    if (!Synced_ || Unanswered_ > 0)
      return Order;
    Order.DeadlineMs_ =
        clockMs(Now) +
        std::chrono::duration_cast<std::chrono::milliseconds>(Lease).count();
    Order.Wait_ = Wait;
    recordOrder(Order.DeadlineMs_, Now, Lease);
    return Order;
  }

  /// Whether nothing that was ordered to the worker can still run, though it
  /// says nothing: what this holder ordered has run out, or, where the worker
  /// has not answered this holder yet, what earlier ones ordered has.
  bool leaseExpired(TimePoint Now, TimePoint InheritedExpiry) const {
    return Now > (Synced_ ? LeaseExpiry_ + ClockSkewMargin : InheritedExpiry);
  }

  /// The worker has answered this holder for the first time. What an earlier
  /// one ordered there may run for a whole lease from now on.
  void markSynced(TimePoint Now, Duration Longest) {
    Synced_ = true;
    const auto Span = Duration(static_cast<std::int64_t>(
        static_cast<double>(Longest.count()) / MinClockRate));
    LeaseExpiry_ = std::max(LeaseExpiry_, Now + Span);
  }

  /// Whether a list that tells of the time \p ListOf may say that the worker is
  /// gone: it does not answer, and has neither answered nor come up since then.
  bool silentSince(TimePoint ListOf) const {
    return Unanswered_ > 0 && std::max(AnsweredAt_, ListedAt_) < ListOf;
  }

  /// It may be gone: it is given nothing until it answers.
  void suspect() {
    Unanswered_ = std::max(Unanswered_, MaxUnansweredInUse + 1);
    wake();
  }

  bool acceptsTasks() const {
    return Listed_ && Synced_ && !Ended_ && !MayRunStaleStarts_ &&
           !Record_.Draining_ && Unanswered_ <= MaxUnansweredInUse;
  }

  void wake() {
    if (Wake_)
      Wake_->signal();
  }
};

using WorkerRowPtr = std::shared_ptr<WorkerRow>;
using WorkerTable = std::map<WorkerIncarnation, WorkerRowPtr>;

} // namespace laburnumspread::cell
