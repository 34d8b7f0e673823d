#include "scheduling/pacer.h"

#include <algorithm>

namespace laburnumspread::scheduling {

int Pacer::update(const std::vector<ServingLatency> &Serving) {
  double Worst = 0;
  for (const ServingLatency &Item : Serving)
    if (Item.TargetMs_ > 0)
      Worst = std::max(Worst, static_cast<double>(Item.TailMs_) /
                                  static_cast<double>(Item.TargetMs_));
  if (Worst > CutAbove)
    Percent_ = Percent_ / 2 < MinPercent ? 0 : Percent_ / 2;
  else if (Worst < RaiseBelow)
    Percent_ = std::min(FullPercent, Percent_ + RaisePercent);
  return Percent_;
}

} // namespace laburnumspread::scheduling
