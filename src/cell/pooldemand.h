#pragma once

#include "capacity/poolplanner.h"
#include "cell/celltypes.h"
#include "jobs/celltable.h"
#include "scheduling/runtimeestimator.h"

namespace laburnumspread::cell {

/// Jobs that were taken within this time tell how fast work comes in. About as
/// long as a move of a machine: a shorter one takes chance for demand, a longer
/// one sees a peak only when its queue has grown.
constexpr Duration ArrivalWindow = std::chrono::milliseconds(1000);

/// What the open jobs ask of each pool at \p Now. Filling tasks ask for
/// nothing, and neither do steps that wait for others.
std::map<PoolName, capacity::PoolDemand>
computePoolDemand(const jobs::CellTable &Table, const CellConfig &Config,
                  const scheduling::RunTimeEstimator &Estimates, TimePoint Now);

} // namespace laburnumspread::cell
