#pragma once

#include "scheduling/scheduler.h"

/// Admission control: a job whose projected end is of no use is refused.
namespace laburnumspread::scheduling {

/// A result is of some use to the caller up to this many times the job's
/// allowance after its submission, and of none later.
constexpr int UsefulAllowances = 3;

/// Answer to a submission. All times are from the submission on.
struct Admission {
  bool Accepted_ = true;
  /// Projected end of the job, and the latest end that is of use.
  Duration Projected_{};
  Duration Useful_{};
  /// When to send a refused job again.
  Duration RetryAfter_{};
};

/// Returns a delay between \p Least and \p Least + \p Spread that depends on
/// the job only, so that callers that were refused together do not return
/// together.
Duration spreadDelay(const jobs::JobId &Job, Duration Least, Duration Spread);

/// Returns the job's position in its workspace's order of work.
WorkspaceBacklog::Rank rankOf(const jobs::JobSpec &Job,
                              const jobs::QueueConfig &Queue);

/// Projects when the backlogs of the short pools will be done.
///
/// A pool's capacity is divided by weight among the workspaces that have work
/// left; when one has none, the others get its part (processor sharing). All
/// workspaces then progress alike, each by its weight, so the work that is done
/// in the pool by the time a workspace has done its own can be told without
/// following the course of events: each other one has done either all of its
/// work, or its weight's worth of the same progress.
///
/// A job is accepted if it is projected to end while it is of use after all
/// work of its workspace, or if its turn comes in time in the order in which
/// the workspace is served: there, late jobs, and larger ones that have not
/// begun, wait for it. Without the second rule, a backlog of late jobs would
/// keep out those that could still be in time. The job's own work does not
/// count in it, or large jobs would hardly ever be accepted by it.
class AdmissionProjection {
public:
  /// Limits of the delay of a refused job. Earlier retries cost more than they
  /// gain; later, the projection is worth little.
  static constexpr Duration MinRetryAfter = std::chrono::milliseconds(250);
  static constexpr Duration MaxRetryAfter = std::chrono::seconds(10);

  /// Replaces the projection by that of a scheduling pass.
  void rebuild(std::vector<PoolBacklog> Pools);

  /// Decides about a new job that is submitted at \p Now. Jobs of pools without
  /// a projection, long-running jobs and jobs with scheduled occurrences are
  /// accepted.
  Admission decide(const jobs::JobSpec &Job, const CellConfig &Config,
                   const RunTimeEstimator &Estimator, TimePoint Now) const;

  /// Adds a job that was accepted after the pass.
  void add(const jobs::JobSpec &Job, const CellConfig &Config,
           const RunTimeEstimator &Estimator);

private:
  absl::flat_hash_map<jobs::PoolName, PoolBacklog> Pools_;
};

} // namespace laburnumspread::scheduling
