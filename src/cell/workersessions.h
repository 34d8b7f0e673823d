#pragma once

#include "cell/copyreporter.h"
#include "cell/failuredomains.h"
#include "cell/fillerpacecontroller.h"
#include "cell/runstopper.h"
#include "cell/runtimelearner.h"
#include "cell/successorcaller.h"
#include "cell/workerpolls.h"
#include "cell/workertokens.h"
#include "scheduling/scheduler.h"

namespace laburnumspread::cell {

/// Communicates with the workers of one term: renews the leases of runs, starts
/// and stops tasks, and turns the workers' reports into events. RunTracker
/// decides which runs have ended; this class also gives up runs whose lease
/// must have expired on a worker that does not reply.
///
/// Only a worker that is in use, or may be, has a session, which is a fiber.
/// The others are polled as WorkerPolls chooses.
template <store::KeyValueStore Store, WorkerClient Client>
class WorkerSessions
    : public std::enable_shared_from_this<WorkerSessions<Store, Client>> {
public:
  using TermPtr = std::shared_ptr<Term<Store>>;

  /// How long a hold may wait at the worker for a run to end; the platform
  /// allows up to 2 s. A failed worker is detected after this time plus the
  /// reply timeout. All orders are idempotent, so a lost reply costs no more
  /// than that.
  static constexpr Duration HoldWait = std::chrono::milliseconds(800);
  /// The same for workers with finite tasks. While a reply is lost, their ends
  /// remain unknown and no new tasks can start in their place. Each hold is
  /// billed, but there most of them return early because a task ends.
  static constexpr Duration BusyHoldWait = std::chrono::milliseconds(250);
  /// The same while the leader is late: the longest that the platform allows.
  /// Its time goes to starts then; ends are reported at once anyway.
  static constexpr Duration LateHoldWait = MaxHoldWait;
  static constexpr Duration RetryPause = OrderRetryPause;
  /// Pause between two reports of a worker while the store does not answer: its
  /// ends cannot be acknowledged, so that each report is returned at once.
  static constexpr Duration OutageReportInterval =
      std::chrono::milliseconds(150);
  /// A worker ignores a start that arrives later than this after it was sent.
  static constexpr Duration StartWindow = std::chrono::milliseconds(1500);
  /// Longest time for which a start waits for its worker's first reply, without
  /// the leader's own delay.
  static constexpr Duration FirstReplyWait = 2 * MaxAnswerTimeout;
  /// Turns of fibers until the reply to a poll that is repeated once: the
  /// session begins, connects and reads twice, and the start goes on.
  static constexpr int FirstReplyTurns = 6;
  /// As many attempts as fit into StartWindow.
  static constexpr int StartAttempts = 6;
  /// Logged for a worker that has not replied to this leader yet.
  static constexpr std::int64_t NeverAnswered = -1;

  WorkerSessions(TermPtr T, Client &C)
      : Term_(std::move(T)), Client_(C),
        Tracker_(std::make_shared<RunTracker>(
            Term_->Table_, MaxEndsPerReport,
            jobs::maxCheckpointBytes(Term_->Bounds_.MaxValueBytes_))),
        Stopper_(
            std::make_shared<RunStopper<Store, Client>>(Term_, C, Tracker_)),
        Tokens_(Term_), Successors_(Term_, C), Learner_(Term_),
        Fillers_(Term_, Client_), CopyReporter_(Term_->Metrics_),
        Holds_(Term_->Metrics_.counter("holds_total")),
        FirstStartSeconds_(
            Term_->Metrics_.histogram("task_first_start_seconds")),
        StartAnswerSeconds_(Term_->Metrics_.histogram("start_answer_seconds")) {
  }

  /// Takes in a newly listed worker.
  void add(const WorkerRowPtr &Row) {
    const WorkerIncarnation &Incarnation = Row->Record_.Incarnation_;
    Row->MayRunStaleStarts_ = Tracker_->mayRunStaleStarts(Incarnation);
    Row->FormerOrdersUntil_ = Term_->History_.formerOrdersUntil(
        Incarnation.Id_, ageByWallClock(Incarnation), now());
    const bool Called = Row->mayExecuteFormerOrders(now()) &&
                        PollsInFlight_ < WorkerPolls::MaxInFlight;
    if (needsSession(*Row) || Called)
      openSession(Row);
  }

  /// Removes the workers that are gone and polls unused ones. To be called
  /// several times a second.
  void maintain() {
    removeGone();
    if (!Term_->maySendOrders())
      return;
    for (const WorkerRowPtr &Row : WorkerPolls::choose(
             Term_->Workers_, Term_->Table_, PollsInFlight_, now()))
      openSession(Row);
  }

  /// Closes the connections to all workers. To be called at the end of the
  /// term.
  void close() {
    for (const auto &[Incarnation, Row] : Term_->Workers_) {
      Row->endFirstReplyWaits();
      Client_.forget(Row->Record_);
    }
  }

  /// Sends the start of a run whose intent has been stored.
  void start(const jobs::RunIntended &Item) {
    auto Count = std::make_shared<ScopedCount>(UnansweredStarts_);
    framework::fibers::spawn([Self = this->shared_from_this(), Item,
                              Count = std::move(Count)]() mutable {
      Self->startRun(Item, std::move(Count));
    });
  }

  /// Polls idle workers whose failure domain seems to have failed, before any
  /// task is sent to them.
  void verifyFailedDomains() {
    const auto Unverified = findUnverifiedWorkers(Term_->Workers_, now());
    if (Unverified.empty())
      return;
    framework::log::warning("workers.verified")
        .field("workers", static_cast<std::uint64_t>(Unverified.size()));
    for (const WorkerRowPtr &Row : Unverified)
      Row->suspect();
  }

  /// Number of starts whose first attempt waits to be sent or answered.
  std::size_t unansweredStarts() const { return UnansweredStarts_; }

  /// Stops a run and ensures that it can no longer start. The stop is sent at
  /// once if possible; if it cannot be sent or is not executed, the worker's
  /// next reports trigger it again.
  void stop(const jobs::RunName &Run) { Stopper_->stop(Run); }

  /// Ends a worker's incarnation and its runs. If \p SameId, the worker was
  /// restarted under the same id: orders in transit to the earlier incarnation
  /// may still be executed by the new one, whose session then settles those
  /// runs.
  void endIncarnation(WorkerRow &Row, std::string_view Reason, bool SameId) {
    if (Row.Ended_)
      return;
    Term_->markIncarnationEnded(Row, Reason);
    if (!SameId)
      endAllIncarnations(Row.Record_.Incarnation_.Id_, Reason);
  }

  /// Ends the runs of all incarnations of a worker id that no process uses any
  /// more.
  void endAllIncarnations(const WorkerId &Id, std::string_view Reason) {
    std::vector<WorkerIncarnation> Incarnations;
    for (const auto &[Incarnation, Use] : Term_->Table_.workers())
      if (Incarnation.Id_ == Id)
        Incarnations.push_back(Incarnation);
    for (const WorkerIncarnation &Incarnation : Incarnations)
      loseRuns(Incarnation, Reason);
  }

  /// Ends all runs of an incarnation that can no longer run anything, as Lost.
  void loseRuns(const WorkerIncarnation &Incarnation, std::string_view Reason) {
    const jobs::WorkerUsage *Use = Term_->Table_.usageOf(Incarnation);
    if (!Use)
      return;
    const std::set<jobs::RunName> Runs = Use->Runs_;
    for (const jobs::RunName &Run : Runs)
      endRun({Run, jobs::EndKind::Lost, jobs::Checkpoint(), Reason});
  }

private:
  /// Counts something for as long as it exists.
  class ScopedCount {
  public:
    explicit ScopedCount(std::size_t &Count) : Count_(Count) { ++Count_; }
    ~ScopedCount() { --Count_; }
    ScopedCount(const ScopedCount &) = delete;
    ScopedCount &operator=(const ScopedCount &) = delete;

  private:
    std::size_t &Count_;
  };
  using ScopedCountPtr = std::shared_ptr<ScopedCount>;

  static TimePoint now() { return Term<Store>::now(); }

  /// Returns how long ago the incarnation started, by its own wall clock and
  /// this machine's.
  static Duration ageByWallClock(const WorkerIncarnation &Incarnation) {
    return framework::clock::SystemClock().now() -
           framework::clock::fromMillis(Incarnation.StartedMs_);
  }

  /// Polls the worker at least once, and for as long as it needs a session.
  void openSession(const WorkerRowPtr &Row) {
    if (std::exchange(Row->HasSession_, true))
      return;
    ScopedCountPtr Poll;
    if (!needsSession(*Row))
      Poll = std::make_shared<ScopedCount>(PollsInFlight_);
    framework::fibers::spawn([Self = this->shared_from_this(), Row,
                              Poll = std::move(Poll)]() mutable {
      Self->runSession(*Row, std::move(Poll));
      Row->HasSession_ = false;
    });
  }

  /// \p Poll is set if the worker is unused so far.
  void runSession(WorkerRow &Row, ScopedCountPtr Poll) {
    while (!Term_->ended() && !Row.Ended_) {
      if (!Term_->maySendOrders() || !Tokens_.ensure(Row)) {
        framework::fibers::sleepFor(RetryPause);
        continue;
      }
      sendHold(Row);
      const bool Needed = needsSession(Row);
      if (Needed)
        Poll = nullptr;
      // After a lost reply, the first retry is sent at once.
      if (!Needed && !(Row.Listed_ && Row.Unanswered_ == 1))
        break;
    }
    if (!Row.Synced_)
      Row.endFirstReplyWaits();
    if (Row.Replaced_)
      Successors_.call(Row, Tokens_);
    Row.NextPollAt_ = now() + WorkerPolls::SilentInterval;
  }

  /// Ends an incarnation in whose place another process has replied.
  void endReplaced(WorkerRow &Row) {
    Row.Replaced_ = true;
    endIncarnation(Row, "another incarnation of the worker replied", true);
  }

  /// Whether the worker runs something, or may, or has ends to acknowledge.
  bool needsSession(const WorkerRow &Row) const {
    return Row.MayRunStaleStarts_ || Row.HasUnknownRuns_ || Row.HasMoreEnds_ ||
           Row.EndsStored_ > Row.EndsAcknowledged_ || inUse(Row);
  }

  /// Removes workers that are no longer listed, or whose incarnation has ended,
  /// once their sessions are over.
  void removeGone() {
    for (auto At = Term_->Workers_.begin(); At != Term_->Workers_.end();) {
      const WorkerRowPtr Row = At->second;
      if (Row->HasSession_ || (Row->Listed_ && !Row->Ended_)) {
        ++At;
        continue;
      }
      Client_.forget(Row->Record_);
      Term_->Speeds_.forget(Row->Record_.Incarnation_);
      At = Term_->Workers_.erase(At);
    }
  }

  bool inUse(const WorkerRow &Row) const {
    return Term_->Table_.usageOf(Row.Record_.Incarnation_) != nullptr;
  }

  void sendHold(WorkerRow &Row) {
    const bool Connected =
        Client_.awaitConnection(Row.Record_, MaxConnectionWait);
    if (!Term_->maySendOrders() || Row.Ended_)
      return;
    if (!Connected)
      return handleNoAnswer(Row, OrderResult::NotSent);
    const HoldOrder Order = nextHold(Row);
    const TimePoint SentAt = now();
    Row.recordHold(Order, SentAt);
    const HoldReply Reply =
        Client_.hold(Row.Record_, Order, Order.Wait_ + Row.Answers_.timeout());
    Row.recordAnswer(Reply.Result_, SentAt + Order.Wait_, now());
    if (Reply.Result_ != OrderResult::Unknown)
      Row.recordHoldAnswered(SentAt);
    Row.Suspect_ = false;
    Holds_.add();
    if (Term_->ended())
      return;
    if (Reply.Result_ == OrderResult::Done)
      return handleReport(Row, Reply, Order, SentAt);
    if (Reply.Result_ == OrderResult::OtherIncarnation)
      return endReplaced(Row);
    if (Reply.Result_ == OrderResult::Fenced)
      Term_->Superseded_ = true;
    handleNoAnswer(Row, Reply.Result_);
    // The first retry is sent at once, because run ends may be waiting there.
    if (Row.Unanswered_ > 1 && needsSession(Row))
      framework::fibers::sleepFor(inUse(Row) ? RetryPause
                                             : WorkerPolls::SilentInterval);
  }

  /// If only unknown runs are active on the worker, its lease is not renewed.
  HoldOrder nextHold(WorkerRow &Row) const {
    if (Row.HasUnknownRuns_ && !inUse(Row))
      return Row.nextPoll(BusyHoldWait);
    return Row.nextRenewal(now(), Term_->Bounds_.MaxLease_, holdWait(Row));
  }

  Duration holdWait(const WorkerRow &Row) const {
    const bool Busy = Row.HasUnknownRuns_ || hasFiniteRuns(Row);
    if (Row.HasMoreEnds_)
      return Duration::zero();
    if (Term_->Load_.late())
      return LateHoldWait;
    return Busy ? BusyHoldWait : HoldWait;
  }

  bool hasFiniteRuns(const WorkerRow &Row) const {
    const jobs::WorkerUsage *Use =
        Term_->Table_.usageOf(Row.Record_.Incarnation_);
    return Use && Use->FiniteRuns_ > 0;
  }

  void handleNoAnswer(WorkerRow &Row, OrderResult Result) {
    if (++Row.Unanswered_ > MaxUnansweredInUse)
      Row.endFirstReplyWaits();
    if (Row.Unanswered_ == 1)
      framework::log::warning("worker.unanswered")
          .field("worker", Row.Record_.Incarnation_.Id_.str())
          .field("result", nameOf(Result))
          .field("last_answer_ms_ago", Row.AnsweredAt_ == TimePoint()
                                           ? NeverAnswered
                                           : Term_->sinceMs(Row.AnsweredAt_));
    Term_->Table_.resetProgress(Row.Record_.Incarnation_);
    if (!Row.leaseExpired(now(), Term_->inheritedLeaseExpiry()))
      return;
    Row.HasUnknownRuns_ = false;
    loseRuns(Row.Record_.Incarnation_, "no reply, and the lease has expired");
  }

  void handleReport(WorkerRow &Row, const HoldReply &Reply,
                    const HoldOrder &Order, TimePoint SentAt) {
    Row.updateClock(Reply.ClockMs_, now());
    Row.AnsweredAt_ = now();
    if (Row.Unanswered_ > 0)
      framework::log::info("worker.answers_again")
          .field("worker", Row.Record_.Incarnation_.Id_.str())
          .field("unanswered", static_cast<std::uint64_t>(Row.Unanswered_));
    Row.Unanswered_ = 0;
    Row.EndsAcknowledged_ =
        std::max(Row.EndsAcknowledged_, Order.AcknowledgedEnds_);
    adoptUnstoredStarts(Row, Reply);
    for (const EndReport &Item : Reply.Ends_)
      if (Item.Number_ > Row.EndsStaged_)
        Learner_.recordEnd(Row, Item);
    const RunTracker::Report Report = Tracker_->processReport(
        Row.Record_.Incarnation_, Reply, SentAt, Row.EndsStaged_);
    for (const RunTracker::EndedRun &Item : Report.Ended_)
      endRun(Item);
    Stopper_->handleReport(Row, Reply, Report, SentAt);
    Row.MayRunStaleStarts_ =
        Tracker_->mayRunStaleStarts(Row.Record_.Incarnation_);
    Row.HasUnknownRuns_ = !Report.Unknown_.empty();
    Row.HasMoreEnds_ = !Report.Whole_;
    Fillers_.handleReport(Row, Reply);
    if (!Row.Synced_) {
      Row.markSynced(now(), Term_->Bounds_.MaxLease_);
      Row.endFirstReplyWaits();
      Term_->Commits_.wake();
    }
    awaitEndsStored(Row, Reply);
  }

  /// Takes over runs that an earlier leader started during an outage of the
  /// store.
  void adoptUnstoredStarts(const WorkerRow &Row, const HoldReply &Reply) {
    const auto Runs = Tracker_->unstoredStarts(Reply, Row.EndsStaged_);
    for (const jobs::RunName &Run : Runs) {
      framework::log::info("run.adopted")
          .field("task", Run.Task_.str())
          .field("run", Run.Run_.value())
          .field("worker", Row.Record_.Incarnation_.Id_.str());
      Term_->Commits_.stage(jobs::RunIntended{Run, Row.Record_.Incarnation_});
    }
    Term_->Metrics_.counter("runs_adopted_total").add(Runs.size());
  }

  /// Waits until the reported ends are stored, so that the next hold can
  /// acknowledge them to the worker.
  void awaitEndsStored(WorkerRow &Row, const HoldReply &Reply) {
    std::uint64_t Last = Row.EndsStaged_;
    for (const EndReport &Item : Reply.Ends_)
      Last = std::max(Last, Item.Number_);
    if (Last <= Row.EndsStored_)
      return;
    // The worker returns ends that were not acknowledged at once.
    const bool Repeated = Last == Row.EndsStaged_;
    Row.EndsStaged_ = Last;
    const WorkerRowPtr Shared = Term_->Workers_.at(Row.Record_.Incarnation_);
    auto Ready = std::make_shared<framework::fibers::Waiter>();
    Term_->Commits_.whenStored([Shared, Last, Ready](CommitOutcome Outcome) {
      if (Outcome == CommitOutcome::Stored)
        Shared->EndsStored_ = std::max(Shared->EndsStored_, Last);
      Ready->signal();
    });
    Ready->waitUntil(framework::clock::wallDeadline(
        Repeated || Term_->Commits_.stalled() ? OutageReportInterval
                                              : HoldWait));
  }

  void endRun(const RunTracker::EndedRun &Item) {
    const jobs::RunName &Run = Item.Run_;
    const jobs::LiveRun *Live = Term_->Table_.find(Run);
    if (!Live)
      return;
    framework::log::info("run.ended")
        .field("task", Run.Task_.str())
        .field("run", Run.Run_.value())
        .field("worker", Live->Worker_.Id_.str())
        .field("how", jobs::nameOf(Item.Kind_))
        .field("after_ms", Term_->sinceMs(Live->StartedAt_))
        .field("by", Item.Reason_);
    if (Live->Copy_)
      reportCopyEnd(Item, *Live);
    Tracker_->forget(Run);
    Fillers_.forget(Run);
    Term_->Metrics_
        .counter("runs_ended_total{how=\"" +
                 std::string(jobs::nameOf(Item.Kind_)) + "\"}")
        .add();
    const jobs::JobRow *Job = Term_->Table_.find(Run.Task_.Job_);
    const bool WasOpen = Job && !Job->ended();
    Term_->Commits_.stage(jobs::RunEnded{Run, Item.Kind_, Item.Saved_, 0});
    if (WasOpen && Job->ended())
      logJobEnded(*Job, Run.Task_);
    stopRunsOfEndedJob(Run.Task_.Job_);
    stopUnwantedRuns(Run.Task_);
  }

  void reportCopyEnd(const RunTracker::EndedRun &Item,
                     const jobs::LiveRun &Live) {
    const jobs::TaskName &Task = Item.Run_.Task_;
    const bool Won =
        Item.Kind_ == jobs::EndKind::Done && !Term_->Table_.find(Task)->Done_;
    const Duration Time =
        Live.AcceptedAt_ ? now() - *Live.AcceptedAt_ : Duration::zero();
    CopyReporter_.ended(Time, Term_->Table_.specOf(Task)->PerTask_.MilliCpus_,
                        Won);
  }

  /// Logs the end of a job, with the task whose end caused it.
  void logJobEnded(const jobs::JobRow &Job, const jobs::TaskName &Last) {
    const QueueConfig *Queue = Term_->Config_.find(Job.Spec_.Queue_);
    const bool Late =
        Queue && now() > scheduling::deadlineOf(Job, *Queue, Term_->Estimates_);
    const jobs::TaskRow *Task = Term_->Table_.find(Last);
    Term_->Metrics_
        .counter("jobs_ended_total{state=\"" +
                 std::string(jobs::nameOf(Job.State_)) + "\"}")
        .add();
    framework::log::info("job.ended")
        .field("job", Job.Spec_.Id_.str())
        .field("queue", Job.Spec_.Queue_.str())
        .field("state", jobs::nameOf(Job.State_))
        .field("after_ms", Term_->sinceMs(Job.AcceptedAt_))
        .field("late", Late ? "yes" : "no")
        .field("last_task", Last.str())
        .field("failures",
               static_cast<std::uint64_t>(Task ? Task->Failures_ : 0));
  }

  /// Stops the remaining runs of a job that has ended.
  void stopRunsOfEndedJob(const jobs::JobId &Id) {
    const jobs::JobRow *Job = Term_->Table_.find(Id);
    if (!Job || Job->LiveRuns_ == 0 || !Job->ended())
      return;
    stopJob(Id);
  }

  /// Stops the other run of a task that is done.
  void stopUnwantedRuns(const jobs::TaskName &Name) {
    const jobs::TaskRow *Task = Term_->Table_.find(Name);
    if (!Task)
      return;
    std::vector<jobs::RunName> Unwanted;
    for (const jobs::LiveRun &Live : Task->Runs_)
      if (Term_->Table_.unwantedSince({Name, Live.Run_}))
        Unwanted.push_back({Name, Live.Run_});
    for (const jobs::RunName &Run : Unwanted)
      stop(Run);
  }

public:
  /// Stops all live runs of a job.
  void stopJob(const jobs::JobId &Id) {
    const jobs::JobRow *Job = Term_->Table_.find(Id);
    if (!Job)
      return;
    std::vector<jobs::RunName> Runs;
    for (const auto &[K, Occurrence] : Job->Occurrences_.touched())
      for (std::uint32_t S = 0; S < Occurrence.Steps_.size(); ++S) {
        const auto &Tasks = Occurrence.Steps_[S].Tasks_;
        for (std::uint32_t I = 0; I < Tasks.size(); ++I)
          for (const jobs::LiveRun &Live : Tasks[I].Runs_)
            Runs.push_back({{Id, K, S, I}, Live.Run_});
      }
    for (const jobs::RunName &Run : Runs)
      stop(Run);
  }

  /// Records that this leader has staged the intent of a run.
  void runStaged(const jobs::RunName &Run) {
    Tracker_->runStaged(Run);
    Fillers_.started(Run);
  }

  /// Polls a worker that has not replied yet while the first intent for it is
  /// being stored, so that its start need not wait.
  void prepareStart(const WorkerIncarnation &Worker) {
    const auto Row = Term_->Workers_.find(Worker);
    if (Row != Term_->Workers_.end() && !Row->second->Synced_)
      openSession(Row->second);
  }

private:
  void startRun(const jobs::RunIntended &Item, ScopedCountPtr Count) {
    const jobs::RunName &Run = Item.Run_;
    const auto Worker = Term_->Workers_.find(Item.Worker_);
    if (Term_->ended() || !Term_->Table_.find(Run))
      return;
    const bool Known = Worker != Term_->Workers_.end();
    const WorkerRowPtr Row = Known ? Worker->second : nullptr;
    if (Known && !Row->Synced_)
      awaitFirstReply(Row);
    if (Term_->ended() || !Term_->Table_.find(Run))
      return;
    if (!Known || !maySendFirst(Run, *Row))
      return endRun(
          {Run, jobs::EndKind::Refused, jobs::Checkpoint(), "not sent"});
    const jobs::JobRow *Job = Term_->Table_.find(Run.Task_.Job_);
    const std::string Payload = Job->Spec_.Payload_;
    StartOrder Order;
    Order.Run_ = Run;
    Order.Payload_ = Payload;
    Order.Token_ = Row->Token_;
    Order.ResumeFrom_ = Term_->Table_.resumePoint(Run.Task_);
    Order.Ticket_ =
        Term_->Advice_
            .ticket({Run.Task_.Job_, Run.Task_.Occurrence_, Run.Task_.Step_},
                    Item.Worker_, now())
            .value_or("");
    if (Run.Run_ == jobs::RunNumber(1))
      FirstStartSeconds_.record(
          std::chrono::duration<double>(now() - Job->AcceptedAt_).count());
    Order.DeadlineMs_ =
        Row->clockMs(now()) +
        std::chrono::duration_cast<std::chrono::milliseconds>(StartWindow)
            .count();
    openSession(Row);
    // Reports may have settled the run meanwhile. Then another attempt is not
    // needed and could be executed by a restarted worker.
    OrderAttempts Attempts;
    for (int Attempt = 0; Attempt < StartAttempts; ++Attempt) {
      Attempts.awaitNext();
      const bool Connected = awaitConnection(*Row);
      const bool MaySend =
          Attempt == 0 ? Term_->maySendStarts() : Term_->mayRepeatStarts();
      if (!Term_->Table_.find(Run) || !MaySend || !Term_->takesStarts(*Row) ||
          (Connected && attemptStart(*Row, Order, Attempt)))
        break;
      Count.reset();
    }
    Tracker_->noMoreStarts(Run);
    if (!Term_->ended() && Tracker_->cannotHaveArrived(Run))
      endRun({Run, jobs::EndKind::Refused, jobs::Checkpoint(), "not sent"});
  }

  /// Polls a worker that has not replied to this leader, and waits for the
  /// reply: its clock, on which the start's deadline is given, and what runs
  /// there are unknown before.
  void awaitFirstReply(const WorkerRowPtr &Row) {
    auto Replied = std::make_shared<framework::fibers::Waiter>();
    Row->AwaitingFirstReply_.push_back(Replied);
    openSession(Row);
    Replied->waitUntil(framework::clock::wallDeadline(
        Term_->Load_.timeFor(FirstReplyWait, FirstReplyTurns)));
  }

  /// Whether a run that was never sent may be sent now.
  bool maySendFirst(const jobs::RunName &Run, const WorkerRow &Row) const {
    return Row.Synced_ && !Term_->History_.mayDropUnreadEnds(Row, now()) &&
           !Term_->Table_.unwantedSince(Run) && Term_->maySendStarts() &&
           Term_->takesStarts(Row);
  }

  /// Returns false if no connection to the worker became free.
  bool awaitConnection(WorkerRow &Row) {
    const TimePoint Since = now();
    if (Client_.awaitConnection(Row.Record_, MaxConnectionWait))
      return true;
    Row.recordStartReply(OrderResult::NotSent, Since, now());
    return false;
  }

  /// Sends one start. Returns true if no further attempt is needed.
  bool attemptStart(WorkerRow &Row, const StartOrder &Order, int Attempt) {
    const TimePoint SentAt = now();
    Row.recordOrder(Order.DeadlineMs_, SentAt, Term_->Bounds_.MaxLease_);
    Tracker_->startSent(Order.Run_, Order.DeadlineMs_);
    const OrderReply Reply =
        Client_.start(Row.Record_, Order, Row.Answers_.timeout());
    Row.recordStartReply(Reply.Result_, SentAt, now());
    Term_->Metrics_
        .counter("starts_total{result=\"" + std::string(nameOf(Reply.Result_)) +
                 "\"}")
        .add();
    StartAnswerSeconds_.record(
        std::chrono::duration<double>(now() - SentAt).count());
    if (Term_->ended())
      return true;
    const jobs::RunName &Run = Order.Run_;
    if (Reply.ClockMs_ > 0)
      Row.updateClock(Reply.ClockMs_, now());
    logStart(Row, Order, Reply, Attempt);
    const jobs::LiveRun *Live = Term_->Table_.find(Run);
    if (Live && Reply.Result_ == OrderResult::Done && Attempt == 0)
      Term_->StartDelay_.record(now() - Live->StartedAt_);
    const auto Ended =
        Tracker_->startAnswered(Run, Reply.Result_, Attempt, now());
    if (Reply.Result_ == OrderResult::OtherIncarnation)
      endReplaced(Row);
    const scheduling::StepName Step{Run.Task_.Job_, Run.Task_.Occurrence_,
                                    Run.Task_.Step_};
    if (Reply.Result_ == OrderResult::BadTicket)
      Term_->Advice_.recordRefusal(Step, Row.Record_.Incarnation_);
    if (Reply.Result_ == OrderResult::NoRoom)
      Learner_.recordNoRoom(Row);
    if (Ended)
      endRun(*Ended);
    return !isUnanswered(Reply.Result_);
  }

  static void logStart(const WorkerRow &Row, const StartOrder &Order,
                       const OrderReply &Reply, int Attempt) {
    framework::log::info("run.start")
        .field("task", Order.Run_.Task_.str())
        .field("run", Order.Run_.Run_.value())
        .field("worker", Row.Record_.Incarnation_.Id_.str())
        .field("attempt", Attempt + 1)
        .field("result", nameOf(Reply.Result_));
  }

  TermPtr Term_;
  Client &Client_;
  std::shared_ptr<RunTracker> Tracker_;
  std::shared_ptr<RunStopper<Store, Client>> Stopper_;
  WorkerTokens<Store> Tokens_;
  SuccessorCaller<Store, Client> Successors_;
  RunTimeLearner<Store> Learner_;
  FillerPaceController<Store, Client> Fillers_;
  CopyReporter CopyReporter_;
  std::size_t UnansweredStarts_ = 0;
  /// Sessions that were opened to poll an unused worker.
  std::size_t PollsInFlight_ = 0;
  framework::metrics::Counter &Holds_;
  framework::metrics::Histogram &FirstStartSeconds_;
  framework::metrics::Histogram &StartAnswerSeconds_;
};

} // namespace laburnumspread::cell
