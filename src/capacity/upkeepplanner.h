#pragma once

#include "capacity/capacitytypes.h"

#include <map>
#include <set>

namespace laburnumspread::capacity {

/// Progress of one wave of upkeep.
struct WaveRow {
  WaveRecord Record_;
  TimePoint FirstSeenAt_{};
  /// Machines whose upkeep has begun, by the platform's word.
  std::set<MachineId> Started_;
  /// Whether the operator has been told that it is done.
  bool DoneReported_ = false;
  bool RunningReported_ = false;
};

struct UpkeepOrder {
  WaveNumber Wave_;
  MachineId Machine_;
};

struct UpkeepPlan {
  /// Machines that are to get no new tasks.
  std::set<MachineId> Cordon_;
  /// Standing runs to stop now, so that they start elsewhere.
  std::vector<jobs::RunName> Evacuate_;
  std::vector<UpkeepOrder> Orders_;
  /// Waves of which every machine has begun its upkeep and is back.
  std::vector<WaveNumber> Done_;
};

/// How many tasks of a step are away: not at work at full speed.
std::uint32_t unavailableTasks(const jobs::StepRow &Step);

/// Plans all waves. A machine is emptied before its upkeep: finite tasks end by
/// themselves, standing tasks are moved one after the other, never more of a
/// step at a time than may be missed. The next machines are chosen while others
/// are down, so that they are empty when their turn comes.
class UpkeepPlanner {
public:
  /// Share of a pool's machines that may be held back or down at a time, over
  /// all waves: what is left must carry the load. A pool always gives one.
  static constexpr double MaxPoolShare = 0.34;
  /// When a wave has this part of its time left for each machine still to go,
  /// the share of the pool no longer binds.
  static constexpr double UrgentFactor = 1.5;

  UpkeepPlanner(const jobs::CellTable &Table, Duration UpkeepTime)
      : Table_(Table), UpkeepTime_(UpkeepTime) {}

  UpkeepPlan plan(const std::map<MachineId, MachineView> &Machines,
                  const std::map<WaveNumber, WaveRow> &Waves,
                  const std::set<PoolName> &Standby, TimePoint Now) const;

private:
  const jobs::CellTable &Table_;
  Duration UpkeepTime_;
};

} // namespace laburnumspread::capacity
