#include "scheduling/pacer.h"

#include <algorithm>

namespace laburnumspread::scheduling {

int Pacer::next(const std::vector<ServingLoad> &Serving) {
  double Worst = 0;
  for (const ServingLoad &Item : Serving)
    if (Item.TargetMs_ > 0)
      Worst = std::max(Worst, static_cast<double>(Item.TailMs_) /
                                  static_cast<double>(Item.TargetMs_));
  if (Worst > Near)
    Percent_ = Percent_ / 2 < Least ? 0 : Percent_ / 2;
  else if (Worst < Calm)
    Percent_ = std::min(Full, Percent_ + Raise);
  return Percent_;
}

} // namespace laburnumspread::scheduling
