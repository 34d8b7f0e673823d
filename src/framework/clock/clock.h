#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace laburnumspread::framework::clock {

/// Wall time in microseconds. Deadlines travel between machines, so wall time
/// is used throughout; clockSkewMargin covers its error.
using TimePoint = std::chrono::sys_time<std::chrono::microseconds>;
using Duration = std::chrono::microseconds;

/// Largest difference between the clocks of two VMs that is provided for.
constexpr Duration ClockSkewMargin = std::chrono::milliseconds(500);

/// A source of the present time; virtual in tests.
template <typename T>
concept Clock = requires(const T &C) {
  { C.now() } -> std::same_as<TimePoint>;
};

class SystemClock {
public:
  TimePoint now() const {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::system_clock::now());
  }
};

/// A clock that moves only when it is told to.
class ManualClock {
public:
  explicit ManualClock(TimePoint Start = TimePoint(std::chrono::hours(480000)))
      : Now_(Start) {}
  TimePoint now() const { return Now_; }
  void advance(Duration By) { Now_ += By; }

private:
  TimePoint Now_;
};

inline std::int64_t toMicros(TimePoint Time) {
  return Time.time_since_epoch().count();
}

inline TimePoint fromMicros(std::int64_t Micros) {
  return TimePoint(Duration(Micros));
}

inline std::int64_t toMillis(TimePoint Time) { return toMicros(Time) / 1000; }

inline TimePoint fromMillis(std::int64_t Millis) {
  return TimePoint(std::chrono::milliseconds(Millis));
}

} // namespace laburnumspread::framework::clock
