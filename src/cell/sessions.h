#pragma once

#include "cell/term.h"

namespace laburnumspread::cell {

/// Talks to the workers of one term: keeps the leases of what runs, starts and
/// stops tasks, and turns what workers say into events.
///
/// A task is started again only when each earlier run of it is known to be
/// over, since a run without an answer may have begun, or may begin later. A
/// run is over when its worker lists its end, when a hold that was sent after
/// the start was settled does not list it, when the worker's life is over, or
/// when everything that could have kept it alive has lapsed.
template <store::KeyValueStore Store, WorkerClient Client>
class Sessions : public std::enable_shared_from_this<Sessions<Store, Client>> {
public:
  using TermPtr = std::shared_ptr<Term<Store>>;

  /// A hold waits at the worker this long for an end; the platform allows 2 s.
  /// A worker that has gone dark is noticed after this and AnswerTime.
  static constexpr Duration HoldWait = std::chrono::milliseconds(800);
  /// Time for an answer beyond the wait: a worker answers within some
  /// milliseconds. All orders may be repeated, so a lost answer costs no more
  /// than this.
  static constexpr Duration AnswerTime = std::chrono::milliseconds(300);
  static constexpr Duration RetryPause = std::chrono::milliseconds(150);
  /// A start that arrives later than this after it was sent does nothing.
  static constexpr Duration StartWindow = std::chrono::milliseconds(1500);
  static constexpr Duration IdleCheck = std::chrono::milliseconds(500);
  /// As many as fit into the window.
  static constexpr int StartAttempts = 4;
  static constexpr double DistrustOfFailure = 1;

  Sessions(TermPtr T, Client &C) : Term_(std::move(T)), Client_(C) {}

  /// Starts the session of a worker that has just come up.
  void open(const WorkerRowPtr &Row) {
    framework::fibers::spawn(
        [Self = this->shared_from_this(), Row] { Self->session(Row); });
  }

  /// Sends the start of a run whose intent has been stored.
  void start(const jobs::RunIntended &Item) {
    framework::fibers::spawn(
        [Self = this->shared_from_this(), Item] { Self->startRun(Item); });
  }

  /// Stops a run and makes sure that it cannot begin any more.
  void stop(const jobs::RunName &Run) {
    jobs::LiveRun *Live = Term_->Table_.findLive(Run);
    if (!Live || Live->Stopping_)
      return;
    Live->Stopping_ = true;
    framework::fibers::spawn(
        [Self = this->shared_from_this(), Run] { Self->stopRun(Run); });
  }

  /// The worker's life is over: so is all that ran on it.
  void lifeOver(WorkerRow &Row, std::string_view Reason) {
    if (Row.Over_)
      return;
    Row.Over_ = true;
    Term_->EndedLives_.insert(Row.Record_.Life_);
    framework::log::info("worker.over")
        .field("worker", Row.Record_.Life_.Id_.str())
        .field("born_ms", Row.Record_.Life_.BornMs_)
        .field("reason", Reason);
    loseRuns(Row.Record_.Life_, Reason);
    Row.wake();
  }

  /// Ends all runs on a worker life that cannot be at work any more.
  void loseRuns(const WorkerLife &Life, std::string_view Reason) {
    const jobs::WorkerUse *Use = Term_->Table_.useOf(Life);
    if (!Use)
      return;
    const std::set<jobs::RunName> Runs = Use->Runs_;
    for (const jobs::RunName &Run : Runs)
      endRun(Run, jobs::EndKind::Lost, jobs::Checkpoint(), Reason);
  }

private:
  /// What was sent for a start.
  struct Sent {
    std::int64_t DeadlineMs_ = 0;
    /// When it was settled by an answer; empty while it is in doubt.
    std::optional<TimePoint> SettledAt_;
    /// Whether no further attempt will be sent.
    bool Finished_ = false;
  };

  static TimePoint now() { return Term<Store>::now(); }

