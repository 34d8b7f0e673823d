#include "cell/pooldemand.h"

#include "scheduling/scheduler.h"

#include <algorithm>

namespace laburnumspread::cell {

namespace {

bool ready(const jobs::OccurrenceRow &Occurrence, const jobs::StepSpec &Spec) {
  return std::all_of(
      Spec.After_.begin(), Spec.After_.end(),
      [&](std::uint32_t Before) { return Occurrence.Steps_[Before].done(); });
}

Resources openOf(const jobs::StepRow &Row, const jobs::StepSpec &Spec) {
  const auto Tasks =
      static_cast<std::int64_t>(Row.Tasks_.size() - Row.DoneCount_);
  return {Tasks * Spec.PerTask_.MilliCpus_, Tasks * Spec.PerTask_.MemoryMb_,
          Tasks * Spec.PerTask_.Accelerators_};
}

bool waits(const jobs::StepRow &Row, TimePoint Now) {
  return std::any_of(Row.Tasks_.begin(), Row.Tasks_.end(),
                     [&](const jobs::TaskRow &Task) {
                       return Task.idle() && Task.NotBefore_ <= Now;
                     });
}

/// The least room into which both fit, each by itself.
Resources larger(const Resources &A, const Resources &B) {
  return {std::max(A.MilliCpus_, B.MilliCpus_),
          std::max(A.MemoryMb_, B.MemoryMb_),
          std::max(A.Accelerators_, B.Accelerators_)};
}

void addStanding(const jobs::StepRow &Row, const jobs::StepSpec &Spec,
                 TimePoint Now, capacity::PoolDemand &Into) {
  Into.LongRunning_ += openOf(Row, Spec);
  if (waits(Row, Now))
    Into.WaitingLongRunning_ = larger(Into.WaitingLongRunning_, Spec.PerTask_);
}

void addSteps(const jobs::JobRow &Job, bool Late, TimePoint Now,
              capacity::PoolDemand &Into) {
  for (const jobs::OccurrenceRow &Occurrence : Job.Occurrences_)
    for (std::size_t S = 0; S < Occurrence.Steps_.size(); ++S) {
      const jobs::StepSpec &Spec = Job.Spec_.Steps_[S];
      const jobs::StepRow &Row = Occurrence.Steps_[S];
      if (Spec.Filler_ || !ready(Occurrence, Spec))
        continue;
      if (Spec.LongRunning_)
        addStanding(Row, Spec, Now, Into);
      else if (!Late)
        Into.FeasibleFinite_ += openOf(Row, Spec);
    }
}

/// Counts the job to what comes in now, or came in before, by its age. What
/// was cancelled needs nothing.
void addInflow(const jobs::JobRow &Job,
               const scheduling::RunTimeEstimator &Learned, TimePoint Now,
               capacity::PoolDemand &Into) {
  const Duration Age = Now - Job.AcceptedAt_;
  if (Age >= 2 * InflowWindow || Job.State_ == jobs::JobState::Cancelled)
    return;
  capacity::ArrivedLoad &Of =
      Age < InflowWindow ? Into.RecentArrivals_ : Into.PriorArrivals_;
  Of.add(scheduling::totalCpuWork(Job.Spec_, Learned) /
         static_cast<double>(InflowWindow.count()));
}

} // namespace

std::map<PoolName, capacity::PoolDemand>
demandOf(const jobs::CellTable &Table, const CellConfig &Config,
         const scheduling::RunTimeEstimator &Learned, TimePoint Now) {
  std::map<PoolName, capacity::PoolDemand> Result;
  for (const auto &[Order, Id] : Table.open()) {
    const jobs::JobRow &Job = *Table.find(Id);
    const QueueConfig *Queue = Config.find(Job.Spec_.Queue_);
    if (!Queue)
      continue;
    capacity::PoolDemand &Into = Result[Queue->Pool_];
    addInflow(Job, Learned, Now, Into);
    addSteps(Job, Now > scheduling::deadlineOf(Job, *Queue, Learned), Now,
             Into);
  }
  // Short jobs are done before their wave of arrivals has passed.
  for (const jobs::JobId &Id : Table.endedSince(Now - 2 * InflowWindow))
    if (const jobs::JobRow *Job = Table.find(Id))
      if (const QueueConfig *Queue = Config.find(Job->Spec_.Queue_))
        addInflow(*Job, Learned, Now, Result[Queue->Pool_]);
  return Result;
}

} // namespace laburnumspread::cell
