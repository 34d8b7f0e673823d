#include "scheduling/scheduler.h"

#include <algorithm>
#include <map>
#include <tuple>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

namespace laburnumspread::scheduling {

using jobs::JobRow;
using jobs::QueueConfig;
using jobs::Resources;
using jobs::RunNumber;
using jobs::StepRow;
using jobs::StepSpec;
using jobs::TaskRow;

namespace {

/// A step with tasks that can start now.
struct ReadyStep {
  const JobRow *Job_ = nullptr;
  const QueueConfig *Queue_ = nullptr;
  const StepSpec *Spec_ = nullptr;
  const StepRow *Row_ = nullptr;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  /// Whether a start that is planned now would arrive after the latest start.
  bool Late_ = false;
  /// Latest time at which the rest of the job can start and still meet its
  /// deadline.
  TimePoint LatestStart_{};
  /// Expected CPU time that the job still needs, in millicores times seconds.
  double RemainingCpuWork_ = 0;
};

/// Scheduling order. Long-running tasks come first, because their users are
/// affected by every second of downtime. Jobs that can still meet their
/// deadline follow, by least slack. Late jobs earn only a fraction of their
/// value and get the remaining capacity, those with the least remaining work
/// first, which completes most of them.
bool runsBefore(const ReadyStep &A, const ReadyStep &B) {
  const auto Rank = [](const ReadyStep &S) {
    return std::make_tuple(!S.Spec_->LongRunning_, S.Late_, S.Spec_->Filler_,
                           S.Queue_->Priority_);
  };
  if (Rank(A) != Rank(B))
    return Rank(A) < Rank(B);
  if (A.Late_)
    return A.RemainingCpuWork_ < B.RemainingCpuWork_;
  return A.LatestStart_ < B.LatestStart_;
}

bool stepReady(const jobs::OccurrenceRow &Occurrence, const StepSpec &Spec) {
  return std::all_of(Spec.After_.begin(), Spec.After_.end(),
                     [&](std::uint32_t Step) {
                       return Step < Occurrence.Steps_.size() &&
                              Occurrence.Steps_[Step].done();
                     });
}

/// Whether the step has a task to start. A gang starts only as a whole.
bool hasIdleTask(const StepRow &Row, const StepSpec &Spec) {
  if (Spec.Gang_)
    return Row.LiveCount_ == 0 && Row.DoneCount_ < Row.Tasks_.size();
  return Row.LiveCount_ + Row.DoneCount_ < Row.Tasks_.size();
}

/// Returns the expected critical path over the steps of the occurrence that are
/// not done.
Duration remainingCriticalPath(const JobRow &Job, std::uint32_t Occurrence,
                               const RunTimeEstimator &Estimator) {
  const auto &Steps = Job.Occurrences_[Occurrence].Steps_;
  absl::InlinedVector<Duration, 8> EndOf(Steps.size());
  Duration Longest{};
  for (std::size_t S = 0; S < Steps.size(); ++S) {
    if (Steps[S].done())
      continue;
    Duration Begin{};
    for (const std::uint32_t Before : Job.Spec_.Steps_[S].After_)
      Begin = std::max(Begin, EndOf[Before]);
    EndOf[S] = Begin +
               Estimator.expectedRunTime(Job.Spec_.Queue_, Job.Spec_.Steps_[S]);
    Longest = std::max(Longest, EndOf[S]);
  }
  return Longest;
}

/// Returns the expected CPU time of all tasks of the job that are not done, in
/// millicores times seconds.
double remainingCpuWork(const JobRow &Job, const RunTimeEstimator &Estimator) {
  double Sum = 0;
  for (const jobs::OccurrenceRow &Occurrence : Job.Occurrences_)
    for (std::size_t S = 0; S < Occurrence.Steps_.size(); ++S) {
      const StepSpec &Spec = Job.Spec_.Steps_[S];
      const StepRow &Row = Occurrence.Steps_[S];
      Sum += static_cast<double>(Row.Tasks_.size() - Row.DoneCount_) *
             static_cast<double>(Spec.PerTask_.MilliCpus_) * 1e-6 *
             static_cast<double>(
                 Estimator.expectedRunTime(Job.Spec_.Queue_, Spec).count());
    }
  return Sum;
}

/// Tracks free resources during a scheduling pass and assigns tasks to workers.
class Placement {
public:
  Placement(const CellTable &Table, const CellConfig &Config,
            const AdviceTable &Advised, std::vector<Candidate> Workers,
            TimePoint Now, std::size_t MaxStarts)
      : Table_(Table), Config_(Config), Advised_(Advised),
        Workers_(std::move(Workers)), Now_(Now), MaxStarts_(MaxStarts) {
    for (std::size_t I = 0; I < Workers_.size(); ++I)
      Pools_[Workers_[I].Worker_->Pool_].Members_.push_back(I);
  }

