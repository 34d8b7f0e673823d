#include "maintenance/availability.h"

namespace laburnumspread::maintenance {

bool isAvailable(const fleet::Vm &Vm, const VmList &List) {
  const auto Row = List.find(Vm.Metadata_.Name_);
  return Vm.Status_.Phase_ == fleet::VmPhase::Active && !Vm.Spec_.Drain_ &&
         Row != List.end() && Row->second.Live_;
}

Availability::Place Availability::poolPlace(const fleet::Vm &Vm) {
  return {fleet::currentPool(Vm).str(), "", ""};
}
Availability::Place Availability::zonePlace(const fleet::Vm &Vm) {
  return {fleet::currentPool(Vm).str(), Vm.Spec_.Zone_.str(), "zone"};
}
Availability::Place Availability::rackPlace(const fleet::Vm &Vm) {
  return {fleet::currentPool(Vm).str(), Vm.Spec_.Rack_.str(), "rack"};
}

Availability::Availability(const config::FleetTables &Tables,
                           const VmList &List)
    : Tables_(Tables) {
  for (const auto &[Name, Vm] : Tables.Vms_) {
    const bool Down = !isAvailable(Vm, List);
    for (const Place &Where : {poolPlace(Vm), zonePlace(Vm), rackPlace(Vm)}) {
      Count &Row = Counts_[Where];
      ++Row.Total_;
      Row.Down_ += Down;
    }
  }
}

const Availability::Count &Availability::at(const Place &Where) const {
  static const Count None;
  const auto Row = Counts_.find(Where);
  return Row == Counts_.end() ? None : Row->second;
}

std::string Availability::reason(const fleet::Vm &Vm) const {
  const auto *Pool = Tables_.find<fleet::Pool>(fleet::currentPool(Vm).str());
  if (!Pool)
    return "pool " + fleet::currentPool(Vm).str() + " is not declared";
  const fleet::AvailabilityBudget &Budget = Pool->Spec_.Budget_;
  auto Exceeded = [&](const Place &Where,
                      const fleet::CountOrPercent &Allowed) {
    const Count &Row = at(Where);
    return Row.Down_ + 1 > Allowed.resolve(Row.Total_);
  };
  auto TextOf = [&](const Place &Where, const fleet::CountOrPercent &Allowed) {
    const Count &Row = at(Where);
    std::string Text = "pool " + std::string(Where.Pool_);
    if (!Where.Kind_.empty())
      Text +=
          ", " + std::string(Where.Kind_) + " " + std::string(Where.Domain_);
    return Text + ": " + std::to_string(Row.Down_) + " of " +
           std::to_string(Row.Total_) +
           " VMs are unavailable, the budget allows " +
           std::to_string(Allowed.resolve(Row.Total_));
  };
  if (Exceeded(poolPlace(Vm), Budget.Pool_))
    return TextOf(poolPlace(Vm), Budget.Pool_);
  if (Budget.Zone_ && Exceeded(zonePlace(Vm), *Budget.Zone_))
    return TextOf(zonePlace(Vm), *Budget.Zone_);
  if (Budget.Rack_ && Exceeded(rackPlace(Vm), *Budget.Rack_))
    return TextOf(rackPlace(Vm), *Budget.Rack_);
  return {};
}

bool Availability::mayTake(const fleet::Vm &Vm) const {
  return reason(Vm).empty();
}

void Availability::take(const fleet::Vm &Vm) {
  for (const Place &Where : {poolPlace(Vm), zonePlace(Vm), rackPlace(Vm)})
    ++Counts_[Where].Down_;
}

std::uint32_t Availability::downInRack(const fleet::Vm &Vm) const {
  return at(rackPlace(Vm)).Down_;
}

} // namespace laburnumspread::maintenance
