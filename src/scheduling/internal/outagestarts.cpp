#include "scheduling/outagestarts.h"

#include <algorithm>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace laburnumspread::scheduling {

using jobs::JobRow;
using jobs::Resources;
using jobs::RunIntended;
using jobs::StepRow;
using jobs::StepSpec;
using jobs::TaskRow;
using jobs::WorkerIncarnation;
using jobs::WorkspaceName;

namespace {

/// Resources that a workspace's unsent ends have freed on each worker and that
/// its unsent starts have not taken.
class FreedResources {
public:
  FreedResources(const CellTable &Table, const UnsentEvents &Unsent) {
    for (const UnsentEnd &End : Unsent.Ends_)
      if (const JobRow *Job = Table.find(End.Run_.Task_.Job_))
        Freed_[{End.Worker_, Job->Spec_.Workspace_}] +=
            Table.specOf(End.Run_.Task_)->demand();
    for (const RunIntended &Start : Unsent.Starts_)
      if (const JobRow *Job = Table.find(Start.Run_.Task_.Job_))
        Freed_[{Start.Worker_, Job->Spec_.Workspace_}] -=
            Table.specOf(Start.Run_.Task_)->demand();
  }

  bool fits(const WorkerIncarnation &Worker, const WorkspaceName &Workspace,
            const Resources &Demand) const {
    const auto Row = Freed_.find({Worker, Workspace});
    return Row != Freed_.end() && Demand.fitsInto(Row->second);
  }

  void take(const WorkerIncarnation &Worker, const WorkspaceName &Workspace,
            const Resources &Demand) {
    Freed_[{Worker, Workspace}] -= Demand;
  }

private:
  absl::flat_hash_map<std::pair<WorkerIncarnation, WorkspaceName>, Resources>
      Freed_;
};

/// Whether a step is done only after each of its workers has reported.
bool needsAllReports(const StepSpec &Spec) {
  return !Spec.Gang_ && !Spec.Speculative_ && !Spec.LongRunning_;
}

bool mayRunInPlace(const StepSpec &Spec) {
  return !Spec.Gang_ && !Spec.LongRunning_ && !Spec.TightlyCoupled_;
}

bool suits(const StepSpec &Spec, const workers::WorkerRecord &Worker) {
  return (Spec.Requirement_.empty() || Worker.hasLabel(Spec.Requirement_)) &&
         (Spec.DataRack_.empty() || Worker.hasLabel(Spec.DataRack_));
}

bool ready(const jobs::OccurrenceRow &Occurrence, const StepSpec &Spec) {
  return std::all_of(
      Spec.After_.begin(), Spec.After_.end(),
      [&](std::uint32_t Before) { return Occurrence.Steps_[Before].done(); });
}

std::uint32_t runsOn(const StepRow &Step, const WorkerIncarnation &Worker) {
  std::uint32_t Count = 0;
  for (const TaskRow &Task : Step.Tasks_)
    for (const jobs::LiveRun &Live : Task.Runs_)
      Count += Live.Worker_ == Worker;
  return Count;
}

/// Plans tasks of the steps that depend on steps of runs that have just ended,
/// each on the worker of the ended run.
class OutageStartPlanner {
public:
  OutageStartPlanner(const CellTable &Table, const CellConfig &Config,
                     const UnsentEvents &Unsent,
                     const std::vector<Candidate> &Workers)
      : Table_(Table), Config_(Config), Freed_(Table, Unsent) {
    for (const Candidate &Item : Workers)
      Workers_.emplace(Item.Worker_->Incarnation_, Item);
  }

  /// Starts what fits in the place of the ended run and behind its step.
  void continueAfter(const UnsentEnd &End) {
    const jobs::TaskName &Ended = End.Run_.Task_;
    const JobRow *Job = Table_.find(Ended.Job_);
    const auto Worker = Workers_.find(End.Worker_);
    if (!Job || Job->ended() || Worker == Workers_.end() ||
        !needsAllReports(Job->Spec_.Steps_[Ended.Step_]))
      return;
    const jobs::QueueConfig *Queue = Config_.find(Job->Spec_.Queue_);
    if (!Queue || Queue->Advice_)
      return;
    const jobs::OccurrenceRow *Occurrence =
        Job->Occurrences_.find(Ended.Occurrence_);
    if (!Occurrence)
      return;
    for (std::uint32_t S = Ended.Step_ + 1; S < Job->Spec_.Steps_.size(); ++S) {
      const StepSpec &Spec = Job->Spec_.Steps_[S];
      const bool Follows = std::find(Spec.After_.begin(), Spec.After_.end(),
                                     Ended.Step_) != Spec.After_.end();
      if (Follows && mayRunInPlace(Spec) && ready(*Occurrence, Spec) &&
          suits(Spec, *Worker->second.Worker_))
        startTasks(*Job, Ended.Occurrence_, S, Worker->second);
    }
  }

  std::vector<RunIntended> takeStarts() { return std::move(Starts_); }

private:
  void startTasks(const JobRow &Job, std::uint32_t Occurrence,
                  std::uint32_t Step, Candidate &On) {
    const StepSpec &Spec = Job.Spec_.Steps_[Step];
    const StepRow &Row = Job.Occurrences_.find(Occurrence)->Steps_[Step];
    const WorkerIncarnation &Worker = On.Worker_->Incarnation_;
    std::uint32_t Here = runsOn(Row, Worker) + plannedOn(Worker, Job, Step);
    for (std::uint32_t I = 0; I < Row.Tasks_.size(); ++I) {
      const TaskRow &Task = Row.Tasks_[I];
      const jobs::TaskName Name{Job.Spec_.Id_, Occurrence, Step, I};
      if (!Task.idle() || Task.LastRun_.value() > 0 || Planned_.contains(Name))
        continue;
      if ((Spec.AntiAffinity_ > 0 && Here >= Spec.AntiAffinity_) ||
          !On.fits(Spec.demand()) ||
          !Freed_.fits(Worker, Job.Spec_.Workspace_, Spec.demand()))
        return;
      ++Here;
      On.take(Spec.demand());
      Freed_.take(Worker, Job.Spec_.Workspace_, Spec.demand());
      Planned_.insert(Name);
      Starts_.push_back({{Name, Task.LastRun_.next()}, Worker});
    }
  }

  std::uint32_t plannedOn(const WorkerIncarnation &Worker, const JobRow &Job,
                          std::uint32_t Step) const {
    return static_cast<std::uint32_t>(std::count_if(
        Starts_.begin(), Starts_.end(), [&](const RunIntended &Item) {
          return Item.Worker_ == Worker &&
                 Item.Run_.Task_.Job_ == Job.Spec_.Id_ &&
                 Item.Run_.Task_.Step_ == Step;
        }));
  }

  const CellTable &Table_;
  const CellConfig &Config_;
  FreedResources Freed_;
  absl::flat_hash_map<WorkerIncarnation, Candidate> Workers_;
  absl::flat_hash_set<jobs::TaskName> Planned_;
  std::vector<RunIntended> Starts_;
};

} // namespace

std::vector<RunIntended>
planOutageStarts(const CellTable &Table, const CellConfig &Config,
                 const UnsentEvents &Unsent,
                 const std::vector<Candidate> &Workers) {
  OutageStartPlanner Plan(Table, Config, Unsent, Workers);
  for (const UnsentEnd &End : Unsent.Ends_)
    Plan.continueAfter(End);
  return Plan.takeStarts();
}

} // namespace laburnumspread::scheduling