  /// Places the waiting tasks of a step. Returns the number of tasks for which
  /// no worker was found.
  std::size_t place(const ReadyStep &Step, Plan &Into) {
    if (Step.Queue_->Advice_)
      Into.AwaitingAdvice_.push_back(nameOf(Step));
    return Step.Spec_->Gang_ ? placeGang(Step, Into) : placeTasks(Step, Into);
  }

private:
  /// The workers of a pool, by index, and demands that were found to fit on
  /// none of them. Free resources only shrink during a pass, so neither does
  /// any larger demand, and a long backlog is not compared with each worker
  /// again.
  struct Pool {
    std::vector<std::size_t> Members_;
    absl::InlinedVector<Resources, 4> Unfit_;

    bool knownNotToFit(const Resources &Demand) const {
      return std::any_of(
          Unfit_.begin(), Unfit_.end(),
          [&](const Resources &Small) { return Small.fitsInto(Demand); });
    }
    void recordUnfit(const Resources &Demand) {
      Unfit_.erase(std::remove_if(Unfit_.begin(), Unfit_.end(),
                                  [&](const Resources &Large) {
                                    return Demand.fitsInto(Large);
                                  }),
                   Unfit_.end());
      Unfit_.push_back(Demand);
    }
  };

  static StepName nameOf(const ReadyStep &Step) {
    return {Step.Job_->Spec_.Id_, Step.Occurrence_, Step.Step_};
  }

  std::size_t placeTasks(const ReadyStep &Step, Plan &Into) {
    std::size_t Unplaced = 0;
    bool NoneFits = false;
    for (std::uint32_t I = 0; I < Step.Row_->Tasks_.size(); ++I) {
      if (Into.Starts_.size() >= MaxStarts_)
        return Unplaced;
      const TaskRow &Task = Step.Row_->Tasks_[I];
      if (!Task.idle() || Task.NotBefore_ > Now_)
        continue;
      // All tasks of a step have the same demand: if one does not fit, none
      // will.
      Candidate *Chosen = NoneFits ? nullptr : chooseWorker(Step);
      if (!Chosen) {
        NoneFits = true;
        ++Unplaced;
        continue;
      }
      assign(Step, I, Task.LastRun_.next(), *Chosen, Into);
    }
    return Unplaced;
  }

  /// Places all tasks of a gang under one run number, or none of them.
  std::size_t placeGang(const ReadyStep &Step, Plan &Into) {
    RunNumber Run;
    for (const TaskRow &Task : Step.Row_->Tasks_)
      Run = std::max(Run, Task.LastRun_);
    Plan Trial;
    const auto Saved = Workers_;
    const auto SavedUsage = PlannedUsage_;
    const auto SavedPerWorker = PlannedPerWorker_;
    const auto Count = static_cast<std::uint32_t>(Step.Row_->Tasks_.size());
    for (std::uint32_t I = 0; I < Count; ++I) {
      Candidate *Chosen = chooseWorker(Step);
      if (!Chosen) {
        Workers_ = Saved;
        // What did not fit beside the gang's first tasks may fit without them.
        for (auto &[Name, Members] : Pools_)
          Members.Unfit_.clear();
        PlannedUsage_ = SavedUsage;
        PlannedPerWorker_ = SavedPerWorker;
        return Count;
      }
      assign(Step, I, Run.next(), *Chosen, Trial);
    }
    Into.Starts_.insert(Into.Starts_.end(), Trial.Starts_.begin(),
                        Trial.Starts_.end());
    return 0;
  }

