#pragma once

#include "maintenance/maintenancetypes.h"

namespace laburnumspread::maintenance {

/// The steps that bring all maintenance waves forward. Level-triggered: made
/// from the present state alone, so that any planner can go on where another
/// stopped, and empty when there is nothing to do.
Plan planWaves(const config::FleetTables &Tables, const Observations &Observed);

} // namespace laburnumspread::maintenance
