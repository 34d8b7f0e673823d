#pragma once

#include "maintenance/maintenancetypes.h"

namespace laburnumspread::maintenance {

/// Plans the next steps of all maintenance waves. Level-triggered: depends only
/// on the current state, so any planner can continue where another stopped. The
/// plan is empty if there is nothing to do.
Plan planWaves(const config::FleetTables &Tables, const Observations &Observed);

} // namespace laburnumspread::maintenance
