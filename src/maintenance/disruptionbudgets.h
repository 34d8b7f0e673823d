#pragma once

#include "maintenance/maintenancetypes.h"

#include <unordered_map>

namespace laburnumspread::maintenance {

/// How many more VMs may be made unavailable in each pool, zone and rack. VMs
/// that are down for any other reason count against the budgets.
class DisruptionBudgets {
public:
  DisruptionBudgets(const config::FleetTables &Tables, const VmList &List);

  /// Whether the VM may be taken out of service now.
  bool mayDisrupt(const fleet::Vm &Vm) const;
  /// Why not; empty if it may.
  std::string blockingReason(const fleet::Vm &Vm) const;
  /// Counts the VM as unavailable from now on.
  void recordDisruption(const fleet::Vm &Vm);
  /// Unavailable VMs in the VM's rack.
  std::uint32_t unavailableInRack(const fleet::Vm &Vm) const;

private:
  struct Count {
    std::uint32_t Total_ = 0;
    std::uint32_t Down_ = 0;
  };
  /// A pool, or the part of it in one zone or rack. The views are into the
  /// tables: at 11,000 VMs copies of the names took most of a tick.
  struct BudgetScope {
    std::string_view Pool_;
    std::string_view Domain_;
    std::string_view Kind_;
    bool operator==(const BudgetScope &) const = default;
  };
  struct ScopeHash {
    std::size_t operator()(const BudgetScope &Where) const {
      const std::hash<std::string_view> Hash;
      return (Hash(Where.Pool_) * 31 + Hash(Where.Domain_)) * 31 +
             Where.Kind_.size();
    }
  };
  static BudgetScope poolScope(const fleet::Vm &Vm);
  static BudgetScope zoneScope(const fleet::Vm &Vm);
  static BudgetScope rackScope(const fleet::Vm &Vm);
  const Count &at(const BudgetScope &Where) const;

  const config::FleetTables &Tables_;
  std::unordered_map<BudgetScope, Count, ScopeHash> Counts_;
};

/// Whether the VM can serve: in service, and live by the platform's list.
bool isAvailable(const fleet::Vm &Vm, const VmList &List);

} // namespace laburnumspread::maintenance
