#include "scheduling/estimates.h"

#include <algorithm>
#include <vector>

namespace laburnumspread::scheduling {

void Estimates::note(const jobs::QueueName &Queue, jobs::Duration Declared,
                     jobs::Duration Seen) {
  if (Declared.count() <= 0)
    return;
  const double Ratio = std::clamp(static_cast<double>(Seen.count()) /
                                      static_cast<double>(Declared.count()),
                                  LeastRatio, MostRatio);
  const auto [Row, Fresh] = Ratios_.try_emplace(Queue, Ratio);
  if (!Fresh)
    Row->second += NewestWeight * (Ratio - Row->second);
}

jobs::Duration Estimates::of(const jobs::QueueName &Queue,
                             const jobs::StepSpec &Step) const {
  const auto Row = Ratios_.find(Queue);
  const double Ratio = Row == Ratios_.end() ? 1 : Row->second;
  return jobs::Duration(static_cast<std::int64_t>(
      Ratio * static_cast<double>(Step.Estimate_.count())));
}

jobs::Duration longestChain(const jobs::JobSpec &Job,
                            const Estimates &Learned) {
  std::vector<jobs::Duration> EndOf(Job.Steps_.size());
  jobs::Duration Longest{};
  for (std::size_t I = 0; I < Job.Steps_.size(); ++I) {
    jobs::Duration Begin{};
    for (const std::uint32_t Before : Job.Steps_[I].After_)
      if (Before < I)
        Begin = std::max(Begin, EndOf[Before]);
    EndOf[I] = Begin + Learned.of(Job.Queue_, Job.Steps_[I]);
    Longest = std::max(Longest, EndOf[I]);
  }
  return Longest;
}

} // namespace laburnumspread::scheduling
