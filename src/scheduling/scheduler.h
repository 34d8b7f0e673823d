#pragma once

#include "framework/metrics/countsby.h"
#include "jobs/cellconfig.h"
#include "jobs/celltable.h"
#include "scheduling/advicetable.h"
#include "scheduling/features.h"
#include "scheduling/poolcapacity.h"
#include "scheduling/runtimeestimator.h"
#include "scheduling/workspaceshares.h"
#include "workers/workertypes.h"

#include <limits>
#include <map>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

/// Decides which tasks to start and on which workers. The planning functions
/// have no side effects: they map tables to a list of starts.
namespace laburnumspread::scheduling {

using framework::clock::Duration;
using framework::clock::TimePoint;
using jobs::CellConfig;
using jobs::CellTable;
using workers::WorkerRecord;

/// A worker that can accept tasks now.
struct Candidate {
  const WorkerRecord *Worker_ = nullptr;
  jobs::Resources Free_;
  /// Penalty for tasks that failed or hung on the worker recently; workers with
  /// a lower value are preferred.
  double FailureScore_ = 0;
  /// Whether its tasks take longer than those of other workers. Speculative
  /// steps prefer others.
  bool Slow_ = false;
  /// Whether it has not replied to this leader yet, so that its first start
  /// takes one exchange more.
  bool Unproven_ = false;
  /// Whether it gets one task only, because it did not reply to the last
  /// orders.
  bool OnTrial_ = false;
  /// Whether it can take no further task, whatever its demand.
  bool Full_ = false;

  bool fits(const jobs::Resources &Demand) const {
    return !Full_ && Demand.fitsInto(Free_);
  }

  /// Reserves the room of a task that is planned on it.
  void take(const jobs::Resources &Demand) {
    Free_ -= Demand;
    Full_ = OnTrial_;
  }
};

/// The time of a scheduling pass, by both clocks.
struct PlanTime {
  TimePoint Now_{};
  /// Wall clock time in Unix milliseconds, for jobs with scheduled occurrences.
  std::int64_t WallMs_ = 0;
  /// Expected time until a start that is planned now has reached its worker.
  Duration StartDelay_{};
  /// Starts a second that the leader sends, if that bounds what it plans.
  std::optional<double> StartsPerSecond_ = std::nullopt;
};

/// Resources that are added to a pool when a machine that was ordered there
/// arrives.
struct CapacityArrival {
  jobs::PoolName Pool_;
  jobs::Resources Capacity_;
  TimePoint At_{};
};

/// A step with tasks that can start now; see internal/placement.h.
struct ReadyStep;

/// How a divided pool is shared by the workspaces that have ready tasks.
struct PoolDivision {
  jobs::PoolName Pool_;
  /// Recent and present use as a share of the pool, divided by the weight; the
  /// lowest goes first.
  std::vector<std::pair<jobs::WorkspaceName, double>> WeightedUsages_;
};

/// Expected work of a workspace in a pool: running and waiting finite tasks.
struct WorkspaceBacklog {
  /// Position in the workspace's order of work: fillers last, then by priority.
  using Rank = std::pair<bool, std::int64_t>;

  struct Part {
    ResourceTime All_;
    /// Work of jobs that have begun and can still be in time.
    ResourceTime Begun_;
    /// Work of each job that has not begun and can still be in time.
    std::vector<ResourceTime> Pending_;
  };

  double Weight_ = 1;
  /// Upper limit on what it holds; 0 for no limit.
  jobs::Resources MaxAllowed_;
  std::map<Rank, Part> Parts_;

  /// Returns that of a workspace without work.
  static WorkspaceBacklog of(const CellConfig &Config,
                             const jobs::WorkspaceName &Workspace);
};

/// Backlog of a short pool, for admission control; see admission.h.
struct PoolBacklog {
  jobs::PoolName Pool_;
  TimePoint At_{};
  /// Resources for finite tasks, machines on their way included.
  PoolCapacity Capacity_;
  /// Resources that no task holds after the pass.
  jobs::Resources Free_;
  absl::flat_hash_map<jobs::WorkspaceName, WorkspaceBacklog> Workspaces_;
};

/// Why a pass does not start a ready task.
enum class WaitReason {
  /// The configuration does not contain the job's queue.
  UnknownQueue,
  /// The workspace holds as much as its upper limit allows.
  WorkspaceLimit,
  /// The pool has no worker that accepts tasks.
  NoWorkers,
  /// No worker of the pool has room for it.
  NoRoom,
  /// Workers have room, but lack the label, run enough of the step's tasks, or
  /// are not approved by the advisor.
  NotAllowed,
  /// The pass had planned as many starts as it may.
  StartLimit,
};

/// Number of ready tasks by the reason why they were not started.
using WaitCounts =
    framework::metrics::CountsBy<WaitReason, WaitReason::StartLimit>;

/// Result of one scheduling pass.
struct Plan {
  std::vector<jobs::RunIntended> Starts_;
  /// Number of finite tasks that were ready, with those that are started.
  std::size_t ReadyTasks_ = 0;
  /// Number of tasks that are ready and were compared with the workers, but did
  /// not fit on any.
  std::size_t UnplacedTasks_ = 0;
  /// The ready tasks that are not started, finite and long-running ones.
  WaitCounts Waiting_;
  /// The pools of these tasks.
  absl::flat_hash_set<jobs::PoolName> FullPools_;
  /// Steps with tasks that were not placed, and whose queue has an advisor that
  /// must approve the workers, in scheduling order.
  std::vector<StepName> AwaitingAdvice_;
  /// The short pools that are divided by share.
  std::vector<PoolDivision> Divisions_;
  /// Backlogs of all short pools that have capacity.
  std::vector<PoolBacklog> Backlogs_;
};

/// Returns the job's allowance, the time from its acceptance to its deadline:
/// the queue's target latency plus the expected critical path times the queue's
/// stretch factor.
Duration allowanceOf(const jobs::JobSpec &Job, const jobs::QueueConfig &Queue,
                     const RunTimeEstimator &Estimator);

/// Returns the job's deadline: its acceptance time plus its allowance.
TimePoint deadlineOf(const jobs::JobRow &Job, const jobs::QueueConfig &Queue,
                     const RunTimeEstimator &Estimator);

/// Plans the starts of a cell's tasks.
class Scheduler {
public:
  Scheduler(const CellTable &Table, const CellConfig &Config,
            const RunTimeEstimator &Estimator, const AdviceTable &Advised,
            const WorkspaceShares &Shares, Features Enabled = {})
      : Table_(Table), Config_(Config), Estimator_(Estimator),
        Advised_(Advised), Shares_(Shares), Enabled_(Enabled) {}

  /// Assigns ready tasks to the workers until no more fit or \p MaxStarts are
  /// planned. A gang is planned whole, also past that. \p Arrivals are the
  /// machines on their way, which a pool that is short of workers counts on.
  Plan plan(std::vector<Candidate> Workers, PlanTime At,
            std::size_t MaxStarts = NoLimit,
            const std::vector<CapacityArrival> &Arrivals = {}) const;

  static constexpr std::size_t NoLimit =
      std::numeric_limits<std::size_t>::max();

private:
  /// Counts the ready tasks of unknown queues in \p Waiting.
  std::vector<ReadyStep> findReadySteps(PlanTime At, WaitCounts &Waiting) const;

  const CellTable &Table_;
  const CellConfig &Config_;
  const RunTimeEstimator &Estimator_;
  const AdviceTable &Advised_;
  const WorkspaceShares &Shares_;
  Features Enabled_;
};

} // namespace laburnumspread::scheduling
