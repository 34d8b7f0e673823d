#pragma once

#include "framework/clock/clock.h"

#include <algorithm>
#include <cstddef>

namespace laburnumspread::cell {

/// Load of a leader's processor, by how late its fibers run, and what a leader
/// that is late does less of.
///
/// Each start, poll and answer waits for all fibers that are ready before it. A
/// leader with too little processor time for its cell would take on ever more,
/// until nothing is done in time: answers come after their callers have gone,
/// and leases lapse. So what it starts shrinks as its delay grows, polls wait
/// longer at the workers, and beyond MaxDelay new jobs are refused at once.
class LeaderLoad {
public:
  using Duration = framework::clock::Duration;

  /// A delay up to this is normal: an entry under a CPU quota is paused for up
  /// to a tenth of a second.
  static constexpr Duration NormalDelay = std::chrono::milliseconds(100);
  /// Beyond this delay the answer to a submission, which takes several turns of
  /// fibers, comes too late for many callers.
  static constexpr Duration MaxDelay = std::chrono::milliseconds(500);

  /// Adds how late a fiber ran.
  void record(Duration Late) {
    Delay_ += (std::max(Late, Duration::zero()) - Delay_) / SmoothingDivisor;
  }

  /// Smoothed delay of a fiber.
  Duration delay() const { return Delay_; }
  bool late() const { return Delay_ > NormalDelay; }
  bool overloaded() const { return Delay_ > MaxDelay; }

  /// Returns how many starts may be on their way at a time, given the number
  /// for a leader that is not late: fewer in proportion to the delay.
  std::size_t startsAllowed(std::size_t Most) const {
    if (!late())
      return Most;
    const auto Part = static_cast<std::size_t>(
        static_cast<double>(Most) * static_cast<double>(NormalDelay.count()) /
        static_cast<double>(Delay_.count()));
    return std::max<std::size_t>(1, Part);
  }

private:
  static constexpr int SmoothingDivisor = 4;

  Duration Delay_{};
};

} // namespace laburnumspread::cell
