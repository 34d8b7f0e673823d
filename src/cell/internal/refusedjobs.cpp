#include "cell/refusedjobs.h"

namespace laburnumspread::cell {

void RefusedJobs::add(const jobs::JobId &Job, TimePoint Now) {
  forgetBefore(Now - Retention);
  if (Order_.size() == MaxJobs)
    forgetFirst();
  RefusedAt_[Job] = Now;
  Order_.emplace_back(Now, Job);
}

std::optional<Duration> RefusedJobs::take(const jobs::JobId &Job,
                                          TimePoint Now) {
  forgetBefore(Now - Retention);
  const auto Found = RefusedAt_.find(Job);
  if (Found == RefusedAt_.end())
    return std::nullopt;
  const Duration Passed = Now - Found->second;
  RefusedAt_.erase(Found);
  return Passed;
}

void RefusedJobs::forgetBefore(TimePoint Oldest) {
  while (!Order_.empty() && Order_.front().first < Oldest)
    forgetFirst();
}

void RefusedJobs::forgetFirst() {
  const auto &[At, Job] = Order_.front();
  // The job may have been refused again since.
  if (const auto Found = RefusedAt_.find(Job);
      Found != RefusedAt_.end() && Found->second == At)
    RefusedAt_.erase(Found);
  Order_.pop_front();
}

} // namespace laburnumspread::cell
