#pragma once

#include "fleet/fleettypes.h"

#include <optional>
#include <string>
#include <vector>

namespace laburnumspread::fleet {

using framework::clock::TimePoint;

struct Metadata {
  std::string Name_;
  Generation Generation_;
  /// Increases with every change of the object, including its status.
  Revision ResourceVersion_;
};

enum class ConditionStatus { True, False, Unknown };

/// Statement of a controller about an object, valid for ObservedGeneration_.
struct Condition {
  std::string Type_;
  ConditionStatus Status_ = ConditionStatus::Unknown;
  std::string Reason_;
  std::string Message_;
  Generation ObservedGeneration_;
  bool operator==(const Condition &) const = default;
};

/// Number of VMs, either absolute or as a percentage of a total.
struct CountOrPercent {
  std::uint32_t Value_ = 0;
  bool Percent_ = false;

  /// Absolute number for a total of \p Total VMs, rounded down.
  std::uint32_t resolve(std::uint32_t Total) const {
    return Percent_ ? Total * Value_ / 100 : Value_;
  }
  bool operator==(const CountOrPercent &) const = default;
};

/// Maximum number of VMs that may be unavailable at once, for any reason.
struct AvailabilityBudget {
  CountOrPercent Pool_{10, true};
  std::optional<CountOrPercent> Zone_;
  std::optional<CountOrPercent> Rack_;
};

struct PoolSpec {
  AvailabilityBudget Budget_;
  std::uint32_t MinimumVms_ = 0;
  std::uint32_t QueueLimit_ = 1000;
  /// Maximum percentage of the pool's endpoints that may be ejected at once.
  std::uint32_t EjectionCapPercent_ = 50;
  /// Whether this pool lends its VMs to other pools.
  bool Spare_ = false;
};

struct VmSpec {
  PoolName Pool_;
  ZoneName Zone_;
  RackName Rack_;
  std::string Address_;
  Slots Slots_{8};
  Size Size_;
  /// Set by an operator to take the VM out of service.
  bool Drain_ = false;
};

/// Maintenance phase of a VM, controlled by the planner.
enum class VmPhase { Active, Leaving, Rebooting, Probation, Failed };
std::string_view nameOf(VmPhase Phase);

struct VmStatus {
  VmPhase Phase_ = VmPhase::Active;
  TimePoint Since_{};
  /// Wave that maintains the VM; empty if an operator drains it.
  WaveName Wave_;
  /// Boot id before the reboot was requested. The reboot is complete when the
  /// platform reports a different one, so it is never repeated.
  std::string BootIdBeforeReboot_;
  /// Active waves that have already maintained the VM.
  std::vector<WaveName> DoneWaves_;
  /// Pool that the VM is lent to; empty while it serves its declared pool.
  PoolName LentTo_;
  TimePoint LentSince_{};
  bool operator==(const VmStatus &) const = default;
};

struct TeamSpec {
  /// Weight of the team in the fair shares of a full pool.
  std::uint32_t Share_ = 1;
  /// Maximum number of requests running at once in the whole fleet.
  std::uint32_t Limit_ = 0;
};

struct KeySpec {
  TeamName Team_;
  /// SHA-256 of the secret in lower-case hexadecimal.
  std::string Sha256_;
};

enum class WaveCommand { Run, Pause, Cancel };
std::string_view nameOf(WaveCommand Command);

struct WaveSpec {
  /// Pools to maintain; empty means all pools.
  std::vector<PoolName> Pools_;
  std::uint32_t FirstBatch_ = 1;
  std::uint32_t MaximumBatch_ = 1000;
  /// Number of failed VMs at which the wave halts automatically.
  std::uint32_t HaltAfterFailures_ = 2;
  WaveCommand Command_ = WaveCommand::Run;
  /// Number of failures that an operator accepts so that the wave continues
  /// after a halt.
  std::uint32_t AcceptedFailures_ = 0;
};

enum class WavePhase { Pending, Running, Halted, Paused, Cancelled, Complete };
std::string_view nameOf(WavePhase Phase);

struct WaveStatus {
  WavePhase Phase_ = WavePhase::Pending;
  std::uint32_t Total_ = 0;
  std::uint32_t Batch_ = 0;
  std::uint32_t Done_ = 0;
  std::uint32_t Failed_ = 0;
  std::uint32_t InProgress_ = 0;
  std::vector<Condition> Conditions_;
  TimePoint StartedAt_{};
  TimePoint EndedAt_{};
  bool operator==(const WaveStatus &) const = default;
};

struct NoStatus {
  bool operator==(const NoStatus &) const = default;
};

/// A declared object with its desired state (spec), set by operators, and its
/// observed state (status), set by the system.
template <typename SpecT, typename StatusT> struct Resource {
  using Spec = SpecT;
  using Status = StatusT;
  Metadata Metadata_;
  SpecT Spec_;
  StatusT Status_;
};

using Pool = Resource<PoolSpec, NoStatus>;
using Vm = Resource<VmSpec, VmStatus>;
using Team = Resource<TeamSpec, NoStatus>;
using Key = Resource<KeySpec, NoStatus>;
using Wave = Resource<WaveSpec, WaveStatus>;

/// The pool that a VM currently serves.
inline const PoolName &currentPool(const Vm &Machine) {
  return Machine.Status_.LentTo_.empty() ? Machine.Spec_.Pool_
                                         : Machine.Status_.LentTo_;
}

enum class Kind { Pools, Vms, Teams, Keys, Waves };
constexpr Kind AllKinds[] = {Kind::Pools, Kind::Vms, Kind::Teams, Kind::Keys,
                             Kind::Waves};

/// Plural name, as used in the operator API.
std::string_view nameOf(Kind Value);
std::optional<Kind> parseKind(std::string_view Name);

template <typename T> struct KindOf;
template <> struct KindOf<Pool> { static constexpr Kind Value = Kind::Pools; };
template <> struct KindOf<Vm> { static constexpr Kind Value = Kind::Vms; };
template <> struct KindOf<Team> { static constexpr Kind Value = Kind::Teams; };
template <> struct KindOf<Key> { static constexpr Kind Value = Kind::Keys; };
template <> struct KindOf<Wave> { static constexpr Kind Value = Kind::Waves; };

} // namespace laburnumspread::fleet
