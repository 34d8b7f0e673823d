#pragma once

#include "maintenance/maintenancetypes.h"

#include <unordered_map>

namespace laburnumspread::maintenance {

/// Tracks how many more VMs may be made unavailable in each pool, availability
/// zone and rack. VMs that are unavailable for other reasons count against the
/// budgets too. Must not outlive the tables.
class DisruptionBudgets {
public:
  DisruptionBudgets(const config::FleetTables &Tables, const VmList &List);

  /// Whether the budgets allow the VM to be taken out of service.
  bool mayDisrupt(const fleet::Vm &Vm) const;
  /// Why the VM must not be taken out of service. Empty if it may.
  std::string blockingReason(const fleet::Vm &Vm) const;
  /// Counts the VM as unavailable.
  void recordDisruption(const fleet::Vm &Vm);
  /// Number of unavailable VMs of the VM's pool in its rack.
  std::uint32_t unavailableInRack(const fleet::Vm &Vm) const;

private:
  struct Count {
    std::uint32_t Total_ = 0;
    std::uint32_t Unavailable_ = 0;
  };
  /// A pool, or the part of it in one zone or rack. Holds views into the
  /// tables, since copying the names took most of a tick at 11,000 VMs.
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

/// Whether the VM can serve: it is active and not drained, and the platform
/// lists it as live.
bool isAvailable(const fleet::Vm &Vm, const VmList &List);

} // namespace laburnumspread::maintenance
