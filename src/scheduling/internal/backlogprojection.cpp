#include "scheduling/internal/backlogprojection.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace laburnumspread::scheduling {

using jobs::QueueConfig;
using jobs::StepRow;
using jobs::StepSpec;

namespace {

/// Returns the given part of the resources.
Resources partOf(const Resources &Whole, double Part) {
  const auto Scaled = [Part](std::int64_t Amount) {
    return static_cast<std::int64_t>(Part * static_cast<double>(Amount));
  };
  return {Scaled(Whole.MilliCpus_), Scaled(Whole.MemoryMb_),
          Scaled(Whole.Accelerators_)};
}

ResourceTime operator-(const ResourceTime &A, const ResourceTime &B) {
  return {A.MilliCpus_ - B.MilliCpus_, A.MemoryMb_ - B.MemoryMb_};
}

/// Returns what a task of the step holds in \p Time.
ResourceTime workOf(const StepSpec &Spec, Duration Time) {
  const Resources Each = Spec.demand();
  const auto Micros = static_cast<double>(Time.count());
  return {Micros * static_cast<double>(Each.MilliCpus_),
          Micros * static_cast<double>(Each.MemoryMb_)};
}

/// Returns the workspace's upper limit; what has none is unlimited.
Resources limitOf(const jobs::WorkspaceConfig &Workspace) {
  const auto OrUnlimited = [](std::int64_t Limit) {
    return Limit == 0 ? std::numeric_limits<std::int64_t>::max() : Limit;
  };
  const Resources &Most = Workspace.MaxAllowed_;
  return {OrUnlimited(Most.MilliCpus_), OrUnlimited(Most.MemoryMb_),
          OrUnlimited(Most.Accelerators_)};
}

} // namespace

bool BacklogProjection::defer(std::vector<ReadyStep> &Steps,
                              const ShortPools &Short) {
  if (Short.empty())
    return false;
  addCapacity(Short);
  addRunningTasks();
  for (auto &[Of, Item] : Projections_)
    Item.WorkOfAll_ = Item.Work_;
  absl::flat_hash_set<const jobs::JobRow *> Seen;
  for (const ReadyStep &Step : Steps)
    if (Projection *Found =
            find(Step.Queue_->Pool_, Step.Job_->Spec_.Workspace_);
        Found && !Step.Spec_->LongRunning_ &&
        Step.Urgency_ == Urgency::InTime && Seen.insert(Step.Job_).second)
      addJob(*Found, Step);
  absl::flat_hash_set<const jobs::JobRow *> Deferred;
  for (const auto &[Of, Item] : Projections_)
    if (Item.ReachedByDeferral_ > Item.ReachedOtherwise_)
      Deferred.insert(Item.Deferred_.begin(), Item.Deferred_.end());
  for (ReadyStep &Step : Steps)
    if (Step.Urgency_ == Urgency::InTime && Deferred.contains(Step.Job_))
      Step.Urgency_ = Urgency::Deferred;
  return !Deferred.empty();
}

BacklogProjection::Projection *
BacklogProjection::find(const jobs::PoolName &Pool,
                        const jobs::WorkspaceName &Workspace) {
  auto Found = Projections_.find({Pool, Workspace});
  if (Found == Projections_.end())
    Found = Projections_.find({Pool, AllWorkspaces});
  return Found == Projections_.end() ? nullptr : &Found->second;
}

void BacklogProjection::addCapacity(const ShortPools &Short) {
  for (const auto &[Name, Pool] : Short) {
    if (!Pool.Divided_) {
      addCapacity(Pool, 1, Projections_[{Name, AllWorkspaces}]);
      continue;
    }
    for (const auto &[Workspace, Ready] : Pool.Ready_)
      addCapacity(Pool, Pool.partFor(weightOf(Config_, Workspace)),
                  Projections_[{Name, Workspace}]);
  }
}

void BacklogProjection::addCapacity(const ShortPool &Pool, double Part,
                                    Projection &Into) {
  Into.Capacity_.add(partOf(Pool.Finite_, Part));
  for (const CapacityArrival &Arrival : Pool.Arrivals_)
    Into.Capacity_.addLater(partOf(Arrival.Capacity_, Part), Arrival.At_);
}

