#include "cell/pooldemand.h"

#include "scheduling/scheduler.h"

#include <algorithm>

namespace laburnumspread::cell {

namespace {

bool isReady(const jobs::OccurrenceRow &Occurrence,
             const jobs::StepSpec &Spec) {
  return std::all_of(
      Spec.After_.begin(), Spec.After_.end(),
      [&](std::uint32_t Before) { return Occurrence.Steps_[Before].done(); });
}

/// Returns the resources of the tasks that are not done, in \p Count steps that
/// are alike.
Resources openResources(const jobs::StepRow &Row, const jobs::StepSpec &Spec,
                        std::int64_t Count) {
  const auto Tasks =
      Count * static_cast<std::int64_t>(Row.Tasks_.size() - Row.DoneCount_);
  return {Tasks * Spec.PerTask_.MilliCpus_, Tasks * Spec.PerTask_.MemoryMb_,
          Tasks * Spec.PerTask_.Accelerators_};
}

bool hasWaitingTask(const jobs::StepRow &Row, TimePoint Now) {
  return std::any_of(Row.Tasks_.begin(), Row.Tasks_.end(),
                     [&](const jobs::TaskRow &Task) {
                       return Task.idle() && Task.NotBefore_ <= Now;
                     });
}

/// Returns the smallest size into which each of the two fits on its own.
Resources componentMax(const Resources &A, const Resources &B) {
  return {std::max(A.MilliCpus_, B.MilliCpus_),
          std::max(A.MemoryMb_, B.MemoryMb_),
          std::max(A.Accelerators_, B.Accelerators_)};
}

void addLongRunning(const jobs::StepRow &Row, const jobs::StepSpec &Spec,
                    std::int64_t Count, TimePoint Now,
                    capacity::PoolDemand &Into) {
  Into.LongRunning_ += openResources(Row, Spec, Count);
  if (hasWaitingTask(Row, Now))
    Into.WaitingLongRunning_ =
        componentMax(Into.WaitingLongRunning_, Spec.PerTask_);
}

void addLate(const jobs::StepRow &Row, const jobs::StepSpec &Spec,
             TimePoint Now, capacity::PoolDemand &Into) {
  std::optional<Resources> &Known = Into.SmallestLateTask_;
  const Resources Task = Spec.demand();
  if (hasWaitingTask(Row, Now) &&
      (!Known || Task.MilliCpus_ < Known->MilliCpus_))
    Known = Task;
}

/// Adds the steps of \p Count occurrences that are alike.
void addSteps(const jobs::JobRow &Job, const jobs::OccurrenceRow &Occurrence,
              std::int64_t Count, bool Late, TimePoint Now,
              capacity::PoolDemand &Into) {
  for (std::size_t S = 0; S < Occurrence.Steps_.size(); ++S) {
    const jobs::StepSpec &Spec = Job.Spec_.Steps_[S];
    const jobs::StepRow &Row = Occurrence.Steps_[S];
    if (Spec.Filler_ || !isReady(Occurrence, Spec))
      continue;
    if (Spec.LongRunning_)
      addLongRunning(Row, Spec, Count, Now, Into);
    else if (!Late)
      Into.FeasibleFinite_ += openResources(Row, Spec, Count);
    else
      addLate(Row, Spec, Now, Into);
  }
}

void addSteps(const jobs::JobRow &Job, bool Late, TimePoint Now,
              capacity::PoolDemand &Into) {
  const jobs::OccurrenceTable &All = Job.Occurrences_;
  if (const std::uint32_t Untouched = All.untouchedCount(); Untouched > 0)
    addSteps(Job, All.untouched(), Untouched, Late, Now, Into);
  for (const auto &[K, Occurrence] : All.touched())
    addSteps(Job, Occurrence, 1, Late, Now, Into);
}

/// Adds the job's work to the current or the previous window, by its age.
/// Cancelled jobs need no resources.
void addArrivals(const jobs::JobRow &Job,
                 const scheduling::RunTimeEstimator &Estimates, TimePoint Now,
                 capacity::PoolDemand &Into) {
  const Duration Age = Now - Job.AcceptedAt_;
  if (Age >= 2 * ArrivalWindow || Job.State_ == jobs::JobState::Cancelled)
    return;
  capacity::Arrivals &Of =
      Age < ArrivalWindow ? Into.RecentArrivals_ : Into.PriorArrivals_;
  const scheduling::ResourceTime Work =
      scheduling::totalWork(Job.Spec_, Estimates);
  const auto Window = static_cast<double>(ArrivalWindow.count());
  Of.MilliCpus_.add(Work.MilliCpus_ / Window);
  Of.MemoryMb_.add(Work.MemoryMb_ / Window);
}

} // namespace

std::map<PoolName, capacity::PoolDemand>
computePoolDemand(const jobs::CellTable &Table, const CellConfig &Config,
                  const scheduling::RunTimeEstimator &Estimates,
                  TimePoint Now) {
  std::map<PoolName, capacity::PoolDemand> Result;
  for (const auto &[Order, Id] : Table.open()) {
    const jobs::JobRow &Job = *Table.find(Id);
    const QueueConfig *Queue = Config.find(Job.Spec_.Queue_);
    if (!Queue)
      continue;
    capacity::PoolDemand &Into = Result[Queue->Pool_];
    addArrivals(Job, Estimates, Now, Into);
    addSteps(Job, Now > scheduling::deadlineOf(Job, *Queue, Estimates), Now,
             Into);
  }
  // Short jobs end within the arrival window, so ended jobs count too.
  for (const jobs::JobId &Id : Table.endedSince(Now - 2 * ArrivalWindow))
    if (const jobs::JobRow *Job = Table.find(Id))
      if (const QueueConfig *Queue = Config.find(Job->Spec_.Queue_))
        addArrivals(*Job, Estimates, Now, Result[Queue->Pool_]);
  return Result;
}

} // namespace laburnumspread::cell
