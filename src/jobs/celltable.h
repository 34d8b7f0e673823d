#pragma once

#include "jobs/events.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace laburnumspread::jobs {

/// A run that may still be at work somewhere.
struct LiveRun {
  RunNumber Run_;
  WorkerIncarnation Worker_;
  /// Whether the worker has confirmed the start, or listed the run.
  bool Confirmed_ = false;
  /// Whether it is to be stopped, and since when by this process's clock.
  bool Stopping_ = false;
  TimePoint StoppingSince_{};
  /// Whether the log tells that it is at work though it is to be stopped.
  bool StillRunningLogged_ = false;
  /// Share of full speed at which the worker says it works, in percent.
  int Percent_ = 0;
  TimePoint StartedAt_{};
};

struct TaskRow {
  bool Done_ = false;
  std::uint32_t Failures_ = 0;
  RunNumber LastRun_;
  Checkpoint Saved_;
  /// More than one only for speculative steps.
  std::vector<LiveRun> Runs_;
  /// Not to be started again before, after a failure.
  TimePoint NotBefore_{};

  bool idle() const { return !Done_ && Runs_.empty(); }
};

/// One step of one occurrence of a job.
struct StepRow {
  std::vector<TaskRow> Tasks_;
  std::uint32_t DoneCount_ = 0;
  /// Tasks with a live run.
  std::uint32_t LiveCount_ = 0;

  bool done() const { return DoneCount_ == Tasks_.size(); }
};

struct OccurrenceRow {
  std::vector<StepRow> Steps_;
  std::uint32_t StepsDone_ = 0;

  bool done() const { return StepsDone_ == Steps_.size(); }
};

struct JobRow {
  JobSpec Spec_;
  JobState State_ = JobState::Pending;
  std::vector<OccurrenceRow> Occurrences_;
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

/// Orders for a machine, over all holders.
struct MachineOrderRow {
  /// The pool from which it was first taken.
  fleet::PoolName HomePool_;
  /// Least time that has passed since the last order left, as far as the
  /// journal tells.
  Duration SinceLastOrder_{};
  /// The order may not have left yet when the last entry was written.
  bool SendUnconfirmed_ = true;
};

/// What a worker has been given.
struct WorkerUsage {
  Resources Used_;
  std::set<RunName> Runs_;
};

/// The tables of a cell: its jobs, their tasks, and what is taken of each
/// worker's room and each workspace's upper limit. Everything that may still
/// be running counts, started, in doubt or being stopped. Changed by events
/// alone, so that replaying a journal gives the same tables.
class CellTable {
public:
  /// Attempts of a task that the queue allows; asked when a run has failed.
  using AttemptLimit = std::function<std::uint32_t(const QueueName &)>;

  /// Applies one event. Events about jobs or runs that are unknown change
  /// nothing.
  void apply(const Event &Item, TimePoint Now);

  void setAttemptLimit(AttemptLimit Limit) { AttemptLimit_ = std::move(Limit); }

  /// Completes an event that is to be applied and stored. The failure: a replay
  /// that counts a failed run by the limit of its own time tells another state
  /// of the job than callers have heard. The limit in the event is enough, as
  /// nothing else that an event does depends on the configuration.
  void recordAttemptLimit(Event &Item) const;

  const JobRow *find(const JobId &Job) const;
  const TaskRow *find(const TaskName &Task) const;
  const LiveRun *find(const RunName &Run) const;
  LiveRun *findLive(const RunName &Run);
  TaskRow *findTask(const TaskName &Task);
  const StepSpec *specOf(const TaskName &Task) const;

  /// Jobs that have not ended, in the order in which they came.
  const std::map<std::uint64_t, JobId> &open() const { return Open_; }
  /// Jobs that have ended at \p Since or later and are not forgotten.
  std::vector<JobId> endedSince(TimePoint Since) const;
  const std::map<JobId, JobRow> &jobs() const { return Jobs_; }
  const std::map<WorkerIncarnation, WorkerUsage> &workers() const {
    return Workers_;
  }
  const WorkerUsage *usageOf(const WorkerIncarnation &Worker) const;
  /// Since when a live run is to be gone: its job has ended, or it is being
  /// stopped for another reason. Empty when it is wanted, or not live.
  std::optional<TimePoint> unwantedSince(const RunName &Run) const;
  Resources usedBy(const WorkspaceName &Workspace) const;

  /// Jobs of the queue for which no task has ever been started.
  std::uint64_t waiting(const QueueName &Queue) const;

  /// Machines whose upkeep has begun, by wave.
  const std::map<WaveNumber, std::set<MachineId>> &upkeep() const {
    return Upkeep_;
  }

  /// Machines for which orders have been given.
  const std::map<MachineId, MachineOrderRow> &machineOrders() const {
    return MachineOrders_;
  }
  /// While the journal is read: time that passed before the next entry.
  void advanceTime(Duration Passed);

  /// Forgets jobs that ended before \p Before and have nothing live.
  void forgetEnded(TimePoint Before);

  /// Puts back one job of a snapshot.
  void restore(JobRow Row, TimePoint Now);

  /// The worker does not answer: what it said of its runs' progress is old.
  void resetProgress(const WorkerIncarnation &Worker);

  /// Sets the age of open jobs after a replay, from the wall clock.
  void restoreAcceptTimes(std::int64_t WallMs, TimePoint Now);

private:
  void applyEvent(const JobAccepted &Item, TimePoint Now);
  void applyEvent(const RunIntended &Item, TimePoint Now);
  void applyEvent(const RunEnded &Item, TimePoint Now);
  void applyEvent(const JobCancelled &Item, TimePoint Now);
  void applyEvent(const UpkeepBegun &Item, TimePoint Now);
  void applyEvent(const MachineOrdered &Item, TimePoint Now);
  void addLive(JobRow &Job, const RunName &Run, const LiveRun &Live);
  void taskDone(JobRow &Job, const TaskName &Task, TimePoint Now);
  void gangDone(JobRow &Job, const RunName &Run, TimePoint Now);
  void restoreTask(JobRow &Job, const TaskName &Task, TaskRow &&From,
                   TimePoint Now);
  void taskFailed(JobRow &Job, TaskRow &Task, std::uint32_t Most,
                  TimePoint Now);
  std::uint32_t attemptLimit(const QueueName &Queue) const;
  void endJob(JobRow &Job, JobState State, TimePoint Now);
  JobRow *mutableJob(const JobId &Job);

  std::map<JobId, JobRow> Jobs_;
  std::map<JobId, std::uint64_t> Order_;
  std::map<std::uint64_t, JobId> Open_;
  std::uint64_t NextOrder_ = 1;
  std::map<WorkerIncarnation, WorkerUsage> Workers_;
  std::map<WorkspaceName, Resources> Workspaces_;
  std::map<QueueName, std::uint64_t> Waiting_;
  std::deque<std::pair<TimePoint, JobId>> Ended_;
  std::map<WaveNumber, std::set<MachineId>> Upkeep_;
  std::map<MachineId, MachineOrderRow> MachineOrders_;
  AttemptLimit AttemptLimit_;
};

} // namespace laburnumspread::jobs
