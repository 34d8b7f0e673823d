#pragma once

#include "framework/http/httptypes.h"
#include "jobs/jobtypes.h"

#include <cstdint>
#include <vector>

/// Workers as they register themselves, and machines and upkeep waves as the
/// platform lists them.
namespace laburnumspread::workers {

using fleet::PoolName;
using fleet::ZoneName;
using framework::clock::Duration;
using framework::http::Address;
using jobs::Label;
using jobs::MachineId;
using jobs::Resources;
using jobs::WaveNumber;
using jobs::WorkerId;
using jobs::WorkerIncarnation;

/// A worker as it registers itself in the platform's store.
struct WorkerRecord {
  WorkerIncarnation Incarnation_;
  PoolName Pool_;
  Address Address_;
  ZoneName Zone_;
  bool Draining_ = false;
  Resources Capacity_;
  std::vector<Label> Labels_;
  MachineId Machine_;
  /// Minimum time until the worker stops; valid while it is draining.
  Duration Remaining_{};

  bool hasLabel(const Label &Wanted) const;
};

enum class MachineState { Up, Moving, Upkeep, Down };

/// A machine as the platform lists it. Worker_ is empty if no worker runs on
/// it.
struct MachineRecord {
  MachineId Id_;
  PoolName Pool_;
  MachineState State_ = MachineState::Down;
  ZoneName Zone_;
  std::vector<Label> Labels_;
  Resources Capacity_;
  WorkerId Worker_;
};

/// An upkeep wave: machines that must have their upkeep within a time limit.
struct WaveRecord {
  WaveNumber Number_;
  std::vector<MachineId> Machines_;
  /// Time limit of the whole wave.
  Duration Duration_{};
  /// Maximum number of its machines that may be down at the same time.
  std::uint32_t MaxAllowed_ = 1;
};

} // namespace laburnumspread::workers
