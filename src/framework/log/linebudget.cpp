#include "framework/log/linebudget.h"

namespace laburnumspread::framework::log {

bool LineBudget::admit(bool Trouble, clock::TimePoint Now) {
  const clock::Duration Past = Now - Second_;
  if (Past >= std::chrono::seconds(1) || Past < clock::Duration::zero()) {
    Second_ = Now;
    Used_ = 0;
    LeftOut_ += LeftOutNow_;
    LeftOutNow_ = 0;
  }
  const std::uint32_t Most =
      Trouble ? LinesPerSecond : LinesPerSecond - KeptForTrouble;
  if (Used_ >= Most) {
    ++LeftOutNow_;
    return false;
  }
  ++Used_;
  return true;
}

std::uint64_t LineBudget::takeLeftOut() {
  const std::uint64_t Taken = LeftOut_;
  LeftOut_ = 0;
  return Taken;
}

} // namespace laburnumspread::framework::log
