#include "scheduling/poolcapacity.h"

#include <algorithm>

namespace laburnumspread::scheduling {

using jobs::Duration;
using jobs::Resources;
using jobs::TimePoint;

namespace {

/// Returns when \p Work of one kind of resource is done, if \p Now of it is
/// there at \p At, and more later.
template <typename Amount>
TimePoint doneAt(double Work, std::int64_t Now, TimePoint At,
                 const std::map<TimePoint, Resources> &Later, Amount Of) {
  if (Work <= 0)
    return At;
  double Rate = static_cast<double>(Now);
  for (const auto &[From, Part] : Later) {
    const double Before = Rate * static_cast<double>((From - At).count());
    if (From > At) {
      if (Rate > 0 && Before >= Work)
        break;
      Work -= std::max(0.0, Before);
      At = From;
    }
    Rate += static_cast<double>(Of(Part));
  }
  return Rate > 0 ? At + Duration(static_cast<std::int64_t>(Work / Rate))
                  : TimePoint::max();
}

} // namespace

void PoolCapacity::add(const Resources &Part) { Now_ += Part; }

void PoolCapacity::addLater(const Resources &Part, TimePoint At) {
  Later_[At] += Part;
}

TimePoint PoolCapacity::doneAt(const ResourceTime &Work, TimePoint Now) const {
  const TimePoint ByCpu =
      scheduling::doneAt(Work.MilliCpus_, Now_.MilliCpus_, Now, Later_,
                         [](const Resources &Part) { return Part.MilliCpus_; });
  const TimePoint ByMemory =
      scheduling::doneAt(Work.MemoryMb_, Now_.MemoryMb_, Now, Later_,
                         [](const Resources &Part) { return Part.MemoryMb_; });
  return std::max(ByCpu, ByMemory);
}

Resources PoolCapacity::total() const {
  Resources Sum = Now_;
  for (const auto &[From, Part] : Later_)
    Sum += Part;
  return Sum;
}

} // namespace laburnumspread::scheduling
