#pragma once

#include "capacity/capacitytypes.h"

#include <map>
#include <set>

namespace laburnumspread::capacity {

/// Progress of one upkeep wave.
struct WaveRow {
  WaveRecord Record_;
  TimePoint FirstSeenAt_{};
  /// Machines whose upkeep has started, as confirmed by the platform.
  std::set<MachineId> Started_;
  /// Whether the wave has been reported to the operator as done, and as
  /// running.
  bool DoneReported_ = false;
  bool RunningReported_ = false;
};

/// Order to start the upkeep of a machine.
struct UpkeepOrder {
  WaveNumber Wave_;
  MachineId Machine_;
};

/// How far a wave has come.
struct WaveProgress {
  /// Machines whose upkeep has not started, and how many of these are idle.
  std::size_t Remaining_ = 0;
  std::size_t RemainingIdle_ = 0;
  /// One of the remaining machines that is not idle; empty if there is none.
  MachineId Busy_;
  /// Machines that are down for their upkeep.
  std::size_t Down_ = 0;
  /// Whether the time left is so short that MaxPoolShare is ignored.
  bool Urgent_ = false;
};

/// Result of one planning pass.
struct UpkeepPlan {
  /// Machines that must not get new tasks.
  std::set<MachineId> Cordon_;
  /// Long-running runs to stop now, so that they restart on other machines.
  std::vector<jobs::RunName> Evacuate_;
  std::vector<UpkeepOrder> Orders_;
  /// Waves whose machines have all had their upkeep and are up again.
  std::vector<WaveNumber> Done_;
  /// Progress of the waves that are not done.
  std::map<WaveNumber, WaveProgress> Progress_;
};

/// Returns the number of tasks of the step that are unavailable: without a
/// confirmed run that works at full speed and is not being stopped.
std::uint32_t unavailableTasks(const jobs::StepRow &Step);

/// Plans all upkeep waves. A machine is drained before its upkeep: finite tasks
/// run to completion, long-running tasks are moved within the limit of
/// unavailable tasks of their step. The next machines are drained while others
/// are down, so that they are empty as soon as the wave allows the next ones.
class UpkeepPlanner {
public:
  /// Maximum share of a pool's machines that can be cordoned, down or in an
  /// evacuated zone at a time, over all waves: the others must carry the load.
  /// One machine is always allowed, and those in evacuated zones are, since
  /// their upkeep takes nothing from the pool.
  static constexpr double MaxPoolShare = 0.34;
  /// A wave ignores MaxPoolShare once the time it has left is less than this
  /// factor times twice the upkeep time of its remaining rounds.
  static constexpr double UrgentFactor = 1.5;

  /// \p UpkeepTime is the expected duration of the upkeep of one machine.
  UpkeepPlanner(const jobs::CellTable &Table, Duration UpkeepTime)
      : Table_(Table), UpkeepTime_(UpkeepTime) {}

  /// Plans one pass. Machines in the pools of \p Standby are off.
  UpkeepPlan plan(const std::map<MachineId, MachineView> &Machines,
                  const std::map<WaveNumber, WaveRow> &Waves,
                  const std::set<PoolName> &Standby, TimePoint Now) const;

private:
  const jobs::CellTable &Table_;
  Duration UpkeepTime_;
};

} // namespace laburnumspread::capacity
