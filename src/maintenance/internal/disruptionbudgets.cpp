#include "maintenance/disruptionbudgets.h"

namespace laburnumspread::maintenance {

bool isAvailable(const fleet::Vm &Vm, const VmList &List) {
  const auto Row = List.find(Vm.Metadata_.Name_);
  return Vm.Status_.Phase_ == fleet::VmPhase::Active && !Vm.Spec_.Drain_ &&
         Row != List.end() && Row->second.Live_;
}

DisruptionBudgets::BudgetScope
DisruptionBudgets::poolScope(const fleet::Vm &Vm) {
  return {fleet::currentPool(Vm).str(), "", ""};
}
DisruptionBudgets::BudgetScope
DisruptionBudgets::zoneScope(const fleet::Vm &Vm) {
  return {fleet::currentPool(Vm).str(), Vm.Spec_.Zone_.str(), "zone"};
}
DisruptionBudgets::BudgetScope
DisruptionBudgets::rackScope(const fleet::Vm &Vm) {
  return {fleet::currentPool(Vm).str(), Vm.Spec_.Rack_.str(), "rack"};
}

DisruptionBudgets::DisruptionBudgets(const config::FleetTables &Tables,
                                     const VmList &List)
    : Tables_(Tables) {
  for (const auto &[Name, Vm] : Tables.Vms_) {
    const bool Unavailable = !isAvailable(Vm, List);
    for (const BudgetScope &Where :
         {poolScope(Vm), zoneScope(Vm), rackScope(Vm)}) {
      Count &Row = Counts_[Where];
      ++Row.Total_;
      Row.Unavailable_ += Unavailable;
    }
  }
}

const DisruptionBudgets::Count &
DisruptionBudgets::at(const BudgetScope &Where) const {
  static const Count None;
  const auto Row = Counts_.find(Where);
  return Row == Counts_.end() ? None : Row->second;
}

std::string DisruptionBudgets::blockingReason(const fleet::Vm &Vm) const {
  const auto *Pool = Tables_.find<fleet::Pool>(fleet::currentPool(Vm).str());
  if (!Pool)
    return "pool " + fleet::currentPool(Vm).str() + " is not declared";
  const fleet::AvailabilityBudget &Budget = Pool->Spec_.Budget_;
  auto Exceeded = [&](const BudgetScope &Where,
                      const fleet::CountOrPercent &Allowed) {
    const Count &Row = at(Where);
    return Row.Unavailable_ + 1 > Allowed.resolve(Row.Total_);
  };
  auto TextOf = [&](const BudgetScope &Where,
                    const fleet::CountOrPercent &Allowed) {
    const Count &Row = at(Where);
    std::string Text = "pool " + std::string(Where.Pool_);
    if (!Where.Kind_.empty())
      Text +=
          ", " + std::string(Where.Kind_) + " " + std::string(Where.Domain_);
    return Text + ": " + std::to_string(Row.Unavailable_) + " of " +
           std::to_string(Row.Total_) +
           " VMs are unavailable, the budget allows " +
           std::to_string(Allowed.resolve(Row.Total_));
  };
  if (Exceeded(poolScope(Vm), Budget.Pool_))
    return TextOf(poolScope(Vm), Budget.Pool_);
  if (Budget.Zone_ && Exceeded(zoneScope(Vm), *Budget.Zone_))
    return TextOf(zoneScope(Vm), *Budget.Zone_);
  if (Budget.Rack_ && Exceeded(rackScope(Vm), *Budget.Rack_))
    return TextOf(rackScope(Vm), *Budget.Rack_);
  return {};
}

bool DisruptionBudgets::mayDisrupt(const fleet::Vm &Vm) const {
  return blockingReason(Vm).empty();
}

void DisruptionBudgets::recordDisruption(const fleet::Vm &Vm) {
  for (const BudgetScope &Where : {poolScope(Vm), zoneScope(Vm), rackScope(Vm)})
    ++Counts_[Where].Unavailable_;
}

std::uint32_t DisruptionBudgets::unavailableInRack(const fleet::Vm &Vm) const {
  return at(rackScope(Vm)).Unavailable_;
}

} // namespace laburnumspread::maintenance
