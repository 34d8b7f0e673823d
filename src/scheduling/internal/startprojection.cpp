#include "scheduling/internal/startprojection.h"

#include "scheduling/internal/shortpools.h"

#include <algorithm>
#include <iterator>

#include <absl/container/flat_hash_set.h>

namespace laburnumspread::scheduling {

namespace {

/// Returns the number of finite tasks of the occurrence that are to be started
/// yet, those of later steps included.
std::size_t startsLeft(const jobs::JobRow &Job,
                       const jobs::OccurrenceRow &Occurrence) {
  std::size_t Sum = 0;
  for (std::size_t S = 0; S < Occurrence.Steps_.size(); ++S)
    if (!Job.Spec_.Steps_[S].LongRunning_)
      Sum += idleTasks(Occurrence.Steps_[S]);
  return Sum;
}

/// The same for all occurrences of the job.
std::size_t startsLeft(const jobs::JobRow &Job) {
  const jobs::OccurrenceTable &All = Job.Occurrences_;
  std::size_t Sum = All.untouchedCount() * startsLeft(Job, All.untouched());
  for (const auto &[K, Occurrence] : All.touched())
    Sum += startsLeft(Job, Occurrence);
  return Sum;
}

/// Returns the number of steps of the occurrence that are not done. Each waits
/// for its turn at the leader.
std::int64_t stepsLeft(const ReadyStep &Step) {
  const auto &Steps = Step.Job_->Occurrences_.find(Step.Occurrence_)->Steps_;
  return std::count_if(Steps.begin(), Steps.end(),
                       [](const jobs::StepRow &Row) { return !Row.done(); });
}

} // namespace

bool StartProjection::defer(std::vector<ReadyStep> &Steps) {
  absl::flat_hash_set<const jobs::JobRow *> Seen;
  for (const ReadyStep &Step : Steps)
    if (!Step.Spec_->LongRunning_ && Step.Urgency_ == Urgency::InTime &&
        Seen.insert(Step.Job_).second)
      addJob(Step);
  if (ReachedByDeferral_ <= ReachedOtherwise_)
    return false;
  const absl::flat_hash_set<const jobs::JobRow *> Deferred(Deferred_.begin(),
                                                           Deferred_.end());
  for (ReadyStep &Step : Steps)
    if (Step.Urgency_ == Urgency::InTime && Deferred.contains(Step.Job_))
      Step.Urgency_ = Urgency::Deferred;
  return true;
}

void StartProjection::addJob(const ReadyStep &Step) {
  // A job is not deferred for one of lower priority.
  const std::pair Priority(Step.Spec_->Filler_, Step.Queue_->Priority_);
  if (Priority_ != Priority)
    Deferrable_.clear();
  Priority_ = Priority;
  const JobStarts Own{Step.Job_, startsLeft(*Step.Job_)};
  ReachedOtherwise_ += reachedInTime(Step, StartsOfAll_);
  StartsOfAll_ += Own.Starts_;
  Starts_ += Own.Starts_;
  if (Step.Job_->State_ == jobs::JobState::Pending)
    Deferrable_.emplace(Own.Starts_, Own);
  while (!reachedInTime(Step, Starts_ - Own.Starts_)) {
    if (Deferrable_.empty() || deferLargest() == Step.Job_)
      return;
    // The deferred job was one of those reached in time.
    --ReachedByDeferral_;
  }
  ++ReachedByDeferral_;
}

const jobs::JobRow *StartProjection::deferLargest() {
  const auto Largest = std::prev(Deferrable_.end());
  const JobStarts Chosen = Largest->second;
  Deferrable_.erase(Largest);
  Starts_ -= Chosen.Starts_;
  Deferred_.push_back(Chosen.Job_);
  return Chosen.Job_;
}

bool StartProjection::reachedInTime(const ReadyStep &Step,
                                    std::size_t Before) const {
  const std::size_t Through = Before + idleTasks(*Step.Row_);
  const auto Takes =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(Through) / StartsPerSecond_));
  return At_.Now_ + stepsLeft(Step) * At_.StartDelay_ + Takes <=
         Step.LatestStart_;
}

} // namespace laburnumspread::scheduling
