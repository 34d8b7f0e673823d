#pragma once

#include "config/fleettables.h"
#include "maintenance/vmdirectory.h"

#include <functional>
#include <string>
#include <vector>

namespace laburnumspread::maintenance {

using framework::clock::Duration;

/// Probes that a rebooted VM has to answer well in a row.
constexpr std::uint32_t ProbesToPass = 3;
/// A VM that has not passed its probation by then has failed.
constexpr Duration ProbationTimeout = std::chrono::seconds(15);
/// A VM that has not come back from its reboot by then has failed.
constexpr Duration RebootTimeout = std::chrono::minutes(10);

/// How a VM has answered probes since it came back.
struct ProbeState {
  std::uint32_t ConsecutiveSuccesses_ = 0;
};

/// What a decision of the planner depends on, besides the declared objects.
struct Observations {
  const VmList &List_;
  /// Whether every entry has acknowledged that the VM leaves, and nothing runs
  /// on it any more.
  std::function<bool(const std::string &Vm)> Drained_;
  std::function<ProbeState(const std::string &Vm)> Probes_;
  TimePoint Now_{};
};

enum class ActionKind {
  /// Take no new work on it.
  Leave,
  /// Back into service without a reboot: its wave was cancelled.
  CancelLeave,
  /// Record the boot that is to end, then reboot.
  BeginReboot,
  /// Ask the platform for the reboot that has been recorded.
  Reboot,
  /// It is back; hold it until it has passed its probes.
  BeginProbation,
  Activate,
  Fail
};
std::string_view nameOf(ActionKind Kind);

/// One step for one VM. Applied only if the VM is still in \p From_.
struct VmAction {
  ActionKind Kind_ = ActionKind::Leave;
  std::string Vm_;
  fleet::VmPhase From_ = fleet::VmPhase::Active;
  fleet::VmStatus To_;
  std::string Reason_;
};

struct WaveUpdate {
  std::string Wave_;
  fleet::WaveStatus To_;
};

/// All steps of one tick. Empty when declared and observed state agree.
struct Plan {
  std::vector<VmAction> Vms_;
  std::vector<WaveUpdate> Waves_;
  bool empty() const { return Vms_.empty() && Waves_.empty(); }
};

} // namespace laburnumspread::maintenance
