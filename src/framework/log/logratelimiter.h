#pragma once

#include "framework/clock/clock.h"

#include <cstdint>

namespace laburnumspread::framework::log {

/// Limits the number of log lines per second, so that a burst of events does
/// not take CPU time from requests. Part of the limit is reserved for lines of
/// level Warning and above.
class LogRateLimiter {
public:
  /// Several times the normal rate: the leader of a cell with 48 workers writes
  /// about 240 lines per second.
  static constexpr std::uint32_t MaxLinesPerSecond = 2000;
  static constexpr std::uint32_t ReservedForWarnings = 500;

  /// Returns whether a line may be written at \p Now, and counts it. Windows of
  /// one second start with the first line after the previous window.
  bool admit(bool IsWarning, clock::TimePoint Now);

  /// Returns and resets the number of lines suppressed in past windows.
  std::uint64_t takeSuppressed();

private:
  clock::TimePoint WindowStart_{};
  std::uint32_t UsedInWindow_ = 0;
  std::uint64_t SuppressedThisSecond_ = 0;
  std::uint64_t Suppressed_ = 0;
};

} // namespace laburnumspread::framework::log
