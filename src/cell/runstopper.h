#pragma once

#include "cell/runtracker.h"
#include "cell/term.h"
#include "framework/fibers/spawn.h"

#include <set>
#include <utility>

namespace laburnumspread::cell {

/// Stops runs that should be gone, for one term.
///
/// Which runs to stop is derived from the tables at each report of a worker.
/// Otherwise a lost stop, or one that could not be sent when it was ordered (no
/// worker is listed yet after a takeover), would never be sent again, and the
/// holds that report the run would keep renewing its lease.
template <store::KeyValueStore Store, WorkerClient Client>
class RunStopper
    : public std::enable_shared_from_this<RunStopper<Store, Client>> {
public:
  using TermPtr = std::shared_ptr<Term<Store>>;

  /// A run that is still reported this long after it should be gone is logged.
  static constexpr Duration StopWarningDelay = std::chrono::milliseconds(1000);

  RunStopper(TermPtr T, Client &C, std::shared_ptr<RunTracker> Tracker)
      : Term_(std::move(T)), Client_(C), Tracker_(std::move(Tracker)) {}

  /// Sends the stop of a run at once, unless it cannot be sent or one has been
  /// answered.
  void stop(const jobs::RunName &Run) {
    if (!Tracker_->stopped(Run))
      sendStop(Run);
  }

  /// Sends the stops that a report, requested at \p SentAt, makes necessary.
  void handleReport(const WorkerRow &Row, const HoldReply &Reply,
                    const RunTracker::Report &Report, TimePoint SentAt) {
    for (const RunningReport &Item : Reply.Running_)
      warnIfStillRunning(Row, Item.Run_);
    for (const jobs::RunName &Run :
         Tracker_->unwanted(Row.Record_.Incarnation_, SentAt))
      sendStop(Run);
    for (const jobs::RunName &Run : Report.Unknown_)
      stopUnknown(Row, Run);
    for (const jobs::RunName &Run : Report.StaleStarts_)
      stopStaleStart(Row, Run);
  }

private:
  static TimePoint now() { return Term<Store>::now(); }

  /// Starts sending stops for a live run, unless that is in progress.
  void sendStop(const jobs::RunName &Run) {
    jobs::LiveRun *Live = Term_->Table_.findLive(Run);
    if (!Live)
      return;
    if (!std::exchange(Live->Stopping_, true))
      Live->StoppingSince_ = now();
    if (!InFlight_.insert(Run).second)
      return;
    framework::fibers::spawn([Self = this->shared_from_this(), Run] {
      Self->stopRun(Run);
      Self->InFlight_.erase(Run);
    });
  }

  /// Repeats the stop until it is answered or the run has ended. Gives up if it
  /// cannot be sent; the worker's next report triggers it again.
  void stopRun(const jobs::RunName &Run) {
    OrderAttempts Attempts;
    while (!Term_->ended()) {
      Attempts.awaitNext();
      if (!awaitConnection(Run))
        continue;
      const jobs::LiveRun *Live = Term_->Table_.find(Run);
      if (!Live)
        return;
      const auto Worker = Term_->Workers_.find(Live->Worker_);
      const bool Listed = Worker != Term_->Workers_.end();
      if (!Listed || !Term_->maySendOrders())
        return logStopWaits(Run, Listed);
      if (stopOnce(Worker->second, Run))
        return;
    }
  }

  /// Returns false if no connection to the run's worker became free.
  bool awaitConnection(const jobs::RunName &Run) {
    const jobs::LiveRun *Live = Term_->Table_.find(Run);
    const auto Worker =
        Live ? Term_->Workers_.find(Live->Worker_) : Term_->Workers_.end();
    if (Worker == Term_->Workers_.end())
      return true;
    const WorkerRowPtr Row = Worker->second;
    const TimePoint Since = now();
    if (Client_.awaitConnection(Row->Record_, MaxConnectionWait))
      return true;
    Row->recordStopReply(OrderResult::NotSent, Since, now());
    return false;
  }

  void logStopWaits(const jobs::RunName &Run, bool Listed) const {
    framework::log::info("run.stop_waits")
        .field("task", Run.Task_.str())
        .field("run", Run.Run_.value())
        .field("worker", Term_->Table_.find(Run)->Worker_.Id_.str())
        .field("reason", Listed ? "the store does not confirm the leadership"
                                : "its worker is not listed");
  }

  /// Returns true if no further attempt is needed.
  bool stopOnce(WorkerRowPtr Row, const jobs::RunName &Run) {
    const TimePoint SentAt = now();
    const auto Since = Term_->Table_.unwantedSince(Run);
    const OrderReply Reply =
        Client_.stop(Row->Record_, Run, Row->Token_, Row->Answers_.timeout());
    Row->recordStopReply(Reply.Result_, SentAt, now());
    framework::log::info("run.stop")
        .field("task", Run.Task_.str())
        .field("run", Run.Run_.value())
        .field("worker", Row->Record_.Incarnation_.Id_.str())
        .field("unwanted_for_ms", Since ? Term_->sinceMs(*Since) : 0)
        .field("result", nameOf(Reply.Result_));
    if (Reply.Result_ == OrderResult::Done)
      Tracker_->stopAnswered(Run, now());
    // A start in transit to the former incarnation may still be executed by the
    // new one, whose reports settle it.
    if (Reply.Result_ == OrderResult::OtherIncarnation)
      Term_->markIncarnationEnded(*Row,
                                  "another incarnation of the worker replied");
    return Reply.Result_ == OrderResult::Done ||
           Reply.Result_ == OrderResult::OtherIncarnation;
  }

  /// Logs once that a run is still reported long after it should be gone.
  void warnIfStillRunning(const WorkerRow &Row, const jobs::RunName &Run) {
    const auto Since = Term_->Table_.unwantedSince(Run);
    jobs::LiveRun *Live = Term_->Table_.findLive(Run);
    if (!Since || now() - *Since < StopWarningDelay ||
        std::exchange(Live->StillRunningLogged_, true))
      return;
    framework::log::warning("run.runs_on")
        .field("task", Run.Task_.str())
        .field("run", Run.Run_.value())
        .field("worker", Row.Record_.Incarnation_.Id_.str())
        .field("unwanted_for_ms", Term_->sinceMs(*Since))
        .field("job", jobs::nameOf(Term_->Table_.find(Run.Task_.Job_)->State_))
        .field("being_stopped", Live->Stopping_ ? "yes" : "no");
    Term_->Metrics_.counter("runs_on_total").add();
  }

  /// Stops a run that the journal does not show as live on this worker: an
  /// order of an earlier time that was executed late.
  void stopUnknown(const WorkerRow &Row, const jobs::RunName &Run) {
    if (!InFlight_.insert(Run).second)
      return;
    framework::log::warning("run.unknown")
        .field("task", Run.Task_.str())
        .field("run", Run.Run_.value())
        .field("worker", Row.Record_.Incarnation_.Id_.str());
    framework::fibers::spawn([Self = this->shared_from_this(),
                              Record = Row.Record_, Token = Row.Token_, Run] {
      Self->sendUntrackedStop(Record, Token, Run,
                              "the journal does not show it on this worker");
      Self->InFlight_.erase(Run);
    });
  }

  /// Stops a run of a former incarnation on the incarnation that may have
  /// executed its start.
  void stopStaleStart(const WorkerRow &Row, const jobs::RunName &Run) {
    framework::fibers::spawn([Self = this->shared_from_this(),
                              Record = Row.Record_, Token = Row.Token_, Run] {
      if (Self->sendUntrackedStop(
              Record, Token, Run,
              "its start was sent to a former incarnation of the worker"))
        Self->Tracker_->stopAnsweredByLaterIncarnation(Run, now());
    });
  }

  /// Sends one stop for a run that the tables do not show on this incarnation.
  /// Returns true if it was executed.
  bool sendUntrackedStop(const WorkerRecord &Record, jobs::FencingToken Token,
                         const jobs::RunName &Run, std::string_view Reason) {
    // A connection opened after the term would stay open.
    if (!Client_.awaitConnection(Record, MaxConnectionWait) || Term_->ended())
      return false;
    const OrderReply Reply = Client_.stop(Record, Run, Token, MaxAnswerTimeout);
    framework::log::info("run.stop")
        .field("task", Run.Task_.str())
        .field("run", Run.Run_.value())
        .field("worker", Record.Incarnation_.Id_.str())
        .field("reason", Reason)
        .field("result", nameOf(Reply.Result_));
    return Reply.Result_ == OrderResult::Done;
  }

  TermPtr Term_;
  Client &Client_;
  std::shared_ptr<RunTracker> Tracker_;
  /// Runs for which a fiber is currently sending stops.
  absl::flat_hash_set<jobs::RunName> InFlight_;
};

} // namespace laburnumspread::cell