  void session(const WorkerRowPtr &Row) {
    while (!Term_->over() && !Row->Over_) {
      if (!Term_->mayOrder()) {
        framework::fibers::sleepFor(RetryPause);
        continue;
      }
      if (!needsHold(*Row)) {
        if (!Row->Listed_)
          break;
        waitForWake(*Row);
        continue;
      }
      holdOnce(*Row);
    }
    Client_.forget(Row->Record_);
    const auto Found = Term_->Workers_.find(Row->Record_.Life_);
    if (Found != Term_->Workers_.end() && Found->second == Row)
      Term_->Workers_.erase(Found);
  }

  bool needsHold(const WorkerRow &Row) const {
    return !Row.Synced_ || Row.EndsStored_ > Row.EndsTold_ ||
           Term_->Table_.useOf(Row.Record_.Life_) != nullptr;
  }

  void waitForWake(WorkerRow &Row) {
    Row.Wake_ = std::make_shared<framework::fibers::Waiter>();
    Row.Wake_->waitUntil(framework::clock::wallDeadline(IdleCheck));
    Row.Wake_ = nullptr;
  }

  void holdOnce(WorkerRow &Row) {
    const HoldOrder Order = Row.nextHold(now(), Term_->Token_,
                                         Term_->Bounds_.LongestHold_, HoldWait);
    const TimePoint SentAt = now();
    const HoldReply Reply =
        Client_.hold(Row.Record_, Order, Order.Wait_ + AnswerTime);
    Term_->Metrics_.counter("holds_total").add();
    if (Term_->over())
      return;
    if (Reply.Result_ == OrderResult::Done)
      return takeReport(Row, Reply, Order, SentAt);
    if (Reply.Result_ == OrderResult::OtherLife)
      return lifeOver(Row, "another life answers");
    if (Reply.Result_ == OrderResult::Fenced)
      Fenced_ = true;
    noAnswer(Row, Reply.Result_);
    framework::fibers::sleepFor(RetryPause);
  }

  void noAnswer(WorkerRow &Row, OrderResult Result) {
    if (++Row.Unanswered_ == 1)
      framework::log::warning("worker.unanswered")
          .field("worker", Row.Record_.Life_.Id_.str())
          .field("result", nameOf(Result))
          .field("last_answer_ms_ago", sinceMs(Row.AnsweredAt_));
    Term_->Table_.forgetProgress(Row.Record_.Life_);
    const TimePoint Ends = Row.Synced_ ? Row.LeaseEnds_ + Term<Store>::Margin
                                       : Term_->inheritedLeaseEnds();
    if (now() > Ends)
      loseRuns(Row.Record_.Life_, "lease ran out unseen");
  }