  void assign(const ReadyStep &Step, std::uint32_t Index, RunNumber Run,
              Candidate &On, Plan &Into) {
    On.Free_ -= Step.Spec_->demand();
    PlannedUsage_[Step.Job_->Spec_.Workspace_] += Step.Spec_->PerTask_;
    if (Step.Spec_->AntiAffinity_ > 0)
      ++PlannedPerWorker_[keyOf(Step, On)];
    Into.Starts_.push_back(
        {{{Step.Job_->Spec_.Id_, Step.Occurrence_, Step.Step_, Index}, Run},
         On.Worker_->Incarnation_});
  }

  /// Returns the best worker for one task, or nullptr if none is eligible.
  /// Prefers the lowest penalty, then a worker on the rack of the input data,
  /// then best fit, so that other workers stay empty and their machines can be
  /// moved to other pools.
  Candidate *chooseWorker(const ReadyStep &Step) {
    if (!withinWorkspaceLimit(Step))
      return nullptr;
    const auto Found = Pools_.find(Step.Queue_->Pool_);
    const Resources Demand = Step.Spec_->demand();
    if (Found == Pools_.end() || Found->second.knownNotToFit(Demand))
      return nullptr;
    Pool &Members = Found->second;
    Candidate *Best = nullptr;
    bool AnyFits = false;
    for (const std::size_t I : Members.Members_) {
      Candidate &Worker = Workers_[I];
      if (!Demand.fitsInto(Worker.Free_))
        continue;
      AnyFits = true;
      if (!isAllowed(Step, Worker))
        continue;
      if (!Best || isBetter(Step, Worker, *Best))
        Best = &Worker;
    }
    if (!AnyFits)
      Members.recordUnfit(Demand);
    return Best;
  }

  /// Whether the step may run on the worker, apart from its free resources.
  bool isAllowed(const ReadyStep &Step, const Candidate &Worker) const {
    const StepSpec &Spec = *Step.Spec_;
    if (!Spec.Requirement_.empty() &&
        !Worker.Worker_->hasLabel(Spec.Requirement_))
      return false;
    if (Step.Queue_->Advice_ &&
        !Advised_.ticket(nameOf(Step), Worker.Worker_->Incarnation_.Id_, Now_))
      return false;
    return Spec.AntiAffinity_ == 0 ||
           runsOnWorker(Step, Worker) < Spec.AntiAffinity_;
  }

  static bool isBetter(const ReadyStep &Step, const Candidate &A,
                       const Candidate &B) {
    const auto FarFromData = [&](const Candidate &C) {
      return !Step.Spec_->DataRack_.empty() &&
             !C.Worker_->hasLabel(Step.Spec_->DataRack_);
    };
    return std::make_tuple(A.FailureScore_, FarFromData(A),
                           A.Free_.MilliCpus_) <
           std::make_tuple(B.FailureScore_, FarFromData(B), B.Free_.MilliCpus_);
  }

  using StepOnWorker = std::tuple<jobs::JobId, std::uint32_t, std::uint32_t,
                                  jobs::WorkerIncarnation>;

  static StepOnWorker keyOf(const ReadyStep &Step, const Candidate &Worker) {
    return {Step.Job_->Spec_.Id_, Step.Occurrence_, Step.Step_,
            Worker.Worker_->Incarnation_};
  }

  /// Counts the tasks of the step that run, may run, or are planned on the
  /// worker.
  std::uint32_t runsOnWorker(const ReadyStep &Step,
                             const Candidate &Worker) const {
    std::uint32_t Count = 0;
    if (const auto Row = PlannedPerWorker_.find(keyOf(Step, Worker));
        Row != PlannedPerWorker_.end())
      Count = Row->second;
    for (const TaskRow &Task : Step.Row_->Tasks_)
      for (const jobs::LiveRun &Live : Task.Runs_)
        Count += Live.Worker_ == Worker.Worker_->Incarnation_;
    return Count;
  }

