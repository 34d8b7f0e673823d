#pragma once

#include "maintenance/maintenancetypes.h"

#include <map>

namespace laburnumspread::maintenance {

/// How many more VMs may be made unavailable in each pool, zone and rack. VMs
/// that are down for any other reason count against the budgets.
class Availability {
public:
  Availability(const config::FleetTables &Tables, const VmList &List);

  /// Whether the VM may be taken out of service now.
  bool mayTake(const fleet::Vm &Vm) const;
  /// Why not; empty if it may.
  std::string reason(const fleet::Vm &Vm) const;
  /// Counts the VM as unavailable from now on.
  void take(const fleet::Vm &Vm);
  /// Unavailable VMs in the VM's rack.
  std::uint32_t downInRack(const fleet::Vm &Vm) const;

private:
  struct Count {
    std::uint32_t Total_ = 0;
    std::uint32_t Down_ = 0;
  };
  struct Place {
    fleet::PoolName Pool_;
    std::string Domain_;
    auto operator<=>(const Place &) const = default;
  };
  static Place poolPlace(const fleet::Vm &Vm);
  static Place zonePlace(const fleet::Vm &Vm);
  static Place rackPlace(const fleet::Vm &Vm);
  const Count &at(const Place &Where) const;

  const config::FleetTables &Tables_;
  std::map<Place, Count> Counts_;
};

/// Whether the VM can serve: in service, and live by the platform's list.
bool isAvailable(const fleet::Vm &Vm, const VmList &List);

} // namespace laburnumspread::maintenance