  static std::int64_t sinceMs(TimePoint When) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now() - When)
        .count();
  }

  void takeReport(WorkerRow &Row, const HoldReply &Reply,
                  const HoldOrder &Order, TimePoint SentAt) {
    Row.heardClock(Reply.ClockMs_, now());
    Row.AnsweredAt_ = now();
    if (Row.Unanswered_ > 0)
      framework::log::info("worker.answers_again")
          .field("worker", Row.Record_.Life_.Id_.str())
          .field("unanswered", static_cast<std::uint64_t>(Row.Unanswered_));
    Row.Unanswered_ = 0;
    Row.EndsTold_ = std::max(Row.EndsTold_, Order.LastSeen_);
    std::set<jobs::RunName> Listed;
    takeEnds(Row, Reply, Listed);
    for (const RunningRow &Item : Reply.Running_) {
      Listed.insert(Item.Run_);
      takeRunning(Row, Item);
    }
    endUnlisted(Row, Reply, Listed, SentAt);
    if (!Row.Synced_) {
      Row.Synced_ = true;
      Term_->Commits_.wake();
    }
  }

  void takeEnds(WorkerRow &Row, const HoldReply &Reply,
                std::set<jobs::RunName> &Listed) {
    std::uint64_t Last = Row.EndsStaged_;
    for (const EndRow &Item : Reply.Ends_) {
      Listed.insert(Item.Run_);
      if (Item.Number_ <= Row.EndsStaged_)
        continue;
      Last = std::max(Last, Item.Number_);
      if (Item.Kind_ == jobs::EndKind::Failed)
        Row.Distrust_ += DistrustOfFailure;
      learn(Item);
      endRun(Item.Run_, Item.Kind_, Item.Saved_, "listed");
    }
    if (Last == Row.EndsStaged_)
      return;
    Row.EndsStaged_ = Last;
    const WorkerRowPtr Kept = Term_->Workers_.at(Row.Record_.Life_);
    auto Ready = std::make_shared<framework::fibers::Waiter>();
    Term_->Commits_.whenStored([Kept, Last, Ready](CommitOutcome Outcome) {
      if (Outcome == CommitOutcome::Stored)
        Kept->EndsStored_ = std::max(Kept->EndsStored_, Last);
      Ready->signal();
    });
    // The next hold tells the worker that these ends are noted.
    Ready->waitUntil(framework::clock::wallDeadline(HoldWait));
  }

  /// Learns how far the callers' estimates are off.
  void learn(const EndRow &Item) {
    if (Item.Kind_ != jobs::EndKind::Done)
      return;
    const jobs::JobRow *Job = Term_->Table_.find(Item.Run_.Task_.Job_);
    const jobs::StepSpec *Step = Term_->Table_.specOf(Item.Run_.Task_);
    const jobs::LiveRun *Live = Term_->Table_.find(Item.Run_);
    const jobs::TaskRow *Task = Term_->Table_.find(Item.Run_.Task_);
    if (!Job || !Step || !Live || !Task || Step->LongRunning_ ||
        !Task->Saved_.empty())
      return;
    Term_->Learned_.note(Job->Spec_.Queue_, Step->Estimate_,
                         now() - Live->StartedAt_);
  }

  void takeRunning(WorkerRow &Row, const RunningRow &Item) {
    jobs::LiveRun *Live = Term_->Table_.findLive(Item.Run_);
    if (!Live || Live->On_ != Row.Record_.Life_) {
      stopUnknown(Row, Item.Run_);
      return;
    }
    Live->Confirmed_ = true;
    Live->Percent_ = Item.Percent_;
    if (!Item.Saved_.empty())
      Term_->Table_.findTask(Item.Run_.Task_)->Saved_ = Item.Saved_;
  }

  /// A run that the journal does not know of as live there: an order of an
  /// earlier time that was carried out late.
  void stopUnknown(const WorkerRow &Row, const jobs::RunName &Run) {
    framework::log::warning("run.unknown")
        .field("task", Run.Task_.str())
        .field("run", Run.Run_.value())
        .field("worker", Row.Record_.Life_.Id_.str());
    framework::fibers::spawn(
        [Self = this->shared_from_this(), Record = Row.Record_, Run] {
          Self->Client_.stop(Record, Run, Self->Term_->Token_, AnswerTime);
        });
  }

  /// Ends the runs that the worker would have to list and does not.
  void endUnlisted(const WorkerRow &Row, const HoldReply &Reply,
                   const std::set<jobs::RunName> &Listed, TimePoint SentAt) {
    const jobs::WorkerUse *Use = Term_->Table_.useOf(Row.Record_.Life_);
    if (!Use)
      return;
    std::vector<jobs::RunName> Missing;
    for (const jobs::RunName &Run : Use->Runs_)
      if (!Listed.contains(Run) && cannotBegin(Run, Reply.ClockMs_, SentAt))
        Missing.push_back(Run);
    for (const jobs::RunName &Run : Missing)
      endRun(Run, jobs::EndKind::Lost, jobs::Checkpoint(), "not listed");
  }

  /// Whether a run that a hold sent at \p SentAt did not list can never begin
  /// after it: the start had been settled before, its deadline has passed on
  /// the worker's clock, or it came from an earlier holder, whom the worker now
  /// refuses.
  bool cannotBegin(const jobs::RunName &Run, std::int64_t ClockMs,
                   TimePoint SentAt) const {
    const auto Known = Sent_.find(Run);
    if (Known == Sent_.end())
      return !Staged_.contains(Run);
    const Sent &Start = Known->second;
    if (Start.SettledAt_ && *Start.SettledAt_ < SentAt)
      return true;
    return Start.Finished_ && Start.DeadlineMs_ < ClockMs;
  }

  void endRun(const jobs::RunName &Run, jobs::EndKind Kind,
              const jobs::Checkpoint &Saved, std::string_view Reason) {
    const jobs::LiveRun *Live = Term_->Table_.find(Run);
    if (!Live)
      return;
    framework::log::info("run.ended")
        .field("task", Run.Task_.str())
        .field("run", Run.Run_.value())
        .field("worker", Live->On_.Id_.str())
        .field("how", jobs::nameOf(Kind))
        .field("after_ms", sinceMs(Live->StartedAt_))
        .field("by", Reason);
    Sent_.erase(Run);
    Staged_.erase(Run);
    Term_->Commits_.stage(jobs::RunEnded{Run, Kind, Saved});
    stopEnded(Run.Task_.Job_);
  }

  /// A job that has failed for good has no use for its other tasks; a task
  /// that is done has none for its copies.
  void stopEnded(const jobs::JobId &Id) {
    const jobs::JobRow *Job = Term_->Table_.find(Id);
    if (!Job || Job->LiveRuns_ == 0 || !Job->ended())
      return;
    stopJob(Id);
  }

