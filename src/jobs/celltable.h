#pragma once

#include "jobs/occurrences.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include <absl/container/flat_hash_map.h>

namespace laburnumspread::jobs {

/// State of one job.
struct JobRow {
  JobSpec Spec_;
  JobState State_ = JobState::Pending;
  OccurrenceTable Occurrences_;
  TimePoint AcceptedAt_{};
  /// When it was done, failed or cancelled.
  TimePoint EndedAt_{};
  std::uint32_t LiveRuns_ = 0;
  std::uint32_t OccurrencesDone_ = 0;

  bool ended() const {
    return State_ == JobState::Done || State_ == JobState::Failed ||
           State_ == JobState::Cancelled;
  }
};

/// The orders given for a machine, by this leader and earlier ones.
struct MachineOrderRow {
  /// The pool that the machine was in before its first order.
  fleet::PoolName HomePool_;
  /// Lower bound on the time since the last order was sent, computed from the
  /// journal.
  Duration SinceLastOrder_{};
  /// Whether the order may still have been unsent when the latest journal entry
  /// was written.
  bool SendUnconfirmed_ = true;
};

/// Runs of a worker and the resources allocated to them.
struct WorkerUsage {
  Resources Used_;
  std::set<RunName> Runs_;
  /// How many of the runs end by themselves.
  std::size_t FiniteRuns_ = 0;
};

/// Resources by queue and workspace.
using FiniteUsage =
    absl::flat_hash_map<std::pair<QueueName, WorkspaceName>, Resources>;

/// State of a cell: its jobs, their tasks, and the resources allocated per
/// worker and per workspace. Every run that may still be executing counts:
/// confirmed ones, unconfirmed ones, and those being stopped. The state changes
/// only through events, so that replaying the journal reproduces it.
class CellTable {
public:
  /// Returns the maximum number of attempts per task of a queue; called when a
  /// run has failed.
  using AttemptLimit = std::function<std::uint32_t(const QueueName &)>;

  CellTable() = default;
  // The indexes point into the maps, which keep their rows when moved.
  CellTable(CellTable &&) = default;
  CellTable &operator=(CellTable &&) = default;

  /// Applies one event. Events of unknown jobs or runs have no effect.
  void apply(const Event &Item, TimePoint Now);

  void setAttemptLimit(AttemptLimit Limit) { AttemptLimit_ = std::move(Limit); }

  /// Sets the attempt limit of an event that is about to be applied and stored.
  /// Without it, a replay would count a failed run against the limit configured
  /// at the time of the replay, and could yield another job state than callers
  /// have been told.
  /// No other effect of an event depends on the configuration.
  void recordAttemptLimit(Event &Item) const;

  /// The lookups return nullptr if the item is unknown, or belongs to an
  /// occurrence that is settled.
  const JobRow *find(const JobId &Job) const;
  const TaskRow *find(const TaskName &Task) const;
  const LiveRun *find(const RunName &Run) const;
  LiveRun *findLive(const RunName &Run);
  /// Finds only tasks of occurrences that have begun.
  TaskRow *findTask(const TaskName &Task);
  const StepSpec *specOf(const TaskName &Task) const;
  /// Returns the checkpoint from which the next run of a known task resumes, or
  /// an empty one. A checkpoint of any member of a gang is valid for all, and
  /// all must resume from the same, so it is that of the first which has one.
  const Checkpoint &resumePoint(const TaskName &Task) const;

  /// Jobs that have not ended, in the order of their acceptance.
  const std::map<std::uint64_t, JobId> &open() const { return Open_; }
  /// Jobs that ended at \p Since or later and have not been removed, newest
  /// first.
  std::vector<JobId> endedSince(TimePoint Since) const;
  const std::map<JobId, JobRow> &jobs() const { return Jobs_; }
  const std::map<WorkerIncarnation, WorkerUsage> &workers() const {
    return Workers_;
  }
  const WorkerUsage *usageOf(const WorkerIncarnation &Worker) const;
  /// Live runs that were started while another run of their task was live.
  const std::set<RunName> &copies() const { return Copies_; }
  /// Returns since when a live run is unwanted, because its job has ended,
  /// another run of its task is done, or it is being stopped for another
  /// reason. Returns nullopt if the run is wanted or not live.
  std::optional<TimePoint> unwantedSince(const RunName &Run) const;
  /// Resources of all live runs of the workspace.
  Resources usedBy(const WorkspaceName &Workspace) const;
  /// Resources allocated to live runs of finite tasks.
  const FiniteUsage &finiteUsage() const { return FiniteUsage_; }

  /// Number of open jobs of the queue of which no task has been started yet.
  std::uint64_t waiting(const QueueName &Queue) const;

  /// Number of rows that the jobs take (OccurrenceTable).
  std::uint64_t rows() const { return Rows_; }

  /// Number of open jobs by queue; only queues that have any.
  const std::map<QueueName, std::uint64_t> &openByQueue() const {
    return OpenByQueue_;
  }

