#pragma once

#include "capacity/poolplanner.h"
#include "cell/celltypes.h"
#include "jobs/celltable.h"
#include "scheduling/runtimeestimator.h"

namespace laburnumspread::cell {

/// Window over which the arrival rate of work is measured. It is about as long
/// as the move of a machine: a shorter window mistakes random variation for
/// demand, a longer one detects a peak only after its backlog has grown.
constexpr Duration ArrivalWindow = std::chrono::milliseconds(1000);

/// Returns the demand of the open jobs on each pool at \p Now. Filler tasks and
/// steps that wait for other steps create no demand. Racks matter if
/// \p RemoteFactor is above 1.
std::map<PoolName, capacity::PoolDemand>
computePoolDemand(const jobs::CellTable &Table, const CellConfig &Config,
                  const scheduling::RunTimeEstimator &Estimates, TimePoint Now,
                  double RemoteFactor = 1);

} // namespace laburnumspread::cell
