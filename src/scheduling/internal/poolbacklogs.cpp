#include "scheduling/internal/poolbacklogs.h"

#include "scheduling/admission.h"
#include "scheduling/internal/dueoccurrences.h"

#include <absl/container/flat_hash_set.h>

namespace laburnumspread::scheduling {

using jobs::JobRow;
using jobs::QueueConfig;
using jobs::StepRow;
using jobs::StepSpec;

namespace {

/// Part of its expected run time that a running task has left, on average.
constexpr double RunningTaskLeft = 0.5;

/// Collects the backlogs. Looks up each queue only once: a configuration can
/// have thousands, and a pass sees all open jobs.
class BacklogCollector {
public:
  BacklogCollector(const ShortPools &Short, const CellConfig &Config,
                   const RunTimeEstimator &Estimator, PlanTime At)
      : Config_(Config), Estimator_(Estimator), At_(At) {
    for (const auto &[Name, Item] : Short)
      addPool(Name, Item);
  }

  /// Notes a step whose job can no longer be in time.
  void addStep(const ReadyStep &Step) {
    if (Step.Urgency_ == Urgency::Late)
      Late_.insert(Step.Job_);
  }

  void addJob(const JobRow &Job) {
    const Queue &Of = find(Job.Spec_.Queue_);
    if (!Of.Pool_)
      return;
    WorkspaceBacklog &Into = workspace(*Of.Pool_, Job.Spec_.Workspace_);
    WorkspaceBacklog::Part &Part = Into.Parts_[rankOf(Job.Spec_, *Of.Config_)];
    const ResourceTime Work = workLeft(Job);
    Part.All_ += Work;
    if (Late_.contains(&Job))
      return;
    if (Job.State_ == jobs::JobState::Pending)
      Part.Pending_.push_back(Work);
    else
      Part.Begun_ += Work;
  }

  /// Takes the resources of a planned start out of what is free.
  void addStart(const JobRow &Job, std::uint32_t Step) {
    if (const Queue &Of = find(Job.Spec_.Queue_); Of.Pool_)
      Of.Pool_->Free_ -= Job.Spec_.Steps_[Step].demand();
  }

  std::vector<PoolBacklog> take() && {
    std::vector<PoolBacklog> Result;
    for (auto &[Name, Item] : Pools_)
      Result.push_back(std::move(Item));
    return Result;
  }

private:
  struct Queue {
    const QueueConfig *Config_ = nullptr;
    PoolBacklog *Pool_ = nullptr;
  };

  void addPool(const jobs::PoolName &Name, const ShortPool &From) {
    PoolCapacity Capacity;
    Capacity.add(From.Finite_);
    for (const CapacityArrival &Arrival : From.Arrivals_)
      Capacity.addLater(Arrival.Capacity_, Arrival.At_);
    if (!Capacity.empty())
      Pools_[Name] = {Name, At_.Now_, std::move(Capacity), From.Free_, {}};
  }

  const Queue &find(const jobs::QueueName &Name) {
    const auto [Row, New] = Queues_.try_emplace(Name);
    if (!New)
      return Row->second;
    Queue &Found = Row->second;
    Found.Config_ = Config_.find(Name);
    const auto Pool =
        Found.Config_ ? Pools_.find(Found.Config_->Pool_) : Pools_.end();
    Found.Pool_ = Pool == Pools_.end() ? nullptr : &Pool->second;
    return Found;
  }

  WorkspaceBacklog &workspace(PoolBacklog &Of,
                              const jobs::WorkspaceName &Name) const {
    const auto [Row, New] = Of.Workspaces_.try_emplace(Name);
    if (New)
      Row->second = WorkspaceBacklog::of(Config_, Name);
    return Row->second;
  }

  /// Returns the work of the due occurrences that is not done.
  ResourceTime workLeft(const JobRow &Job) const {
    const jobs::OccurrenceTable &All = Job.Occurrences_;
    const std::uint32_t Due = dueOccurrences(Job.Spec_, At_.WallMs_);
    ResourceTime Sum =
        workLeft(Job, All.untouched()) * All.untouchedBefore(Due);
    for (const auto &[K, Occurrence] : All.touched())
      if (K < Due)
        Sum += workLeft(Job, Occurrence);
    return Sum;
  }

  ResourceTime workLeft(const JobRow &Job,
                        const jobs::OccurrenceRow &Occurrence) const {
    ResourceTime Sum;
    for (std::size_t S = 0; S < Occurrence.Steps_.size(); ++S) {
      const StepSpec &Spec = Job.Spec_.Steps_[S];
      const StepRow &Row = Occurrence.Steps_[S];
      if (!Spec.LongRunning_ && !Row.done())
        Sum += workLeft(Job.Spec_.Queue_, Spec, Row);
    }
    return Sum;
  }

  ResourceTime workLeft(const jobs::QueueName &Name, const StepSpec &Spec,
                        const StepRow &Row) const {
    const double Tasks = static_cast<double>(idleTasks(Row)) +
                         RunningTaskLeft * static_cast<double>(Row.LiveCount_);
    const auto Time =
        static_cast<double>(Estimator_.expectedRunTime(Name, Spec).count());
    const Resources Each = Spec.demand();
    return ResourceTime{static_cast<double>(Each.MilliCpus_),
                        static_cast<double>(Each.MemoryMb_)} *
           (Tasks * Time);
  }

  const CellConfig &Config_;
  const RunTimeEstimator &Estimator_;
  PlanTime At_;
  std::map<jobs::PoolName, PoolBacklog> Pools_;
  absl::flat_hash_map<jobs::QueueName, Queue> Queues_;
  absl::flat_hash_set<const JobRow *> Late_;
};

} // namespace

std::vector<PoolBacklog>
findBacklogs(const ShortPools &Short, const std::vector<ReadyStep> &Steps,
             const std::vector<jobs::RunIntended> &Starts,
             const CellTable &Table, const CellConfig &Config,
             const RunTimeEstimator &Estimator, PlanTime At) {
  if (Short.empty())
    return {};
  BacklogCollector Collector(Short, Config, Estimator, At);
  for (const ReadyStep &Step : Steps)
    Collector.addStep(Step);
  for (const auto &[Order, Id] : Table.open())
    Collector.addJob(*Table.find(Id));
  for (const jobs::RunIntended &Item : Starts)
    Collector.addStart(*Table.find(Item.Run_.Task_.Job_),
                       Item.Run_.Task_.Step_);
  return std::move(Collector).take();
}

} // namespace laburnumspread::scheduling