  /// The recorded configurations of queues, by name.
  const std::map<QueueName, QueueConfig> &queueRecords() const {
    return QueueRecords_;
  }
  /// Removes the records of queues that have no open job and are not in force.
  void forgetQueues(const CellConfig &InForce);

  /// Machines whose upkeep has started, by wave.
  const std::map<WaveNumber, std::set<MachineId>> &upkeep() const {
    return Upkeep_;
  }

  /// Machines for which orders have been given.
  const std::map<MachineId, MachineOrderRow> &machineOrders() const {
    return MachineOrders_;
  }
  /// Called while the journal is replayed, with the time that passed before the
  /// next entry; adds it to SinceLastOrder_ of the machine orders.
  void advanceTime(Duration Passed);

  /// Removes jobs that ended before \p Before, up to the first one that still
  /// has live runs.
  void forgetEnded(TimePoint Before);

  /// Adds one job from a snapshot, before its tasks and settled occurrences.
  /// Returns false, and has no effect, if the job is known.
  bool restore(const JobSpec &Spec, JobState State, TimePoint Now);

  /// Adds a task of a job from a snapshot, after restore(). Has no
  /// effect if the job or the task is unknown.
  void restoreTask(const TaskName &Task, TaskRow Row, TimePoint Now);

  /// Records occurrences of a job that are settled, from a snapshot: those from
  /// \p First up to but not including \p End.
  void restoreSettled(const JobId &Job, std::uint32_t First, std::uint32_t End,
                      TimePoint Now);

  /// Sets the reported speed of the worker's runs to 0, because its last report
  /// is outdated: the worker does not respond.
  void resetProgress(const WorkerIncarnation &Worker);

  /// Recomputes the acceptance times of open jobs after a replay, by the wall
  /// clock (Unix milliseconds). Ages are limited to one hour, in case a clock
  /// was set wrongly.
  void restoreAcceptTimes(std::int64_t WallMs, TimePoint Now);

private:
  void applyEvent(const JobAccepted &Item, TimePoint Now);
  void applyEvent(const RunIntended &Item, TimePoint Now);
  void applyEvent(const RunEnded &Item, TimePoint Now);
  void applyEvent(const JobCancelled &Item, TimePoint Now);
  void applyEvent(const UpkeepBegun &Item, TimePoint Now);
  void applyEvent(const MachineOrdered &Item, TimePoint Now);
  void applyEvent(const QueueRecorded &Item, TimePoint Now);
  void addLive(JobRow &Job, const RunName &Run, LiveRun Live);
  void taskDone(JobRow &Job, const TaskName &Task, TimePoint Now);
  TaskRow *touchTask(JobRow &Job, const TaskName &Task);
  void settle(JobRow &Job, std::uint32_t Occurrence);
  void occurrenceDone(JobRow &Job, TimePoint Now);
  void gangDone(JobRow &Job, const RunName &Run, TimePoint Now);
  void restoreTask(JobRow &Job, const TaskName &Task, TaskRow &&From,
                   TimePoint Now);
  void taskFailed(JobRow &Job, TaskRow &Task, std::uint32_t MaxAttempts,
                  TimePoint Now);
  std::uint32_t attemptLimit(const QueueName &Queue) const;
  void endJob(JobRow &Job, JobState State, TimePoint Now);
  JobRow *mutableJob(const JobId &Job);
  WorkerUsage &addUsage(const WorkerIncarnation &Worker);
  void removeUsage(const WorkerIncarnation &Worker);
  void removeFiniteUsage(const JobSpec &Job, const Resources &Part);

  // The maps are sorted, so that what is iterated does not depend on addresses.
  // The indexes serve look-ups, of which there are many for each run.
  std::map<JobId, JobRow> Jobs_;
  absl::flat_hash_map<JobId, JobRow *> JobIndex_;
  absl::flat_hash_map<JobId, std::uint64_t> Order_;
  std::map<std::uint64_t, JobId> Open_;
  std::uint64_t NextOrder_ = 1;
  std::uint64_t Rows_ = 0;
  std::map<WorkerIncarnation, WorkerUsage> Workers_;
  absl::flat_hash_map<WorkerIncarnation, WorkerUsage *> WorkerIndex_;
  absl::flat_hash_map<WorkspaceName, Resources> Workspaces_;
  FiniteUsage FiniteUsage_;
  std::set<RunName> Copies_;
  absl::flat_hash_map<QueueName, std::uint64_t> Waiting_;
  std::map<QueueName, std::uint64_t> OpenByQueue_;
  std::map<QueueName, QueueConfig> QueueRecords_;
  std::deque<std::pair<TimePoint, JobId>> Ended_;
  std::map<WaveNumber, std::set<MachineId>> Upkeep_;
  std::map<MachineId, MachineOrderRow> MachineOrders_;
  AttemptLimit AttemptLimit_;
};

} // namespace laburnumspread::jobs
