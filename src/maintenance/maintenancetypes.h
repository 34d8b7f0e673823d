#pragma once

#include "config/fleettables.h"
#include "maintenance/vmdirectory.h"

#include <functional>
#include <string>
#include <vector>

namespace laburnumspread::maintenance {

using framework::clock::Duration;

/// Number of consecutive successful probes that end a VM's probation.
constexpr std::uint32_t ProbesToPass = 3;
/// A VM that does not pass its probation within this time has failed.
constexpr Duration ProbationTimeout = std::chrono::seconds(15);
/// A VM that does not return from its reboot within this time has failed.
constexpr Duration RebootTimeout = std::chrono::minutes(10);

/// Probe results of a VM since its reboot.
struct ProbeState {
  std::uint32_t ConsecutiveSuccesses_ = 0;
};

/// Observed state that the planner uses besides the declared objects.
struct Observations {
  const VmList &List_;
  /// Whether every entry has acknowledged that the VM is leaving, and no
  /// request runs on it.
  std::function<bool(const std::string &Vm)> Drained_;
  std::function<ProbeState(const std::string &Vm)> Probes_;
  TimePoint Now_{};
};

enum class ActionKind {
  /// Start draining the VM: it gets no new work.
  Leave,
  /// Return the VM to service without a reboot, since its wave was cancelled.
  CancelLeave,
  /// Record the current boot before the reboot is requested.
  BeginReboot,
  /// Request the recorded reboot from the platform.
  Reboot,
  /// The VM has rebooted. Keep it out of service until it passes its probes.
  BeginProbation,
  /// Return the VM to service after its probation.
  Activate,
  /// Mark the VM as failed.
  Fail
};
std::string_view nameOf(ActionKind Kind);

/// One step for one VM. Must be applied only if the VM is still in phase From_.
struct VmAction {
  ActionKind Kind_ = ActionKind::Leave;
  std::string Vm_;
  fleet::VmPhase From_ = fleet::VmPhase::Active;
  fleet::VmStatus To_;
  std::string Reason_;
};

/// New status of a wave.
struct WaveUpdate {
  std::string Wave_;
  fleet::WaveStatus To_;
};

/// All steps of one tick. Empty if the observed state matches the declared one.
struct Plan {
  std::vector<VmAction> Vms_;
  std::vector<WaveUpdate> Waves_;
  bool empty() const { return Vms_.empty() && Waves_.empty(); }
};

} // namespace laburnumspread::maintenance
