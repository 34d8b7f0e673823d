#include "bench/micro/fixtures.h"

#include "entry/entrystate.h"

namespace laburnumspread::bench {

namespace {

constexpr int VmsPerRack = 40;
constexpr std::uint32_t TeamLimit = 200;

std::string numbered(const char *Prefix, int Index) {
  return Prefix + std::to_string(Index);
}

} // namespace

membership::MemberId makeMemberId(int Index) {
  return {fleet::EntryName(numbered("entry-", Index)), fleet::Incarnation(1)};
}

membership::View makeView(int Members) {
  membership::View Result;
  Result.Number_ = Result.SettledThrough_ = membership::ViewNumber(1);
  for (int I = 0; I < Members; ++I) {
    membership::Member Item;
    Item.Id_ = makeMemberId(I);
    Item.Vm_ = fleet::VmName(numbered("entry-vm-", I));
    Item.Zone_ = fleet::ZoneName(numbered("z", I % DesignZones));
    Item.PeerAddress_ = "10.0.0.1:7000";
    Result.Members_.push_back(Item);
  }
  return Result;
}

config::FleetTables makeFleet(int Vms, int Pools, int Teams) {
  config::FleetTables Tables;
  for (int I = 0; I < Pools; ++I) {
    fleet::Pool Pool;
    Pool.Metadata_.Name_ = numbered("pool-", I);
    Pool.Spec_.Spare_ = I == 0;
    Tables.Pools_[Pool.Metadata_.Name_] = Pool;
  }
  for (int I = 0; I < Teams; ++I) {
    fleet::Team Team;
    Team.Metadata_.Name_ = numbered("team-", I);
    Team.Spec_.Limit_ = TeamLimit;
    Tables.Teams_[Team.Metadata_.Name_] = Team;
  }
  for (int I = 0; I < Vms; ++I) {
    fleet::Vm Vm;
    Vm.Metadata_.Name_ = numbered("vm-", I);
    Vm.Spec_.Pool_ = fleet::PoolName(numbered("pool-", I % Pools));
    Vm.Spec_.Zone_ = fleet::ZoneName(numbered("z", I % DesignZones));
    Vm.Spec_.Rack_ = fleet::RackName(numbered("rack-", I / VmsPerRack));
    Vm.Spec_.Address_ = "10.0.0.1:8000";
    Vm.Spec_.Size_ = {fleet::MilliCpus(16'000), fleet::Megabytes(32'768),
                      fleet::Accelerators(2)};
    Tables.Vms_[Vm.Metadata_.Name_] = Vm;
  }
  return Tables;
}

maintenance::VmList makeVmList(const config::FleetTables &Tables) {
  maintenance::VmList Result;
  for (const auto &[Name, Vm] : Tables.Vms_)
    Result[Name] = {true, Name + "-boot-1"};
  return Result;
}

limits::UnitLedger makeLedger(const config::FleetTables &Tables, int Members) {
  limits::UnitLedger Ledger(makeMemberId(0));
  Ledger.adoptView(makeView(Members), Start);
  for (const auto &[Name, Team] : Tables.Teams_)
    Ledger.setLimit(entry::teamSubject(Name), Team.Spec_.Limit_);
  for (const auto &[Name, Vm] : Tables.Vms_)
    Ledger.setLimit(entry::slotsSubject(Name), Vm.Spec_.Slots_.value());
  return Ledger;
}

} // namespace laburnumspread::bench
