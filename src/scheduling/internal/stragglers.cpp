#include "scheduling/stragglers.h"

#include "scheduling/internal/placement.h"
#include "scheduling/workspaceshares.h"

#include <algorithm>
#include <tuple>

namespace laburnumspread::scheduling {

using jobs::LiveRun;
using jobs::StepSpec;

struct Stragglers::Straggler {
  ReadyStep Step_;
  std::uint32_t Index_ = 0;
  const LiveRun *Run_ = nullptr;
  const WorkerRecord *Worker_ = nullptr;
  Duration Expected_{};
  Duration Running_{};

  jobs::TaskName task() const {
    return {Step_.Job_->Spec_.Id_, Step_.Occurrence_, Step_.Step_, Index_};
  }
};

namespace {

/// Whether tasks of the step may get copies. Those of a tightly coupled step
/// are slow because of each other, and those of a filler because of the pace
/// that they are given.
bool isEligible(const StepSpec &Step) {
  return Step.maxLiveRuns() > 1 && !Step.TightlyCoupled_ && !Step.Filler_;
}

/// What copies hold in each pool, compared with its capacity.
class CopyBudget {
public:
  CopyBudget(const CellTable &Table, const CellConfig &Config,
             const std::vector<Candidate> &Workers) {
    for (const Candidate &Item : Workers)
      Pools_[Item.Worker_->Pool_].Capacity_ += Item.Worker_->Capacity_;
    for (const jobs::RunName &Run : Table.copies()) {
      const jobs::JobRow *Job = Table.find(Run.Task_.Job_);
      if (const jobs::QueueConfig *Queue = Config.find(Job->Spec_.Queue_))
        add(Queue->Pool_, *Table.specOf(Run.Task_));
    }
  }

  bool allows(const jobs::PoolName &Pool, const StepSpec &Step) {
    const Row &Known = Pools_[Pool];
    return dominantShare(Known.Held_ + Step.demand(), Known.Capacity_) <=
           Stragglers::MaxPoolShare;
  }

  void add(const jobs::PoolName &Pool, const StepSpec &Step) {
    Pools_[Pool].Held_ += Step.demand();
  }

private:
  struct Row {
    jobs::Resources Capacity_;
    jobs::Resources Held_;
  };

  absl::flat_hash_map<jobs::PoolName, Row> Pools_;
};

} // namespace

std::vector<Copy> Stragglers::planCopies(const std::vector<Candidate> &Workers,
                                         const Plan &Planned,
                                         const ImpairedWorkers &Impaired,
                                         TimePoint Now,
                                         std::size_t MaxCopies) const {
  std::vector<Copy> Result;
  if (!Enabled_.Copies_ || MaxCopies == 0 || Impaired.empty())
    return Result;
  const std::vector<Straggler> Found = findStragglers(Planned, Impaired, Now);
  if (Found.empty())
    return Result;
  CopyBudget Budget(Table_, Config_, Workers);
  Placement Places(Table_, Config_, Advised_, Workers, Now, MaxCopies);
  Places.reserve(Planned);
  const auto IsImpaired = [&](const WorkerRecord &Worker) {
    return Impaired.contains(Worker.Incarnation_);
  };
  for (const Straggler &Item : Found) {
    const StepSpec &Spec = *Item.Step_.Spec_;
    const jobs::PoolName &Pool = Item.Step_.Queue_->Pool_;
    if (Result.size() >= MaxCopies)
      break;
    if (!Budget.allows(Pool, Spec))
      continue;
    const auto Start =
        Places.placeCopy(Item.Step_, Item.Index_, *Item.Worker_, IsImpaired);
    if (!Start)
      continue;
    Budget.add(Pool, Spec);
    Result.push_back({*Start,
                      {Item.task(), Item.Run_->Run_},
                      Item.Expected_,
                      Item.Running_});
  }
  return Result;
}

std::vector<Stragglers::Straggler>
Stragglers::findStragglers(const Plan &Planned, const ImpairedWorkers &Impaired,
                           TimePoint Now) const {
  std::vector<Straggler> Result;
  for (const auto &[Order, Id] : Table_.open()) {
    ReadyStep Step;
    Step.Job_ = Table_.find(Id);
    if (Step.Job_->LiveRuns_ == 0)
      continue;
    Step.Queue_ = Config_.find(Step.Job_->Spec_.Queue_);
    if (!Step.Queue_ || Planned.FullPools_.contains(Step.Queue_->Pool_))
      continue;
    for (const auto &[K, Occurrence] : Step.Job_->Occurrences_.touched())
      for (std::uint32_t S = 0; S < Step.Job_->Spec_.Steps_.size(); ++S) {
        Step.Spec_ = &Step.Job_->Spec_.Steps_[S];
        Step.Row_ = &Occurrence.Steps_[S];
        Step.Occurrence_ = K;
        Step.Step_ = S;
        if (isEligible(*Step.Spec_) && Step.Row_->LiveCount_ > 0)
          addStragglersOf(Step, Impaired, Now, Result);
      }
  }
  // The one that is the longest past its expected end goes first.
  std::stable_sort(Result.begin(), Result.end(),
                   [](const Straggler &A, const Straggler &B) {
                     return A.Running_ - A.Expected_ > B.Running_ - B.Expected_;
                   });
  return Result;
}

void Stragglers::addStragglersOf(const ReadyStep &Step,
                                 const ImpairedWorkers &Impaired, TimePoint Now,
                                 std::vector<Straggler> &Into) const {
  const jobs::QueueName &Queue = Step.Queue_->Name_;
  if (!Estimator_.knowsRunTimes(Queue))
    return;
  const Duration Usual = usualRunTime(Queue, *Step.Spec_);
  for (std::uint32_t I = 0; I < Step.Row_->Tasks_.size(); ++I) {
    const jobs::TaskRow &Task = Step.Row_->Tasks_[I];
    if (Task.Done_ || Task.Runs_.size() != 1 || Task.Runs_.front().Stopping_)
      continue;
    const LiveRun &Run = Task.Runs_.front();
    const Duration Running = Now - Run.AcceptedAt_.value_or(Run.StartedAt_);
    const auto Worker = Impaired.find(Run.Worker_);
    if (Running > Usual && Worker != Impaired.end())
      Into.push_back({Step, I, &Run, Worker->second,
                      Estimator_.expectedRunTime(Queue, *Step.Spec_), Running});
  }
}

/// Returns the longest time that tasks of the step are likely to take.
Duration Stragglers::usualRunTime(const jobs::QueueName &Queue,
                                  const StepSpec &Step) const {
  const Duration Expected = Estimator_.expectedRunTime(Queue, Step);
  const Duration ByFactor(static_cast<std::int64_t>(
      UnusualFactor * static_cast<double>(Expected.count())));
  return std::max(ByFactor, Expected + UnusualDeviations *
                                           Estimator_.deviation(Queue, Step));
}

} // namespace laburnumspread::scheduling
