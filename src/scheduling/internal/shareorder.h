#pragma once

#include "scheduling/internal/shortpools.h"

namespace laburnumspread::scheduling {

/// Yields ready steps in the order in which they are placed.
///
/// The finite steps of a divided pool take turns by workspace: of those that
/// can still be in time, the one whose workspace has the lowest weighted usage
/// comes next, then the deferred and the late ones in the same way. All other
/// steps keep the scheduling order: long-running tasks come first in any case.
class ShareOrder {
public:
  /// \p Steps are sorted by scheduling order. They and \p Short must outlive
  /// this.
  ShareOrder(const std::vector<ReadyStep> &Steps, const ShortPools &Short,
             const jobs::CellConfig &Config, const WorkspaceShares &Shares);

  /// Returns the weighted usages at the start of the pass.
  std::vector<PoolDivision> divisions() const;
  /// Returns the step to place next, or nullptr at the end.
  const ReadyStep *next();
  /// Adds \p Tasks of the step, which were just placed, to what its workspace
  /// holds.
  void charge(const ReadyStep &Step, std::size_t Tasks);

private:
  /// The waiting steps of a workspace in a pool, the most urgent one first.
  struct WorkspaceQueue {
    std::vector<const ReadyStep *> Steps_;
    std::size_t Next_ = 0;
    double Weight_ = 1;
    /// Recent and present use as a share of the pool, divided by the weight.
    double WeightedUsage_ = 0;

    bool empty() const { return Next_ == Steps_.size(); }
  };
  struct Pool {
    const ShortPool *Short_ = nullptr;
    absl::flat_hash_map<jobs::WorkspaceName, WorkspaceQueue> Queues_;
  };

  Pool *poolOf(const ReadyStep &Step);
  static WorkspaceQueue &nextToServe(Pool &From);

  const std::vector<ReadyStep> &Steps_;
  std::size_t Position_ = 0;
  absl::flat_hash_map<jobs::PoolName, Pool> Pools_;
};

} // namespace laburnumspread::scheduling
