#pragma once

#include "scheduling/internal/shortpools.h"
#include "scheduling/poolcapacity.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace laburnumspread::scheduling {

/// Projects the backlog of each short pool and finds the jobs that have to wait
/// for the others. In a pool that is divided by share, each workspace is
/// projected on its own, on the part of the pool that it can have: the fewest
/// late jobs of one are not bought with another's.
///
/// With the least slack first, a pool that is short of workers for long starts
/// every job at the last moment, and nearly all end late. The backlog itself
/// shows the shortage: in the order of their latest starts, the jobs are put on
/// the capacity one after the other. If each is reached in time, nothing
/// changes. If not, some job ends late whatever is done, and the fewest are
/// chosen (Moore and Hodgson): of the jobs so far, the one whose deferral frees
/// the most work, but none that has begun. Without a gain in jobs that are
/// reached in time the order stays as it is. Each pass decides anew.
class BacklogProjection {
public:
  BacklogProjection(const CellTable &Table, const CellConfig &Config,
                    const RunTimeEstimator &Estimator, PlanTime At)
      : Table_(Table), Config_(Config), Estimator_(Estimator), At_(At) {}

  /// Marks the steps of the jobs that have to wait as deferred. \p Steps are in
  /// scheduling order. Returns whether there are any.
  bool defer(std::vector<ReadyStep> &Steps, const ShortPools &Short);

private:
  /// A job and the expected work of its tasks that do not run.
  struct JobWork {
    const jobs::JobRow *Job_ = nullptr;
    ResourceTime Work_;
  };

  /// The projection of a pool, or of a workspace in a divided one, in
  /// scheduling order.
  struct Projection {
    /// Takes out the job that frees the most work. Returns it.
    const jobs::JobRow *deferLargest();

    PoolCapacity Capacity_;
    /// Work of running tasks and of the jobs before the one that is looked at,
    /// without and with those that are deferred.
    ResourceTime Work_;
    ResourceTime WorkOfAll_;
    /// Jobs of the current priority that may be deferred, by their work.
    std::multimap<double, JobWork> Deferrable_;
    std::vector<const jobs::JobRow *> Deferred_;
    /// Jobs that are reached in time if others are deferred, and if none is.
    std::size_t ReachedByDeferral_ = 0;
    std::size_t ReachedOtherwise_ = 0;
    std::pair<bool, std::int64_t> Priority_;
    /// Demand of the jobs added so far, against the workspaces' limits.
    absl::flat_hash_map<jobs::WorkspaceName, Resources> Waiting_;
  };
  using Key = std::pair<jobs::PoolName, jobs::WorkspaceName>;
  /// Stands for all workspaces of a pool that is not divided.
  inline static const jobs::WorkspaceName AllWorkspaces{"(all)"};

  void addCapacity(const ShortPools &Short);
  void addRunningTasks();
  static void addCapacity(const ShortPool &Pool, double Part, Projection &Into);
  /// Returns the projection that the workspace's work belongs to, or nullptr if
  /// the pool is not short, or is divided and the workspace has no ready tasks.
  Projection *find(const jobs::PoolName &Pool,
                   const jobs::WorkspaceName &Workspace);
  void addJob(Projection &Into, const ReadyStep &Step);
  /// Whether the workspace's limit keeps the step from starting.
  bool heldByLimit(Projection &Into, const ReadyStep &Step) const;
  JobWork waitingWork(const jobs::JobRow &Job) const;
  ResourceTime waitingWork(const jobs::JobRow &Job,
                           const jobs::OccurrenceRow &Occurrence) const;
  /// Latest start of the step that still counts as in time: a projection that
  /// is off by less than run times usually deviate proves nothing.
  TimePoint latestStart(const ReadyStep &Step) const;

  const CellTable &Table_;
  const CellConfig &Config_;
  const RunTimeEstimator &Estimator_;
  PlanTime At_;
  absl::flat_hash_map<Key, Projection> Projections_;
};

} // namespace laburnumspread::scheduling