public:
  /// Stops everything that is live of a job.
  void stopJob(const jobs::JobId &Id) {
    const jobs::JobRow *Job = Term_->Table_.find(Id);
    if (!Job)
      return;
    std::vector<jobs::RunName> Runs;
    for (std::uint32_t K = 0; K < Job->Occurrences_.size(); ++K)
      for (std::uint32_t S = 0; S < Job->Occurrences_[K].Steps_.size(); ++S) {
        const auto &Tasks = Job->Occurrences_[K].Steps_[S].Tasks_;
        for (std::uint32_t I = 0; I < Tasks.size(); ++I)
          for (const jobs::LiveRun &Live : Tasks[I].Runs_)
            Runs.push_back({{Id, K, S, I}, Live.Run_});
      }
    for (const jobs::RunName &Run : Runs)
      stop(Run);
  }

  /// Notes that the intent of a run has been staged by this holder.
  void staged(const jobs::RunName &Run) { Staged_.insert(Run); }

  /// Whether a worker has refused this holder for a higher token.
  bool fenced() const { return Fenced_; }

private:
  void startRun(const jobs::RunIntended &Item) {
    const jobs::RunName &Run = Item.Run_;
    const auto Worker = Term_->Workers_.find(Item.On_);
    const jobs::JobRow *Job = Term_->Table_.find(Run.Task_.Job_);
    const jobs::LiveRun *Live = Term_->Table_.find(Run);
    if (Term_->over() || !Live)
      return;
    if (!Job || Job->ended() || Live->Stopping_ || !Term_->mayOrder() ||
        Worker == Term_->Workers_.end() || Worker->second->Over_)
      return endRun(Run, jobs::EndKind::Refused, jobs::Checkpoint(),
                    "not sent");
    const WorkerRowPtr Row = Worker->second;
    const std::string Payload = Job->Spec_.Payload_;
    StartOrder Order;
    Order.Run_ = Run;
    Order.Payload_ = Payload;
    Order.Token_ = Term_->Token_;
    Order.From_ = Term_->Table_.find(Run.Task_)->Saved_;
    Order.DeadlineMs_ =
        Row->clockMs(now()) +
        std::chrono::duration_cast<std::chrono::milliseconds>(StartWindow)
            .count();
    Row->noteDeadline(Order.DeadlineMs_);
    Sent_[Run].DeadlineMs_ = Order.DeadlineMs_;
    Row->wake();
    for (int Attempt = 0; Attempt < StartAttempts; ++Attempt)
      if (tryStart(*Row, Order, Attempt))
        break;
    if (const auto Known = Sent_.find(Run); Known != Sent_.end())
      Known->second.Finished_ = true;
  }

  /// One attempt. True when no other is needed.
  bool tryStart(WorkerRow &Row, const StartOrder &Order, int Attempt) {
    const OrderReply Reply = Client_.start(Row.Record_, Order, AnswerTime);
    Term_->Metrics_
        .counter("starts_total{result=\"" + std::string(nameOf(Reply.Result_)) +
                 "\"}")
        .add();
    if (Term_->over())
      return true;
    const jobs::RunName &Run = Order.Run_;
    if (Reply.ClockMs_ > 0)
      Row.heardClock(Reply.ClockMs_, now());
    logStart(Row, Order, Reply, Attempt);
    const auto Known = Sent_.find(Run);
    if (Known == Sent_.end())
      return true;
    if (Reply.Result_ == OrderResult::Done) {
      Known->second.SettledAt_ = now();
      if (jobs::LiveRun *Live = Term_->Table_.findLive(Run)) {
        Live->Confirmed_ = true;
        if (Live->Stopping_)
          stopRunAgain(Run);
      }
      return true;
    }
    if (Reply.Result_ == OrderResult::OtherLife) {
      lifeOver(Row, "another life answers");
      return true;
    }
    if (Reply.Result_ == OrderResult::Unknown)
      return false;
    if (Reply.Result_ == OrderResult::Fenced)
      Fenced_ = true;
    if (Reply.Result_ == OrderResult::NoRoom)
      Row.Distrust_ += DistrustOfFailure;
    // A refusal speaks of this attempt alone. After an unanswered one the run
    // may be there, or may have been: the next holds tell.
    if (Attempt == 0)
      endRun(Run, jobs::EndKind::Refused, jobs::Checkpoint(),
             nameOf(Reply.Result_));
    return true;
  }

  static void logStart(const WorkerRow &Row, const StartOrder &Order,
                       const OrderReply &Reply, int Attempt) {
    framework::log::info("run.start")
        .field("task", Order.Run_.Task_.str())
        .field("run", Order.Run_.Run_.value())
        .field("worker", Row.Record_.Life_.Id_.str())
        .field("attempt", Attempt + 1)
        .field("result", nameOf(Reply.Result_));
  }

  void stopRunAgain(const jobs::RunName &Run) {
    framework::fibers::spawn(
        [Self = this->shared_from_this(), Run] { Self->stopRun(Run); });
  }

  void stopRun(const jobs::RunName &Run) {
    while (!Term_->over()) {
      const jobs::LiveRun *Live = Term_->Table_.find(Run);
      if (!Live)
        return;
      const auto Worker = Term_->Workers_.find(Live->On_);
      if (Worker == Term_->Workers_.end())
        return;
      const WorkerRowPtr Row = Worker->second;
      if (Term_->mayOrder()) {
        const OrderReply Reply =
            Client_.stop(Row->Record_, Run, Term_->Token_, AnswerTime);
        framework::log::info("run.stop")
            .field("task", Run.Task_.str())
            .field("run", Run.Run_.value())
            .field("worker", Row->Record_.Life_.Id_.str())
            .field("result", nameOf(Reply.Result_));
        if (Reply.Result_ == OrderResult::Done) {
          // From now on it can only be listed as ended, or not at all.
          Sent_[Run].SettledAt_ = now();
          return;
        }
        if (Reply.Result_ == OrderResult::OtherLife)
          return lifeOver(*Row, "another life answers");
      }
      framework::fibers::sleepFor(RetryPause);
    }
  }

  TermPtr Term_;
  Client &Client_;
  std::map<jobs::RunName, Sent> Sent_;
  std::set<jobs::RunName> Staged_;
  bool Fenced_ = false;
};

} // namespace laburnumspread::cell
