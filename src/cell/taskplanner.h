#pragma once

#include "cell/copyreporter.h"
#include "cell/machinemanager.h"
#include "cell/sharereporter.h"
#include "cell/workersessions.h"
#include "scheduling/outagestarts.h"
#include "scheduling/scheduler.h"

namespace laburnumspread::cell {

/// Asks the advisor which of the workers may run a step.
using AskAdvisor = std::function<absl::StatusOr<scheduling::AdviceReply>(
    const scheduling::StepName &, const std::vector<WorkerId> &)>;

/// Runs the scheduling passes of one term: collects the workers that accept
/// tasks, plans starts on them, and stages their intents.
template <store::KeyValueStore Store, WorkerClient Client,
          MachineService Service>
class TaskPlanner
    : public std::enable_shared_from_this<TaskPlanner<Store, Client, Service>> {
public:
  using TermPtr = std::shared_ptr<Term<Store>>;
  using SessionsPtr = std::shared_ptr<WorkerSessions<Store, Client>>;
  using MachinesPtr = std::shared_ptr<MachineManager<Store, Client, Service>>;

  TaskPlanner(TermPtr T, SessionsPtr Sessions, MachinesPtr Machines,
              AskAdvisor Ask)
      : Term_(std::move(T)), Sessions_(std::move(Sessions)),
        Machines_(std::move(Machines)), AskAdvisor_(std::move(Ask)),
        ShareReporter_(Term_->Metrics_), CopyReporter_(Term_->Metrics_) {}

  /// Runs a scheduling pass, unless the last one was so long that another one
  /// would take more than MaxPlanningShare of the time. The periodic work of
  /// the cell requests further passes.
  void runPass() {
    const TimePoint StartedAt = now();
    if (!Term_->maySendStarts() || StartedAt < NextPassAt_)
      return;
    if (Sessions_->unansweredStarts() >= startsAllowed())
      return Term_->Load_.recordBound(StartedAt);
    planStarts();
    const TimePoint EndedAt = now();
    Term_->Pace_.passRun(EndedAt - StartedAt);
    NextPassAt_ =
        EndedAt + Duration(static_cast<std::int64_t>(
                      static_cast<double>((EndedAt - StartedAt).count()) *
                      (1 / MaxPlanningShare - 1)));
  }

  /// Continues running jobs while the store does not answer: starts the next
  /// steps in the places of tasks that have just ended.
  void runOutagePass() {
    if (!Term_->Commits_.stalled() || !Term_->maySendStarts())
      return;
    const auto Starts = scheduling::planOutageStarts(
        Term_->Table_, Term_->Config_, Term_->Commits_.unsent(),
        outageCandidates());
    std::uint64_t Sent = 0;
    for (const jobs::RunIntended &Item : Starts) {
      if (Sessions_->unansweredStarts() >= startsAllowed())
        break;
      if (!oneMoreEndFits(Item.Worker_))
        continue;
      Sessions_->runStaged(Item.Run_);
      Term_->Commits_.stageSentStart(Item);
      Sessions_->start(Item);
      ++Sent;
    }
    if (Sent == 0)
      return;
    Term_->Metrics_.counter("outage_starts_total").add(Sent);
    framework::log::info("outage.continued").field("starts", Sent);
  }

  /// Counts the workers by what keeps them from new tasks.
  WorkerCounts countWorkers() const {
    WorkerCounts Result;
    for (const auto &[Incarnation, Row] : Term_->Workers_)
      Result.add(restrictionOf(*Row));
    return Result;
  }

private:
  static TimePoint now() { return Term<Store>::now(); }

  std::size_t startsAllowed() const {
    return Term_->Load_.startsAllowed(MaxUnansweredStarts);
  }

  void planStarts() {
    Term_->Shares_.update(Term_->Table_, Term_->Config_, now());
    const bool CopiesDue = now() >= NextCopiesAt_;
    if (CopiesDue) {
      NextCopiesAt_ = now() + CopyInterval;
      Slow_ = Term_->Speeds_.slowWorkers();
    }
    const std::vector<scheduling::Candidate> Workers = candidates();
    const scheduling::Scheduler Planner(Term_->Table_, Term_->Config_,
                                        Term_->Estimates_, Term_->Advice_,
                                        Term_->Shares_);
    const std::size_t MaxStarts =
        startsAllowed() - Sessions_->unansweredStarts();
    scheduling::Plan Plan =
        Planner.plan(Workers, planTime(), MaxStarts, Machines_->arrivals());
    const std::size_t Planned = Plan.Starts_.size();
    Term_->Load_.recordPass(
        Planned, Plan.ReadyTasks_ - std::min(Planned, Plan.ReadyTasks_), now());
    if (Planned >= MaxStarts)
      Term_->Load_.recordBound(now());
    Term_->Pace_.planned(Plan);
    std::vector<scheduling::Copy> Copies;
    if (CopiesDue && Plan.Starts_.size() < MaxStarts)
      Copies = planCopies(Workers, Plan, MaxStarts - Plan.Starts_.size());
    ShareReporter_.report(Plan.Divisions_, now());
    Term_->Admission_.rebuild(std::move(Plan.Backlogs_));
    askAdvice(Plan.AwaitingAdvice_, Workers);
    for (const jobs::RunIntended &Item : Plan.Starts_)
      stageStart(Item);
    for (const scheduling::Copy &Item : Copies) {
      CopyReporter_.started(Item);
      stageStart(Item.Start_);
    }
  }

  /// Plans second runs of tasks on the room that the plan leaves.
  std::vector<scheduling::Copy>
  planCopies(const std::vector<scheduling::Candidate> &Workers,
             const scheduling::Plan &Plan, std::size_t MaxCopies) const {
    return scheduling::Stragglers(Term_->Table_, Term_->Config_,
                                  Term_->Estimates_, Term_->Advice_)
        .planCopies(Workers, Plan, impairedWorkers(), now(), MaxCopies);
  }

  scheduling::ImpairedWorkers impairedWorkers() const {
    scheduling::ImpairedWorkers Result;
    for (const auto &[Incarnation, Row] : Term_->Workers_) {
      // A suspect worker has not failed to reply: it is polled first.
      const bool Silent =
          Row->Unanswered_ > MaxUnansweredInUse && !Row->Suspect_;
      if (Silent || Row->FailureScore_ >= MinFailureScore ||
          Slow_.contains(Incarnation))
        Result.emplace(Incarnation, &Row->Record_);
    }
    return Result;
  }

  /// Returns what keeps the worker from new tasks.
  WorkerRestriction restrictionOf(const WorkerRow &Row) const {
    const WorkerRestriction Own = Term_->restrictionOf(Row);
    if (!allowsTasks(Own))
      return Own;
    const WorkerRestriction Machine = Machines_->restrictionOf(Row.Record_);
    return allowsTasks(Machine) ? Own : Machine;
  }

  std::vector<scheduling::Candidate> candidates() const {
    std::vector<scheduling::Candidate> Result;
    for (const auto &[Incarnation, Row] : Term_->Workers_) {
      const WorkerRestriction Restriction = restrictionOf(*Row);
      if (!allowsTasks(Restriction))
        continue;
      const jobs::WorkerUsage *Use = Term_->Table_.usageOf(Incarnation);
      Result.push_back(
          {&Row->Record_,
           Use ? Row->Record_.Capacity_ - Use->Used_ : Row->Record_.Capacity_,
           Row->FailureScore_ < MinFailureScore ? 0 : Row->FailureScore_,
           Slow_.contains(Incarnation), !Row->Synced_,
           Restriction == WorkerRestriction::OnTrial});
    }
    return Result;
  }

  /// Workers whose ends, and those of what runs there, fit into one report. A
  /// successor must learn of an end and of the start that followed it at once.
  std::vector<scheduling::Candidate> outageCandidates() const {
    std::vector<scheduling::Candidate> Result = candidates();
    std::erase_if(Result, [&](const scheduling::Candidate &Item) {
      return !oneMoreEndFits(Item.Worker_->Incarnation_);
    });
    return Result;
  }

  bool oneMoreEndFits(const WorkerIncarnation &Worker) const {
    const jobs::WorkerUsage *Use = Term_->Table_.usageOf(Worker);
    return Term_->Workers_.at(Worker)->oneMoreEndFits(
        Use ? Use->Runs_.size() : 0, MaxEndsPerReport);
  }

  scheduling::PlanTime planTime() const {
    return {now(),
            framework::clock::toMillis(framework::clock::SystemClock().now()),
            Term_->StartDelay_.expected(), Term_->Load_.startsPerSecond(now())};
  }

  void stageStart(const jobs::RunIntended &Item) {
    if (const auto Row = Term_->Workers_.find(Item.Worker_);
        Row != Term_->Workers_.end())
      Row->second->Orders_.recordPlanned(now());
    Sessions_->runStaged(Item.Run_);
    Term_->Commits_.stage(Item, [Item, S = Sessions_](CommitOutcome Outcome) {
      if (Outcome == CommitOutcome::Stored)
        S->start(Item);
    });
    Sessions_->prepareStart(Item.Worker_);
  }

  /// Sends the next question to the advisor, unless one is pending. It answers
  /// one call of this entry at a time.
  void askAdvice(const std::vector<scheduling::StepName> &Steps,
                 const std::vector<scheduling::Candidate> &Workers) {
    auto Question = Term_->Advice_.nextQuestion(
        Steps,
        [&](const scheduling::StepName &Step,
            std::vector<WorkerIncarnation> &Into) {
          findWorkersFor(Step, Workers, Into);
        },
        [&](const scheduling::StepName &Step) { return mostWorkers(Step); },
        now());
    if (Question)
      framework::fibers::spawn(
          [Self = this->shared_from_this(), Asked = std::move(*Question)] {
            Self->recordAdvice(Asked);
          });
  }

  const QueueConfig *queueOf(const scheduling::StepName &Step) const {
    const jobs::JobRow *Job = Term_->Table_.find(Step.Job_);
    return Job ? Term_->Config_.find(Job->Spec_.Queue_) : nullptr;
  }

  /// Appends the workers that could run a task of the step, those with room for
  /// one first.
  void findWorkersFor(const scheduling::StepName &Step,
                      const std::vector<scheduling::Candidate> &Workers,
                      std::vector<WorkerIncarnation> &Into) const {
    const QueueConfig *Queue = queueOf(Step);
    const jobs::StepSpec *Spec =
        Term_->Table_.specOf({Step.Job_, Step.Occurrence_, Step.Step_, 0});
    if (!Queue || !Spec)
      return;
    const auto Add = [&](bool HasRoom) {
      for (const scheduling::Candidate &Item : Workers)
        if (Item.Worker_->Pool_ == Queue->Pool_ &&
            couldRun(*Spec, *Item.Worker_) &&
            Spec->demand().fitsInto(Item.Free_) == HasRoom)
          Into.push_back(Item.Worker_->Incarnation_);
    };
    Add(true);
    Add(false);
  }

  static bool couldRun(const jobs::StepSpec &Spec, const WorkerRecord &Worker) {
    return Spec.demand().fitsInto(Worker.Capacity_) &&
           (Spec.Requirement_.empty() || Worker.hasLabel(Spec.Requirement_));
  }

  /// As many workers as the advisor can judge before the call times out.
  std::size_t mostWorkers(const scheduling::StepName &Step) const {
    const QueueConfig *Queue = queueOf(Step);
    if (!Queue || !Queue->Advice_ ||
        Queue->Advice_->TimePerWorker_ <= Duration::zero())
      return MaxWorkersPerQuestion;
    const auto InTime = (MaxAdviceTime - Queue->Advice_->DecisionTime_) /
                        Queue->Advice_->TimePerWorker_;
    return std::clamp<std::size_t>(std::max<std::int64_t>(InTime, 1), 1,
                                   MaxWorkersPerQuestion);
  }

  void recordAdvice(const scheduling::AdviceQuestion &Asked) {
    const TimePoint AskedAt = now();
    std::vector<WorkerId> Ids;
    for (const WorkerIncarnation &Worker : Asked.Workers_)
      Ids.push_back(Worker.Id_);
    const auto Reply = AskAdvisor_(Asked.Step_, Ids);
    framework::log::info("advice.answered")
        .field("step", Asked.Step_.str())
        .field("asked", static_cast<std::uint64_t>(Ids.size()))
        .field("good", static_cast<std::uint64_t>(
                           Reply.ok() ? Reply->Workers_.size() : 0))
        .field("result", Reply.ok() ? "answered" : "no answer");
    if (Term_->ended())
      return;
    if (Reply.ok())
      Term_->Advice_.recordAnswer(Asked, *Reply, AskedAt);
    else
      Term_->Advice_.recordNoAnswer(Asked, now());
    Term_->Commits_.wake();
  }

  /// The advisor's response time grows with the number of workers in a
  /// question; the others follow in the next ones.
  static constexpr std::size_t MaxWorkersPerQuestion = 30;
  /// Time that the advisor may take for a question; calls time out after 3 s.
  static constexpr Duration MaxAdviceTime = std::chrono::milliseconds(2000);
  /// A pass takes longer with more waiting tasks. Without a limit, the leader
  /// of a long backlog would only plan, and neither start nor renew anything.
  static constexpr double MaxPlanningShare = 0.25;
  /// Starts that may be on their way to workers at a time. A leader that plans
  /// more starts than it can send would send each one late, in the order of
  /// planning, and its leases and commits would wait behind them. Below this
  /// number, what waits stays in the table, and the next pass takes what is
  /// most urgent then. Starts that are repeated do not count, as workers that
  /// are cut off would stop all others.
  static constexpr std::size_t MaxUnansweredStarts = 512;
  /// Lower failure scores count as zero, so that workers whose failures are
  /// long past are equal again.
  static constexpr double MinFailureScore = 0.1;

  /// Tasks become stragglers over hundreds of milliseconds, while passes run
  /// many times a second.
  static constexpr Duration CopyInterval = std::chrono::milliseconds(100);

  TermPtr Term_;
  SessionsPtr Sessions_;
  MachinesPtr Machines_;
  AskAdvisor AskAdvisor_;
  ShareReporter ShareReporter_;
  CopyReporter CopyReporter_;
  /// Workers whose tasks take longer than those of others, as of the latest
  /// choice of copies.
  absl::flat_hash_set<WorkerIncarnation> Slow_;
  TimePoint NextCopiesAt_{};
  TimePoint NextPassAt_{};
};

} // namespace laburnumspread::cell
