#pragma once

#include "cell/workerrestriction.h"
#include "framework/clock/clock.h"
#include "framework/log/log.h"
#include "scheduling/scheduler.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace laburnumspread::cell {

/// What bounds the work of a leader, at one moment. A leader that starts too
/// little may lack processor time, room on the workers, or a current view of
/// them; the starts themselves look the same in all three cases.
struct PaceSample {
  using Duration = framework::clock::Duration;

  /// Processor time that this process has used since it started.
  Duration ProcessorTime_{};
  /// How late fibers run, and how long a start takes to reach its worker.
  Duration FiberDelay_{};
  Duration StartDelay_{};
  /// Starts whose first attempt waits to be sent or answered.
  std::size_t UnansweredStarts_ = 0;
  /// Time since the list of workers, and that of machines, was last brought up
  /// to date; since the start of the term before that.
  Duration WorkersAge_{};
  Duration MachinesAge_{};
  /// Machines with an open order.
  std::size_t MachinesOrdered_ = 0;
  /// Whether the leader may start tasks: its leadership and the evacuations of
  /// zones were confirmed recently.
  bool MaySendStarts_ = false;
  /// Workers by what keeps them from new tasks.
  WorkerCounts Workers_;
};

/// Writes a line a second on the pace of one term, one on its workers and,
/// while tasks wait, one on why the latest pass did not start them.
class PaceReporter {
public:
  using Duration = framework::clock::Duration;
  using TimePoint = framework::clock::TimePoint;

  static constexpr Duration ReportInterval = std::chrono::seconds(1);

  /// Adds a scheduling pass that took \p Took.
  void passRun(Duration Took) {
    ++Passes_;
    Planning_ += Took;
  }
  /// Adds what a pass planned.
  void planned(const scheduling::Plan &Result) {
    Starts_ += Result.Starts_.size();
    Waiting_ = Result.ReadyTasks_ -
               std::min(Result.Starts_.size(), Result.ReadyTasks_);
    Unplaced_ = Result.UnplacedTasks_;
    Reasons_ = Result.Waiting_;
  }

  bool due(TimePoint Now) const { return Now >= NextReportAt_; }
  /// Logs what was added since the last report.
  void report(const PaceSample &Sample, TimePoint Now);

private:
  void reportPace(const PaceSample &Sample, TimePoint Now) const;
  void reportWorkers(const WorkerCounts &Workers) const;
  void reportWaiting() const;
  framework::log::Level level() const;

  TimePoint NextReportAt_{};
  TimePoint ReportedAt_{};
  Duration ProcessorTimeBefore_{};
  std::uint64_t Passes_ = 0;
  Duration Planning_{};
  std::uint64_t Starts_ = 0;
  std::size_t Waiting_ = 0;
  std::size_t Unplaced_ = 0;
  scheduling::WaitCounts Reasons_;
};

/// Returns the processor time that this process has used since it started.
framework::clock::Duration processorTime();

} // namespace laburnumspread::cell
