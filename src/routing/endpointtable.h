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

/// Failures in a row at which an endpoint is ejected.
constexpr std::uint32_t EjectAfterFailures = 5;
/// First ejection; each further one doubles it, up to the longest.
constexpr Duration BaseEjectionTime = std::chrono::seconds(5);
constexpr Duration MaxEjectionTime = std::chrono::seconds(80);

enum class Health {
  Healthy,
  /// Gets no work until a time.
  Ejected,
  /// Gets one request at a time until one has succeeded.
  Probation
};
std::string_view nameOf(Health Value);

struct Endpoint {
  VmName Vm_;
  PoolName Pool_;
  ZoneName Zone_;
  std::string Address_;
  fleet::Size Size_;
  std::uint32_t Slots_ = 0;
  limits::SubjectIndex Subject_;
  /// Whether new work may go there, as far as the configuration says.
  bool Open_ = false;
  bool Declared_ = false;
  Health Health_ = Health::Healthy;
  std::uint32_t ConsecutiveFailures_ = 0;
  std::uint32_t Ejections_ = 0;
  TimePoint EjectedUntil_{};
  /// Requests of this entry that run there.
  std::uint32_t Running_ = 0;
};

/// How an exchange with an endpoint ended, as far as its health goes.
enum class ExchangeResult { Succeeded, Refused, Failed };

/// What noting an exchange has changed.
enum class HealthChange { None, Ejected, Restored };

/// What a choice among the endpoints of a pool depends on.
struct RouteInputs {
  const limits::UnitLedger &Slots_;
  const ZoneName &OwnZone_;
  fleet::Size Size_;
  TimePoint Until_{};
  TimePoint Now_{};
  /// Endpoints that have refused this request already.
  std::span<const EndpointIndex> Excluded_;
};

/// All endpoints, by pool, with their health as this entry sees it.
class EndpointTable {
public:
  /// Adds or changes an endpoint. Health is kept, unless the address is new.
  EndpointIndex addOrUpdate(const fleet::Vm &Vm, limits::SubjectIndex Slots);
  void remove(const VmName &Vm);

  /// An endpoint with a free slot: of this entry's zone if there is one, of
  /// two at random the one with less work. Empty when none is free.
  std::optional<EndpointIndex> selectEndpoint(const PoolName &Pool,
                                              const RouteInputs &Inputs,
                                              std::mt19937_64 &Random) const;

  void exchangeStarted(EndpointIndex At) { ++Rows_[At.value()].Running_; }
  /// Notes the end of an exchange. \p MaxEjectionPercent is the largest part of
  /// the pool that may be ejected.
  HealthChange exchangeEnded(EndpointIndex At, ExchangeResult How,
                             std::uint32_t MaxEjectionPercent, TimePoint Now);
  /// Lets ejected endpoints whose time is over be tried again.
  void tick(TimePoint Now);

  const Endpoint &at(EndpointIndex Index) const { return Rows_[Index.value()]; }
  std::optional<EndpointIndex> find(const VmName &Vm) const;
  const std::vector<EndpointIndex> &inPool(const PoolName &Pool) const;
  std::vector<PoolName> pools() const;

  /// Slots of the endpoints of a pool that may take work.
  std::uint32_t openSlots(const PoolName &Pool) const;
  /// Whether any endpoint of the pool, open or not, has room for the size.
  bool fitsAny(const PoolName &Pool, const fleet::Size &Size) const;
  /// Whether some open endpoint is not ejected.
  bool anyHealthy(const PoolName &Pool) const;

private:
  bool mayEject(const Endpoint &Row, std::uint32_t MaxEjectionPercent) const;
  bool eligible(const Endpoint &Row, const RouteInputs &Inputs) const;

  std::vector<Endpoint> Rows_;
  /// Endpoints that are ejected, so that a tick need not look for them.
  std::vector<EndpointIndex> Ejected_;
  std::unordered_map<VmName, EndpointIndex> Index_;
  std::map<PoolName, std::vector<EndpointIndex>> Pools_;
};

} // namespace laburnumspread::routing
