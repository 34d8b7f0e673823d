#pragma once

#include "jobs/celltable.h"
#include "workers/workertypes.h"

/// Decides over machines: which are given to which pool, and when each has its
/// upkeep. Pure: tables in, orders out.
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

/// A machine and what runs on it.
struct MachineView {
  MachineRecord Record_;
  /// Its worker takes tasks, or would if it were not held back.
  bool Usable_ = false;
  /// Held back for upkeep: it is given no new tasks.
  bool Cordoned_ = false;
  /// An order for it has been sent and is not settled, or it is on its way.
  bool InTransition_ = false;
  /// An earlier holder may have ordered it lately: no order before this.
  TimePoint NoOrderBefore_{};
  /// What its worker has been given, of its room.
  Resources Used_;
  /// Tasks that end by themselves, and tasks that last.
  std::size_t FiniteRuns_ = 0;
  std::vector<jobs::RunName> LongRunningRuns_;
  /// Since when nothing has run on it.
  TimePoint IdleSince_{};

  bool idle() const { return FiniteRuns_ == 0 && LongRunningRuns_.empty(); }
  Resources free() const { return Record_.Capacity_ - Used_; }
};

} // namespace laburnumspread::capacity
