#pragma once

#include "framework/clock/clock.h"

#include <ctime>

namespace laburnumspread::framework::clock {

/// Time since the machine's start, suspended time included. It never jumps
/// when the time of day is set, and a process that was suspended sees on waking
/// how long it was away. Good only for comparisons within one process.
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

/// The wall-clock deadline that the HTTP client takes, \p Time from now.
inline TimePoint wallDeadline(Duration Time) {
  return SystemClock().now() + Time;
}

} // namespace laburnumspread::framework::clock