void BacklogProjection::addRunningTasks() {
  for (const auto &[Order, Id] : Table_.open()) {
    const jobs::JobRow &Job = *Table_.find(Id);
    const QueueConfig *Queue =
        Job.LiveRuns_ == 0 ? nullptr : Config_.find(Job.Spec_.Queue_);
    Projection *Into =
        Queue ? find(Queue->Pool_, Job.Spec_.Workspace_) : nullptr;
    if (!Into)
      continue;
    for (const auto &[K, Occurrence] : Job.Occurrences_.touched())
      for (std::size_t S = 0; S < Occurrence.Steps_.size(); ++S) {
        const StepSpec &Spec = Job.Spec_.Steps_[S];
        const StepRow &Row = Occurrence.Steps_[S];
        if (Spec.LongRunning_ || Row.LiveCount_ == 0)
          continue;
        const Duration Expected =
            Estimator_.expectedRunTime(Job.Spec_.Queue_, Spec);
        for (const jobs::TaskRow &Task : Row.Tasks_)
          if (!Task.Runs_.empty() && !Task.Done_)
            Into->Work_ += workOf(
                Spec, std::max(Duration::zero(), Task.Runs_.front().StartedAt_ +
                                                     Expected - At_.Now_));
      }
  }
}

const jobs::JobRow *BacklogProjection::Projection::deferLargest() {
  const auto Largest = std::prev(Deferrable_.end());
  const JobWork Chosen = Largest->second;
  Deferrable_.erase(Largest);
  Work_ = Work_ - Chosen.Work_;
  Deferred_.push_back(Chosen.Job_);
  return Chosen.Job_;
}

void BacklogProjection::addJob(Projection &Into, const ReadyStep &Step) {
  if (Into.Capacity_.empty() || heldByLimit(Into, Step))
    return;
  // A job is not deferred for one of lower priority.
  const std::pair Priority(Step.Spec_->Filler_, Step.Queue_->Priority_);
  if (Into.Priority_ != Priority)
    Into.Deferrable_.clear();
  Into.Priority_ = Priority;
  const JobWork Own = waitingWork(*Step.Job_);
  const TimePoint LatestStart = latestStart(Step);
  const auto ReachedInTime = [&](const ResourceTime &Before) {
    return Into.Capacity_.doneAt(Before, At_.Now_) <= LatestStart;
  };
  Into.ReachedOtherwise_ += ReachedInTime(Into.WorkOfAll_);
  Into.WorkOfAll_ = Into.WorkOfAll_ + Own.Work_;
  Into.Work_ = Into.Work_ + Own.Work_;
  if (Step.Job_->State_ == jobs::JobState::Pending)
    Into.Deferrable_.emplace(Own.Work_.MilliCpus_, Own);
  while (!ReachedInTime(Into.Work_ - Own.Work_)) {
    if (Into.Deferrable_.empty() || Into.deferLargest() == Step.Job_)
      return;
    // The deferred job was one of those reached in time.
    --Into.ReachedByDeferral_;
  }
  ++Into.ReachedByDeferral_;
}

bool BacklogProjection::heldByLimit(Projection &Into,
                                    const ReadyStep &Step) const {
  const auto Row = Config_.Workspaces_.find(Step.Job_->Spec_.Workspace_);
  if (Row == Config_.Workspaces_.end())
    return false;
  Resources &Waiting = Into.Waiting_[Row->first];
  const Resources With =
      Waiting + times(Step.Spec_->PerTask_, idleTasks(*Step.Row_));
  if (!(Table_.usedBy(Row->first) + With).fitsInto(limitOf(Row->second)))
    return true;
  Waiting = With;
  return false;
}

BacklogProjection::JobWork
BacklogProjection::waitingWork(const jobs::JobRow &Job) const {
  const jobs::OccurrenceTable &All = Job.Occurrences_;
  JobWork Sum{&Job, waitingWork(Job, All.untouched()) * All.untouchedCount()};
  for (const auto &[K, Occurrence] : All.touched())
    Sum.Work_ = Sum.Work_ + waitingWork(Job, Occurrence);
  return Sum;
}

ResourceTime
BacklogProjection::waitingWork(const jobs::JobRow &Job,
                               const jobs::OccurrenceRow &Occurrence) const {
  ResourceTime Sum;
  for (std::size_t S = 0; S < Occurrence.Steps_.size(); ++S) {
    const StepSpec &Spec = Job.Spec_.Steps_[S];
    const std::size_t Idle = idleTasks(Occurrence.Steps_[S]);
    if (Spec.LongRunning_ || Idle == 0)
      continue;
    const Duration Expected =
        Estimator_.expectedRunTime(Job.Spec_.Queue_, Spec);
    Sum = Sum + workOf(Spec, Expected * static_cast<std::int64_t>(Idle));
  }
  return Sum;
}

TimePoint BacklogProjection::latestStart(const ReadyStep &Step) const {
  return Step.LatestStart_ - At_.StartDelay_ +
         Estimator_.deviation(Step.Job_->Spec_.Queue_, *Step.Spec_) / 2;
}

} // namespace laburnumspread::scheduling
