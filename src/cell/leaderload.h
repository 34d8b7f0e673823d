#pragma once

#include "framework/clock/clock.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace laburnumspread::cell {

/// Load of a leader's processor, by how late its fibers run, and what a leader
/// that is late does less of.
///
/// Each start, poll and answer waits for all fibers that are ready before it. A
/// leader with too little processor time for its cell would take on ever more,
/// until nothing is done in time: answers come after their callers have gone,
/// and leases lapse. So what it starts shrinks as its delay grows, polls wait
/// longer at the workers, and new jobs are refused at once beyond MaxDelay, or
/// if the tasks that are ready take too long to be started.
class LeaderLoad {
public:
  using Duration = framework::clock::Duration;
  using TimePoint = framework::clock::TimePoint;

  /// A delay up to this is normal: an entry under a CPU quota is paused for up
  /// to a tenth of a second.
  static constexpr Duration NormalDelay = std::chrono::milliseconds(100);
  /// Beyond this delay the answer to a submission, which takes several turns of
  /// fibers, comes too late for many callers.
  static constexpr Duration MaxDelay = std::chrono::milliseconds(500);
  /// Over which the rate of starts is measured.
  static constexpr Duration RateWindow = std::chrono::seconds(1);
  /// For how long a leader that was late counts as short of processor time. It
  /// is in time again whenever it has started less.
  static constexpr Duration ShortageMemory = std::chrono::seconds(2);

  /// Adds how late a fiber ran.
  void record(Duration Late, TimePoint Now) {
    Delay_ += (std::max(Late, Duration::zero()) - Delay_) / SmoothingDivisor;
    if (late())
      LateAt_ = Now;
  }

  /// Adds the outcome of a scheduling pass: the starts that were planned, and
  /// the ready tasks that are left.
  void recordPass(std::size_t Starts, std::size_t Waiting, TimePoint Now) {
    Waiting_ = Waiting;
    WindowStarts_ += Starts;
    const Duration Passed = Now - WindowFrom_;
    if (Passed < RateWindow)
      return;
    const double Rate = static_cast<double>(WindowStarts_) /
                        static_cast<double>(Passed.count());
    StartsPerMicro_ =
        StartsPerMicro_ == 0 ? Rate : (StartsPerMicro_ + Rate) / 2;
    WindowFrom_ = Now;
    WindowStarts_ = 0;
  }

  /// A pass planned as many starts as it was allowed to, or none since as many
  /// are on their way.
  void recordBound(TimePoint Now) { BoundAt_ = Now; }

  /// Returns the starts a second that this leader sends, if that has bounded a
  /// pass within RateWindow: more is ready than it can start.
  std::optional<double> startsPerSecond(TimePoint Now) const {
    if (!BoundAt_ || Now - *BoundAt_ > RateWindow || StartsPerMicro_ == 0)
      return std::nullopt;
    return StartsPerMicro_ * 1e6;
  }

  /// Returns how long the tasks that are ready take to be started at the pace
  /// of a leader that is short of processor time; zero if it is not.
  Duration startWait(TimePoint Now) const {
    if (Now - LateAt_ > ShortageMemory || StartsPerMicro_ == 0)
      return Duration::zero();
    return Duration(static_cast<std::int64_t>(static_cast<double>(Waiting_) /
                                              StartsPerMicro_));
  }

  /// Returns how long something takes here that takes \p Time and so many turns
  /// of fibers: what this process loses must not count as silence of another.
  Duration timeFor(Duration Time, int Turns) const {
    return late() ? Time + Turns * Delay_ : Time;
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
  TimePoint LateAt_{};
  TimePoint WindowFrom_{};
  std::size_t WindowStarts_ = 0;
  std::optional<TimePoint> BoundAt_;
  std::size_t Waiting_ = 0;
  double StartsPerMicro_ = 0;
};

} // namespace laburnumspread::cell
