#include "framework/log/logratelimiter.h"

namespace laburnumspread::framework::log {

bool LogRateLimiter::admit(bool IsWarning, clock::TimePoint Now) {
  const clock::Duration Elapsed = Now - WindowStart_;
  if (Elapsed >= std::chrono::seconds(1) || Elapsed < clock::Duration::zero()) {
    WindowStart_ = Now;
    UsedInWindow_ = 0;
    Suppressed_ += SuppressedThisSecond_;
    SuppressedThisSecond_ = 0;
  }
  const std::uint32_t Limit =
      IsWarning ? MaxLinesPerSecond : MaxLinesPerSecond - ReservedForWarnings;
  if (UsedInWindow_ >= Limit) {
    ++SuppressedThisSecond_;
    return false;
  }
  ++UsedInWindow_;
  return true;
}

std::uint64_t LogRateLimiter::takeSuppressed() {
  const std::uint64_t Taken = Suppressed_;
  Suppressed_ = 0;
  return Taken;
}

} // namespace laburnumspread::framework::log
