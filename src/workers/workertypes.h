#pragma once

#include "framework/http/httptypes.h"
#include "jobs/jobtypes.h"

#include <cstdint>
#include <vector>

/// Where tasks run: workers as they report themselves, machines and waves of
/// upkeep as the platform lists them.
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

/// A worker as it reports itself in the platform's store.
struct WorkerRecord {
  WorkerIncarnation Incarnation_;
  PoolName Pool_;
  Address Address_;
  ZoneName Zone_;
  bool Draining_ = false;
  Resources Capacity_;
  std::vector<Label> Labels_;
  MachineId Machine_;
  /// While it drains: least time that is left.
  Duration Remaining_{};

  bool hasLabel(const Label &Wanted) const;
};

enum class MachineState { Up, Moving, Upkeep, Down };

/// A machine as the platform lists it.
struct MachineRecord {
  MachineId Id_;
  PoolName Pool_;
  MachineState State_ = MachineState::Down;
  ZoneName Zone_;
  std::vector<Label> Labels_;
  Resources Capacity_;
  WorkerId Worker_;
};

/// Machines that are to have their upkeep within a time.
struct WaveRecord {
  WaveNumber Number_;
  std::vector<MachineId> Machines_;
  Duration Duration_{};
  std::uint32_t MaxAllowed_ = 1;
};

} // namespace laburnumspread::workers
