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

std::int64_t openCores(const jobs::StepRow &Row, const jobs::StepSpec &Spec) {
  return static_cast<std::int64_t>(Row.Tasks_.size() - Row.DoneCount_) *
         Spec.Each_.MilliCpus_;
}

void addSteps(const jobs::JobRow &Job, bool Late, capacity::PoolDemand &Into) {
  for (const jobs::OccurrenceRow &Occurrence : Job.Occurrences_)
    for (std::size_t S = 0; S < Occurrence.Steps_.size(); ++S) {
      const jobs::StepSpec &Spec = Job.Spec_.Steps_[S];
      if (Spec.Filler_ || !ready(Occurrence, Spec))
        continue;
      (Spec.LongRunning_ ? Into.Standing_
       : Late            ? Into.Late_
              : Into.Timely_) += openCores(Occurrence.Steps_[S], Spec);
    }
}

} // namespace

std::map<PoolName, capacity::PoolDemand>
demandOf(const jobs::CellTable &Table, const CellConfig &Config,
         const scheduling::Estimates &Learned, TimePoint Now) {
  std::map<PoolName, capacity::PoolDemand> Result;
  for (const auto &[Order, Id] : Table.open()) {
    const jobs::JobRow &Job = *Table.find(Id);
    const QueueConfig *Queue = Config.find(Job.Spec_.Queue_);
    if (!Queue)
      continue;
    capacity::PoolDemand &Into = Result[Queue->Pool_];
    if (Now - Job.AcceptedAt_ < InflowWindow)
      Into.Coming_.add(scheduling::workOf(Job.Spec_, Learned) /
                       static_cast<double>(InflowWindow.count()));
    addSteps(Job, Now > scheduling::dueAt(Job, *Queue, Learned), Into);
  }
  return Result;
}

} // namespace laburnumspread::cell
