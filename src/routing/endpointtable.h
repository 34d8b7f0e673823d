#pragma once

#include "fleet/resources.h"
#include "limits/unitledger.h"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnumspread::routing {

using fleet::PoolName;
using fleet::VmName;
using fleet::ZoneName;
using framework::clock::Duration;
using framework::clock::TimePoint;
using EndpointIndex =
    framework::ids::StrongNumber<struct EndpointIndexTag, std::uint32_t>;

/// Number of consecutive failures after which an endpoint is ejected.
constexpr std::uint32_t EjectAfterFailures = 5;
/// Length of the first ejection. Each further ejection is twice as long as the
/// one before, up to MaxEjectionTime.
constexpr Duration BaseEjectionTime = std::chrono::seconds(5);
constexpr Duration MaxEjectionTime = std::chrono::seconds(80);

/// Health of an endpoint by outlier detection.
enum class Health {
  Healthy,
  /// Gets no work until EjectedUntil_.
  Ejected,
  /// Gets one request at a time until one succeeds.
  Probation
};
std::string_view nameOf(Health Value);

/// The server process on a VM, as this entry sees it.
struct Endpoint {
  VmName Vm_;
  PoolName Pool_;
  ZoneName Zone_;
  std::string Address_;
  fleet::Size Size_;
  std::uint32_t Slots_ = 0;
  limits::SubjectIndex Subject_;
  /// Whether the configuration allows new work: the VM is active and not
  /// drained.
  bool Open_ = false;
  /// Whether the VM is in the configuration.
  bool Declared_ = false;
  Health Health_ = Health::Healthy;
  std::uint32_t ConsecutiveFailures_ = 0;
  std::uint32_t Ejections_ = 0;
  TimePoint EjectedUntil_{};
  /// Number of this entry's requests that run on the endpoint.
  std::uint32_t Running_ = 0;
};

/// Result of an exchange with an endpoint, as outlier detection counts it. A
/// refusal is neither a success nor a failure.
enum class ExchangeResult { Succeeded, Refused, Failed };

/// How the end of an exchange changed the health of an endpoint.
enum class HealthChange { None, Ejected, Restored };

/// Inputs to the selection of an endpoint.
struct RouteInputs {
  const limits::UnitLedger &Slots_;
  const ZoneName &OwnZone_;
  fleet::Size Size_;
  /// The slot must be available until this time.
  TimePoint Until_{};
  TimePoint Now_{};
  /// Endpoints not to select, since they were already tried for this request.
  std::span<const EndpointIndex> Excluded_;
};

/// All endpoints by pool, with their health as this entry observes it. Indexes
/// stay valid when an endpoint is removed.
class EndpointTable {
public:
  /// Adds or updates an endpoint. Resets its health if the address changes.
  EndpointIndex addOrUpdate(const fleet::Vm &Vm, limits::SubjectIndex Slots);
  /// Removes an endpoint from its pool. Does nothing if it is not known.
  void remove(const VmName &Vm);

  /// Selects an endpoint with a free slot by the power of two choices: of two
  /// random candidates, the one with less of this entry's work. Prefers
  /// endpoints in this entry's availability zone. Returns nullopt if no
  /// endpoint is free.
  std::optional<EndpointIndex> selectEndpoint(const PoolName &Pool,
                                              const RouteInputs &Inputs,
                                              std::mt19937_64 &Random) const;

  void exchangeStarted(EndpointIndex At) { ++Rows_[At.value()].Running_; }
  /// Records the end of an exchange and updates the endpoint's health. A
  /// healthy endpoint is ejected only while at most \p MaxEjectionPercent
  /// percent of the pool's endpoints are ejected or on probation, itself
  /// included. One that fails its probation is always ejected again.
  HealthChange exchangeEnded(EndpointIndex At, ExchangeResult Result,
                             std::uint32_t MaxEjectionPercent, TimePoint Now);
  /// Puts endpoints whose ejection has ended on probation.
  void tick(TimePoint Now);

  const Endpoint &at(EndpointIndex Index) const { return Rows_[Index.value()]; }
  std::optional<EndpointIndex> find(const VmName &Vm) const;
  const std::vector<EndpointIndex> &inPool(const PoolName &Pool) const;
  std::vector<PoolName> pools() const;

  /// Total slots of the pool's endpoints that are open and not ejected.
  std::uint32_t openSlots(const PoolName &Pool) const;
  /// Whether the size fits any endpoint of the pool, open or not.
  bool fitsAny(const PoolName &Pool, const fleet::Size &Size) const;
  /// Whether any endpoint of the pool is open and not ejected.
  bool anyHealthy(const PoolName &Pool) const;

private:
  bool mayEject(const Endpoint &Row, std::uint32_t MaxEjectionPercent) const;
  bool eligible(const Endpoint &Row, const RouteInputs &Inputs) const;

  std::vector<Endpoint> Rows_;
  /// Ejected endpoints. Saves tick() a search over all endpoints.
  std::vector<EndpointIndex> Ejected_;
  std::unordered_map<VmName, EndpointIndex> Index_;
  std::map<PoolName, std::vector<EndpointIndex>> Pools_;
};

} // namespace laburnumspread::routing
