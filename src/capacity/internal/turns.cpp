#include "capacity/turns.h"

#include <algorithm>

namespace laburnumspread::capacity {

void Turns::note(const PoolName &Pool, std::size_t Wanted, std::size_t Own,
                 TimePoint Now) {
  TimePoint &Last = LastPeak_[Pool];
  const bool Peak = Own > 0 && static_cast<double>(Wanted) >=
                                   PeakPart * static_cast<double>(Own);
  if (Peak)
    Last = Now;
}

bool Turns::resting(const PoolName &Pool, std::size_t Others,
                    TimePoint Now) const {
  const auto Own = LastPeak_.find(Pool);
  if (Own == LastPeak_.end() || Own->second == TimePoint() ||
      Now - Own->second < PeakEnds)
    return false;
  const auto Before =
      std::count_if(LastPeak_.begin(), LastPeak_.end(), [&](const auto &Other) {
        return Other.first != Pool && Other.second < Own->second;
      });
  return static_cast<std::size_t>(Before) >= Others;
}

} // namespace laburnumspread::capacity
