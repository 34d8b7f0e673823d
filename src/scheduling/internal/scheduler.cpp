#include "scheduling/internal/backlogprojection.h"
#include "scheduling/internal/dueoccurrences.h"
#include "scheduling/internal/poolbacklogs.h"
#include "scheduling/internal/shareorder.h"
#include "scheduling/internal/startprojection.h"

#include <algorithm>
#include <tuple>

#include <absl/container/inlined_vector.h>

namespace laburnumspread::scheduling {

using jobs::JobRow;
using jobs::QueueConfig;
using jobs::StepRow;
using jobs::StepSpec;

namespace {

/// Scheduling order. Long-running tasks come first, because their users are
/// affected by every second of downtime. Jobs that can still meet their
/// deadline follow, by least slack; those that are deferred come next,
/// and of them the one that may still be reached in time is the one with the
/// most slack. Late jobs earn only a fraction of their value and get the
/// remaining capacity, those with the least remaining work first, which
/// completes most of them.
bool runsBefore(const ReadyStep &A, const ReadyStep &B) {
  const auto Rank = [](const ReadyStep &S) {
    return std::make_tuple(!S.Spec_->LongRunning_, S.Urgency_, S.Spec_->Filler_,
                           S.Queue_->Priority_);
  };
  if (Rank(A) != Rank(B))
    return Rank(A) < Rank(B);
  if (A.Urgency_ == Urgency::Late)
    return A.RemainingCpuWork_ < B.RemainingCpuWork_;
  if (A.Urgency_ == Urgency::Deferred)
    return A.LatestStart_ > B.LatestStart_;
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
  const auto &Steps = Job.Occurrences_.find(Occurrence)->Steps_;
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

/// Returns the expected CPU time of the tasks of an occurrence that are not
/// done, in millicores times seconds.
double remainingCpuWork(const JobRow &Job,
                        const jobs::OccurrenceRow &Occurrence,
                        const RunTimeEstimator &Estimator) {
  double Sum = 0;
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

/// The same for all occurrences of the job.
double remainingCpuWork(const JobRow &Job, const RunTimeEstimator &Estimator) {
  const jobs::OccurrenceTable &All = Job.Occurrences_;
  double Sum =
      All.untouchedCount() * remainingCpuWork(Job, All.untouched(), Estimator);
  for (const auto &[K, Occurrence] : All.touched())
    Sum += remainingCpuWork(Job, Occurrence, Estimator);
  return Sum;
}

} // namespace

Duration allowanceOf(const jobs::JobSpec &Job, const QueueConfig &Queue,
                     const RunTimeEstimator &Estimator) {
  const auto Chain = static_cast<double>(criticalPath(Job, Estimator).count());
  return Queue.TargetLatency_ +
         Duration(static_cast<std::int64_t>(Queue.Stretch_ * Chain));
}

TimePoint deadlineOf(const JobRow &Job, const QueueConfig &Queue,
                     const RunTimeEstimator &Estimator) {
  return Job.AcceptedAt_ + allowanceOf(Job.Spec_, Queue, Estimator);
}

std::vector<ReadyStep> Scheduler::findReadySteps(PlanTime At,
                                                 WaitCounts &Waiting) const {
  std::vector<ReadyStep> Ready;
  for (const auto &[Order, Id] : Table_.open()) {
    const JobRow &Job = *Table_.find(Id);
    const QueueConfig *Queue = Config_.find(Job.Spec_.Queue_);
    ReadyStep Base;
    Base.Job_ = &Job;
    Base.Queue_ = Queue;
    bool JobPrepared = false;
    for (const std::uint32_t K : openDueOccurrences(Job, At.WallMs_))
      for (std::uint32_t S = 0; S < Job.Spec_.Steps_.size(); ++S) {
        const StepSpec &Spec = Job.Spec_.Steps_[S];
        const jobs::OccurrenceRow &Occurrence = *Job.Occurrences_.find(K);
        const StepRow &Row = Occurrence.Steps_[S];
        if (!hasIdleTask(Row, Spec) || !stepReady(Occurrence, Spec))
          continue;
        if (!Queue) {
          Waiting.add(WaitReason::UnknownQueue, idleTasks(Row));
          continue;
        }
        if (!JobPrepared) {
          JobPrepared = true;
          Base.LatestStart_ = deadlineOf(Job, *Queue, Estimator_) -
                              remainingCriticalPath(Job, K, Estimator_);
          Base.Urgency_ =
              !Spec.LongRunning_ && At.Now_ + At.StartDelay_ > Base.LatestStart_
                  ? Urgency::Late
                  : Urgency::InTime;
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
  return Ready;
}

Plan Scheduler::plan(std::vector<Candidate> Workers, PlanTime At,
                     std::size_t MaxStarts,
                     const std::vector<CapacityArrival> &Arrivals) const {
  Plan Result;
  std::vector<ReadyStep> Ready = findReadySteps(At, Result.Waiting_);
  std::sort(Ready.begin(), Ready.end(), runsBefore);
  const ShortPools Short =
      findShortPools(Ready, Workers, Arrivals, Table_, Config_);
  if (BacklogProjection(Table_, Config_, Estimator_, At).defer(Ready, Short))
    std::sort(Ready.begin(), Ready.end(), runsBefore);
  if (At.StartsPerSecond_ &&
      StartProjection(At, *At.StartsPerSecond_).defer(Ready))
    std::sort(Ready.begin(), Ready.end(), runsBefore);
  Placement Places(Table_, Config_, Advised_, std::move(Workers), At.Now_,
                   MaxStarts);
  const ShortPools Shared = Enabled_.WorkspaceShares_ ? Short : ShortPools();
  ShareOrder Order(Ready, Shared, Config_, Shares_);
  Result.Divisions_ = Order.divisions();
  std::size_t NotOffered = 0;
  for (const ReadyStep &Step : Ready) {
    NotOffered += idleTasks(*Step.Row_);
    if (!Step.Spec_->LongRunning_)
      Result.ReadyTasks_ += idleTasks(*Step.Row_);
  }
  while (const ReadyStep *Step = Order.next()) {
    if (Result.Starts_.size() >= MaxStarts)
      break;
    NotOffered -= idleTasks(*Step->Row_);
    const std::size_t Before = Result.Starts_.size();
    const std::size_t Unplaced = Places.place(*Step, Result);
    Result.UnplacedTasks_ += Unplaced;
    if (Unplaced > 0)
      Result.FullPools_.insert(Step->Queue_->Pool_);
    Order.charge(*Step, Result.Starts_.size() - Before);
  }
  Result.Waiting_.add(WaitReason::StartLimit, NotOffered);
  if (Enabled_.Admission_)
    Result.Backlogs_ = findBacklogs(Short, Ready, Result.Starts_, Table_,
                                    Config_, Estimator_, At);
  return Result;
}

} // namespace laburnumspread::scheduling
