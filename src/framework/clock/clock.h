#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace laburnumspread::framework::clock {

/// Wall-clock time in microseconds. Deadlines are sent between machines, so
/// wall-clock time is used throughout; ClockSkewMargin allows for skew.
using TimePoint = std::chrono::sys_time<std::chrono::microseconds>;
using Duration = std::chrono::microseconds;

/// Largest clock skew between two VMs that the protocols tolerate.
constexpr Duration ClockSkewMargin = std::chrono::milliseconds(500);

/// A source of the current time. Tests use a virtual clock.
template <typename T>
concept Clock = requires(const T &C) {
  { C.now() } -> std::same_as<TimePoint>;
};

/// The system's wall clock.
class SystemClock {
public:
  TimePoint now() const {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::system_clock::now());
  }
};

/// Virtual clock for tests. Advances only by advance().
class ManualClock {
public:
  explicit ManualClock(TimePoint Start = TimePoint(std::chrono::hours(480000)))
      : Now_(Start) {}
  TimePoint now() const { return Now_; }
  void advance(Duration By) { Now_ += By; }

private:
  TimePoint Now_;
};

/// Microseconds since the Unix epoch.
inline std::int64_t toMicros(TimePoint Time) {
  return Time.time_since_epoch().count();
}

inline TimePoint fromMicros(std::int64_t Micros) {
  return TimePoint(Duration(Micros));
}

/// Milliseconds since the Unix epoch, rounded towards zero.
inline std::int64_t toMillis(TimePoint Time) { return toMicros(Time) / 1000; }

inline TimePoint fromMillis(std::int64_t Millis) {
  return TimePoint(std::chrono::milliseconds(Millis));
}

} // namespace laburnumspread::framework::clock
