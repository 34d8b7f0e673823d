#pragma once

#include "jobs/cellconfig.h"
#include "jobs/celltable.h"

#include <absl/container/flat_hash_map.h>

/// Weighted fair shares of the workspaces in a pool.
namespace laburnumspread::scheduling {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// Returns the larger of \p Part's shares of the pool's processors and memory;
/// above 1 if it exceeds the pool. Accelerators do not count.
double dominantShare(const jobs::Resources &Part, const jobs::Resources &Pool);

/// Returns the workspace's weight. One that is missing is 1. Zero or less
/// counts as a small one, so that the workspace still makes progress.
double weightOf(const jobs::CellConfig &Config,
                const jobs::WorkspaceName &Workspace);

/// What the finite tasks of each workspace have used lately in each pool.
///
/// The averages decay exponentially; their time constant limits how long past
/// use lowers a workspace's priority. They are kept in memory only: a new
/// leader starts them from what runs when it takes over.
class WorkspaceShares {
public:
  /// Time constant of the averages.
  static constexpr Duration TimeConstant = std::chrono::milliseconds(1500);

  /// Advances the averages to \p Now, for the present usage.
  void update(const jobs::CellTable &Table, const jobs::CellConfig &Config,
              TimePoint Now);

  /// Returns the average of what the workspace's finite tasks held lately, as a
  /// dominant share of a pool of \p Capacity.
  double pastShare(const jobs::PoolName &Pool, const jobs::Resources &Capacity,
                   const jobs::WorkspaceName &Workspace) const;

private:
  struct Usage {
    jobs::Resources Running_;
    double PastMilliCpus_ = 0;
    double PastMemoryMb_ = 0;

    /// Moves the averages by \p Fraction of their distance to Running_.
    void averageIn(double Fraction);
    bool negligible() const;
  };

  absl::flat_hash_map<jobs::PoolName,
                      absl::flat_hash_map<jobs::WorkspaceName, Usage>>
      Pools_;
  TimePoint UpdatedAt_{};
};

} // namespace laburnumspread::scheduling
