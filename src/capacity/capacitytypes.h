#pragma once

#include "jobs/celltable.h"
#include "workers/workertypes.h"

/// Assigns machines to pools and schedules their upkeep. The planners have no
/// side effects: they map tables to a list of orders.
namespace laburnumspread::capacity {

using framework::clock::Duration;
using framework::clock::TimePoint;
using workers::MachineId;
using workers::MachineRecord;
using workers::MachineState;
using workers::PoolName;
using workers::Resources;
using workers::WaveNumber;
using workers::WaveRecord;

/// A machine and the runs on it, as the planners see it.
struct MachineView {
  MachineRecord Record_;
  /// Whether its worker accepts tasks, apart from a cordon.
  bool Usable_ = false;
  /// In an evacuated zone: it is given no new tasks, and counts as no capacity
  /// for them.
  bool Evacuated_ = false;
  /// Cordoned for upkeep: it is given no new tasks.
  bool Cordoned_ = false;
  /// The outcome of an order for it is still open, or it is being moved.
  bool InTransition_ = false;
  /// The open order is one for its upkeep.
  bool UpkeepOrdered_ = false;
  /// No order may be given before this time, because an earlier leader may have
  /// ordered the machine recently.
  TimePoint NoOrderBefore_{};
  /// Resources of the worker that are allocated to runs.
  Resources Used_;
  /// The part of it that is allocated to long-running tasks.
  Resources UsedByLongRunning_;
  /// Number of runs that end by themselves.
  std::size_t FiniteRuns_ = 0;
  /// Runs of long-running tasks.
  std::vector<jobs::RunName> LongRunningRuns_;
  /// Time since which no run has been on it.
  TimePoint IdleSince_{};

  bool idle() const { return FiniteRuns_ == 0 && LongRunningRuns_.empty(); }
  Resources free() const { return Record_.Capacity_ - Used_; }
};

} // namespace laburnumspread::capacity