  bool withinWorkspaceLimit(const ReadyStep &Step) const {
    const auto Row = Config_.Workspaces_.find(Step.Job_->Spec_.Workspace_);
    if (Row == Config_.Workspaces_.end())
      return true;
    Resources Used = Table_.usedBy(Row->first);
    if (const auto InThisPass = PlannedUsage_.find(Row->first);
        InThisPass != PlannedUsage_.end())
      Used += InThisPass->second;
    Used += Step.Spec_->PerTask_;
    const Resources &Limit = Row->second.MaxAllowed_;
    return (Limit.MilliCpus_ == 0 || Used.MilliCpus_ <= Limit.MilliCpus_) &&
           (Limit.MemoryMb_ == 0 || Used.MemoryMb_ <= Limit.MemoryMb_) &&
           (Limit.Accelerators_ == 0 ||
            Used.Accelerators_ <= Limit.Accelerators_);
  }

  const CellTable &Table_;
  const CellConfig &Config_;
  const AdviceTable &Advised_;
  std::vector<Candidate> Workers_;
  TimePoint Now_;
  std::size_t MaxStarts_;
  absl::flat_hash_map<jobs::PoolName, Pool> Pools_;
  absl::flat_hash_map<jobs::WorkspaceName, Resources> PlannedUsage_;
  std::map<StepOnWorker, std::uint32_t> PlannedPerWorker_;
};

/// Returns the number of occurrences that are due by the wall clock.
std::uint32_t dueOccurrences(const jobs::JobSpec &Job, std::int64_t WallMs) {
  if (Job.Occurrences_ == 0)
    return 1;
  if (WallMs < Job.FirstDueMs_)
    return 0;
  const std::int64_t Interval = std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(Job.Interval_)
             .count());
  const std::int64_t Due = (WallMs - Job.FirstDueMs_) / Interval + 1;
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(Due, Job.Occurrences_));
}

} // namespace

TimePoint deadlineOf(const JobRow &Job, const QueueConfig &Queue,
                     const RunTimeEstimator &Estimator) {
  const auto Chain = criticalPath(Job.Spec_, Estimator);
  return Job.AcceptedAt_ + Queue.TargetLatency_ +
         Duration(static_cast<std::int64_t>(
             Queue.Stretch_ * static_cast<double>(Chain.count())));
}

Plan Scheduler::plan(std::vector<Candidate> Workers, PlanTime At,
                     std::size_t MaxStarts) const {
  std::vector<ReadyStep> Ready;
  for (const auto &[Order, Id] : Table_.open()) {
    const JobRow &Job = *Table_.find(Id);
    const QueueConfig *Queue = Config_.find(Job.Spec_.Queue_);
    if (!Queue)
      continue;
    ReadyStep Base;
    Base.Job_ = &Job;
    Base.Queue_ = Queue;
    bool JobPrepared = false;
    const std::uint32_t Due = dueOccurrences(Job.Spec_, At.WallMs_);
    for (std::uint32_t K = 0; K < Due; ++K)
      for (std::uint32_t S = 0; S < Job.Spec_.Steps_.size(); ++S) {
        const StepSpec &Spec = Job.Spec_.Steps_[S];
        const StepRow &Row = Job.Occurrences_[K].Steps_[S];
        if (!hasIdleTask(Row, Spec) || !stepReady(Job.Occurrences_[K], Spec))
          continue;
        if (!JobPrepared) {
          JobPrepared = true;
          Base.LatestStart_ = deadlineOf(Job, *Queue, Estimator_) -
                              remainingCriticalPath(Job, K, Estimator_);
          Base.Late_ = !Spec.LongRunning_ &&
                       At.Now_ + At.StartDelay_ > Base.LatestStart_;
          Base.RemainingCpuWork_ = remainingCpuWork(Job, Estimator_);
        }
        ReadyStep Step = Base;
        Step.Spec_ = &Spec;
        Step.Row_ = &Row;
        Step.Occurrence_ = K;
        Step.Step_ = S;
        Ready.push_back(Step);
      }
  }
  std::sort(Ready.begin(), Ready.end(), runsBefore);
  Placement Places(Table_, Config_, Advised_, std::move(Workers), At.Now_,
                   MaxStarts);
  Plan Result;
  for (const ReadyStep &Step : Ready) {
    if (Result.Starts_.size() >= MaxStarts)
      break;
    Result.UnplacedTasks_ += Places.place(Step, Result);
  }
  return Result;
}

} // namespace laburnumspread::scheduling
