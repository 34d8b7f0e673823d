#pragma once

#include "framework/clock/clock.h"

#include <ctime>

namespace laburnumspread::framework::clock {

/// Monotonic time since boot, including time in suspend (CLOCK_BOOTTIME).
/// Setting the system clock does not affect it, and a process that was
/// suspended can tell afterwards for how long. Its times are comparable only
/// within one process.
class SteadyClock {
public:
  TimePoint now() const {
    timespec Read{};
    clock_gettime(CLOCK_BOOTTIME, &Read);
    return TimePoint(std::chrono::seconds(Read.tv_sec) +
                     std::chrono::duration_cast<Duration>(
                         std::chrono::nanoseconds(Read.tv_nsec)));
  }
};

/// Wall-clock deadline \p Time from now, as the HTTP client expects it.
inline TimePoint wallDeadline(Duration Time) {
  return SystemClock().now() + Time;
}

} // namespace laburnumspread::framework::clock
