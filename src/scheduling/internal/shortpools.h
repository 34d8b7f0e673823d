#pragma once

#include "scheduling/internal/placement.h"
#include "scheduling/workspaceshares.h"

#include <absl/container/flat_hash_map.h>

namespace laburnumspread::scheduling {

/// A pool whose ready tasks do not all fit on its workers.
struct ShortPool {
  /// Resources of its workers, and the part that is not allocated.
  Resources Capacity_;
  Resources Free_;
  /// Resources that are free or held by finite tasks.
  Resources Finite_;
  /// Machines on their way to it.
  std::vector<CapacityArrival> Arrivals_;
  /// Demand of the ready finite tasks, and what the running ones hold.
  absl::flat_hash_map<jobs::WorkspaceName, Resources> Ready_;
  absl::flat_hash_map<jobs::WorkspaceName, Resources> Running_;
  /// Share of the finite resources, for each unit of weight, of the workspaces
  /// that demand more than that. Infinite if all demands fit.
  double SharePerWeight_ = 0;
  /// Whether a workspace demands so much more than its share that the pool is
  /// divided by share. Without, the common order of work serves the most jobs
  /// in time, and jobs would be made late for no one's benefit.
  bool Divided_ = false;

  /// Returns the part of the pool's finite resources, from 0 to 1, that a
  /// workspace of the given weight can have beside the others: its share, and
  /// what those that want less than theirs leave.
  double partFor(double Weight) const;
};

/// The short pools of a scheduling pass, by name.
using ShortPools = absl::flat_hash_map<jobs::PoolName, ShortPool>;

/// Finds the pools that are short, and how they are divided.
ShortPools findShortPools(const std::vector<ReadyStep> &Steps,
                          const std::vector<Candidate> &Workers,
                          const std::vector<CapacityArrival> &Arrivals,
                          const CellTable &Table, const CellConfig &Config);

/// Number of tasks of a step that are not done and do not run.
std::size_t idleTasks(const jobs::StepRow &Row);

/// Returns \p Count times the resources.
Resources times(const Resources &Each, std::size_t Count);

} // namespace laburnumspread::scheduling
