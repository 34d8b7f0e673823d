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
  /// Rises with every change of the object, its status included.
  Revision ResourceVersion_;
};

enum class ConditionStatus { True, False, Unknown };

/// One statement of a controller about an object, valid for the generation
/// that it names.
struct Condition {
  std::string Type_;
  ConditionStatus Status_ = ConditionStatus::Unknown;
  std::string Reason_;
  std::string Message_;
  Generation ObservedGeneration_;
  bool operator==(const Condition &) const = default;
};

/// Number of VMs, absolute or in percent of a total.
struct CountOrPercent {
  std::uint32_t Value_ = 0;
  bool Percent_ = false;

  /// VMs out of \p Total, rounded down.
  std::uint32_t resolve(std::uint32_t Total) const {
    return Percent_ ? Total * Value_ / 100 : Value_;
  }
  bool operator==(const CountOrPercent &) const = default;
};

/// How many VMs may be unavailable at once, whatever the reason.
struct AvailabilityBudget {
  CountOrPercent Pool_{10, true};
  std::optional<CountOrPercent> Zone_;
  std::optional<CountOrPercent> Rack_;
};

struct PoolSpec {
  AvailabilityBudget Budget_;
  std::uint32_t MinimumVms_ = 0;
  std::uint32_t QueueLimit_ = 1000;
  /// Largest part of the pool's endpoints that may be ejected at once.
  std::uint32_t EjectionCapPercent_ = 50;
  /// The pool that lends its VMs to the others.
  bool Spare_ = false;
};

struct VmSpec {
  PoolName Pool_;
  ZoneName Zone_;
  RackName Rack_;
  std::string Address_;
  Slots Slots_{8};
  Size Size_;
  /// Set by an operator to take the VM out of service by hand.
  bool Drain_ = false;
};

/// Life of a VM as the planner drives it.
enum class VmPhase { Active, Leaving, Rebooting, Probation, Failed };
std::string_view nameOf(VmPhase Phase);

struct VmStatus {
  VmPhase Phase_ = VmPhase::Active;
  TimePoint Since_{};
  /// The wave that the VM is in; empty when an operator drains it by hand.
  WaveName Wave_;
  /// Boot id seen before the reboot was asked for. The reboot is done when the
  /// platform shows another one, so that it is never repeated.
  std::string BootIdBeforeReboot_;
  /// Waves under way that have maintained the VM already.
  std::vector<WaveName> DoneWaves_;
  /// Pool that the VM works for at present, if not for its declared one.
  PoolName LentTo_;
  TimePoint LentSince_{};
  bool operator==(const VmStatus &) const = default;
};

struct TeamSpec {
  /// Weight of the team when a pool is full.
  std::uint32_t Share_ = 1;
  /// Largest number of requests running at once over the whole fleet.
  std::uint32_t Limit_ = 0;
};

struct KeySpec {
  TeamName Team_;
  /// SHA-256 of the secret, lower-case hexadecimal.
  std::string Sha256_;
};

enum class WaveCommand { Run, Pause, Cancel };
std::string_view nameOf(WaveCommand Command);

struct WaveSpec {
  /// Pools to maintain; all when empty.
  std::vector<PoolName> Pools_;
  std::uint32_t FirstBatch_ = 1;
  std::uint32_t MaximumBatch_ = 1000;
  /// Failed VMs at which the wave halts by itself.
  std::uint32_t HaltAfterFailures_ = 2;
  WaveCommand Command_ = WaveCommand::Run;
  /// Raised by an operator to roll on after a halt: failures up to this count
  /// are accepted.
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

/// A declared object: what operators want (spec) and what the system has made
/// of it (status).
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

/// The one pool that a VM works for.
inline const PoolName &currentPool(const Vm &Machine) {
  return Machine.Status_.LentTo_.empty() ? Machine.Spec_.Pool_
                                         : Machine.Status_.LentTo_;
}

enum class Kind { Pools, Vms, Teams, Keys, Waves };
constexpr Kind AllKinds[] = {Kind::Pools, Kind::Vms, Kind::Teams, Kind::Keys,
                             Kind::Waves};

/// Plural, as in the resource interface.
std::string_view nameOf(Kind Value);
std::optional<Kind> parseKind(std::string_view Name);

template <typename T> struct KindOf;
template <> struct KindOf<Pool> { static constexpr Kind Value = Kind::Pools; };
template <> struct KindOf<Vm> { static constexpr Kind Value = Kind::Vms; };
template <> struct KindOf<Team> { static constexpr Kind Value = Kind::Teams; };
template <> struct KindOf<Key> { static constexpr Kind Value = Kind::Keys; };
template <> struct KindOf<Wave> { static constexpr Kind Value = Kind::Waves; };

} // namespace laburnumspread::fleet
