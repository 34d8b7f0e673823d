#pragma once

#include "config/fleettables.h"
#include "limits/unitledger.h"
#include "maintenance/vmdirectory.h"
#include "membership/viewchanges.h"

#include <string>

namespace laburnumspread::bench {

using framework::clock::TimePoint;

constexpr TimePoint Start{std::chrono::hours(480'000)};

/// The design size that the users gave.
constexpr int DesignVms = 11'000;
constexpr int DesignTeams = 430;
constexpr int DesignPools = 54;
constexpr int DesignZones = 6;

membership::MemberId makeMemberId(int Index);
membership::View makeView(int Members);

/// Returns tables of \p Vms VMs in \p Pools pools and racks of 40, and of
/// \p Teams teams.
config::FleetTables makeFleet(int Vms, int Pools, int Teams);
maintenance::VmList makeVmList(const config::FleetTables &Tables);

/// Returns a ledger with the limits of the fleet's teams and slots, in a view
/// of \p Members members.
limits::UnitLedger makeLedger(const config::FleetTables &Tables, int Members);

} // namespace laburnumspread::bench
