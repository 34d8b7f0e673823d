#include "routing/runtimeestimates.h"

#include <cmath>

namespace laburnumspread::routing {

namespace {

void updateAverage(double &Mean, double Sample) {
  Mean =
      Mean == 0 ? Sample : Mean + RunTimeEstimates::Smoothing * (Sample - Mean);
}

Duration toDuration(double Micros) {
  return Duration(static_cast<std::int64_t>(std::llround(Micros)));
}

template <typename Table, typename Key>
Duration lookUp(const Table &Rows, const Key &Of) {
  const auto At = Rows.find(Of);
  return At == Rows.end() ? Duration(0) : toDuration(At->second);
}

} // namespace

void RunTimeEstimates::recordRunTime(const fleet::PoolName &Pool,
                                     const fleet::TeamName &Team,
                                     Duration RunTime) {
  const auto Micros = static_cast<double>(RunTime.count());
  updateAverage(TeamMicros_[{Pool, Team}], Micros);
  updateAverage(PoolMicros_[Pool], Micros);
}

Duration RunTimeEstimates::meanRunTime(const fleet::PoolName &Pool) const {
  return lookUp(PoolMicros_, Pool);
}

Duration RunTimeEstimates::meanRunTime(const fleet::PoolName &Pool,
                                       const fleet::TeamName &Team) const {
  return lookUp(TeamMicros_, Key{Pool, Team});
}

Duration RunTimeEstimates::estimatedWait(const fleet::PoolName &Pool,
                                         std::size_t Ahead,
                                         std::uint32_t Slots) const {
  if (Slots == 0)
    return Duration(0);
  const auto Mean = static_cast<double>(meanRunTime(Pool).count());
  return toDuration(Mean * static_cast<double>(Ahead) / Slots);
}

} // namespace laburnumspread::routing
