#pragma once

#include "framework/clock/clock.h"

#include <cstdint>

namespace laburnumspread::framework::log {

/// Bounds how many lines are written in a second, so that a storm of events
/// does not take the processor from requests. Lines that tell of trouble are
/// the last to go: a part of the budget is theirs alone.
class LogRateLimiter {
public:
  /// Several times what the holder of a cell of 48 workers writes on a calm
  /// day, some 240 lines a second.
  static constexpr std::uint32_t MaxLinesPerSecond = 2000;
  static constexpr std::uint32_t ReservedForWarnings = 500;

  /// Whether a line may be written at \p Now.
  bool admit(bool IsWarning, clock::TimePoint Now);

  /// Lines left out in seconds that are over, once.
  std::uint64_t takeSuppressed();

private:
  clock::TimePoint WindowStart_{};
  std::uint32_t UsedInWindow_ = 0;
  std::uint64_t SuppressedThisSecond_ = 0;
  std::uint64_t Suppressed_ = 0;
};

} // namespace laburnumspread::framework::log
