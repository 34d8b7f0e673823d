#include "scheduling/workerspeeds.h"

#include <algorithm>
#include <vector>

namespace laburnumspread::scheduling {

namespace {

/// Returns the lower median. Of two workers, the slower one can thus be told
/// from the other.
template <typename Iterator> float lowerMedian(Iterator First, Iterator Last) {
  const Iterator Middle = First + (Last - First - 1) / 2;
  std::nth_element(First, Middle, Last);
  return *Middle;
}

} // namespace

float WorkerSpeeds::Row::median() const {
  auto Ratios = Ratios_;
  const auto Count = std::min(Recorded_, MaxRuns);
  return lowerMedian(Ratios.begin(),
                     Ratios.begin() + static_cast<std::ptrdiff_t>(Count));
}

void WorkerSpeeds::recordRun(const jobs::WorkerIncarnation &Worker,
                             Duration Expected, Duration Measured) {
  if (Expected.count() <= 0 || Measured.count() <= 0)
    return;
  Row &Known = Rows_[Worker];
  Known.Ratios_[Known.Recorded_++ % MaxRuns] =
      static_cast<float>(Measured.count()) /
      static_cast<float>(Expected.count());
}

absl::flat_hash_set<jobs::WorkerIncarnation> WorkerSpeeds::slowWorkers() const {
  std::vector<std::pair<jobs::WorkerIncarnation, float>> Medians;
  std::vector<float> All;
  for (const auto &[Worker, Known] : Rows_)
    if (Known.Recorded_ >= MinRuns) {
      All.push_back(Known.median());
      Medians.emplace_back(Worker, All.back());
    }
  absl::flat_hash_set<jobs::WorkerIncarnation> Result;
  if (All.empty())
    return Result;
  const double Limit = SlowFactor * lowerMedian(All.begin(), All.end());
  for (const auto &[Worker, Median] : Medians)
    if (Median > Limit)
      Result.insert(Worker);
  return Result;
}

} // namespace laburnumspread::scheduling
