#pragma once

#include "scheduling/internal/shortpools.h"

namespace laburnumspread::scheduling {

/// Sums up the work of the short pools by workspace, for admission control.
/// \p Steps are in their final order of urgency. \p Starts are those of the
/// present pass, which the table does not hold yet. Pools without capacity are
/// left out: nothing can be projected for them.
std::vector<PoolBacklog>
findBacklogs(const ShortPools &Short, const std::vector<ReadyStep> &Steps,
             const std::vector<jobs::RunIntended> &Starts,
             const CellTable &Table, const CellConfig &Config,
             const RunTimeEstimator &Estimator, PlanTime At);

} // namespace laburnumspread::scheduling
