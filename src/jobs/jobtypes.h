#pragma once

#include "fleet/fleettypes.h"
#include "framework/clock/clock.h"
#include "framework/ids/internedname.h"
#include "framework/ids/strongid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Jobs as submitted by callers, and the state of their execution.
namespace laburnumspread::jobs {

using framework::clock::Duration;
using framework::clock::TimePoint;

using JobId = framework::ids::InternedName<struct JobIdTag>;
using QueueName = framework::ids::InternedName<struct QueueNameTag>;
using WorkspaceName = framework::ids::InternedName<struct WorkspaceNameTag>;
using ImageName = framework::ids::StrongName<struct ImageNameTag>;
using Label = framework::ids::InternedName<struct LabelTag>;
using Checkpoint = framework::ids::StrongName<struct CheckpointTag>;
/// Name of a worker process on a VM. A restarted process can have the same
/// name.
using WorkerId = framework::ids::InternedName<struct WorkerIdTag>;
using MachineId = framework::ids::InternedName<struct MachineIdTag>;
using WaveNumber = framework::ids::StrongNumber<struct WaveNumberTag>;
/// Number of a start of a task, from 1.
using RunNumber = framework::ids::StrongNumber<struct RunNumberTag>;
/// Fencing token: the store revision at which the cell's leader won its
/// leadership. It grows with every takeover, and workers refuse orders with a
/// lower one.
using FencingToken = framework::ids::StrongNumber<struct FencingTokenTag>;

/// Resources that a task requires, or that a worker offers.
struct Resources {
  /// Thousandths of a CPU core.
  std::int64_t MilliCpus_ = 0;
  std::int64_t MemoryMb_ = 0;
  std::int64_t Accelerators_ = 0;

  Resources &operator+=(const Resources &Other) {
    MilliCpus_ += Other.MilliCpus_;
    MemoryMb_ += Other.MemoryMb_;
    Accelerators_ += Other.Accelerators_;
    return *this;
  }
  Resources &operator-=(const Resources &Other) {
    MilliCpus_ -= Other.MilliCpus_;
    MemoryMb_ -= Other.MemoryMb_;
    Accelerators_ -= Other.Accelerators_;
    return *this;
  }
  Resources operator+(const Resources &Other) const {
    return Resources(*this) += Other;
  }
  Resources operator-(const Resources &Other) const {
    return Resources(*this) -= Other;
  }
  bool fitsInto(const Resources &Room) const {
    return MilliCpus_ <= Room.MilliCpus_ && MemoryMb_ <= Room.MemoryMb_ &&
           Accelerators_ <= Room.Accelerators_;
  }
  auto operator<=>(const Resources &) const = default;
};

/// One incarnation of a worker process. A restart under the same id is another
/// incarnation, which has no knowledge of earlier runs.
struct WorkerIncarnation {
  WorkerId Id_;
  /// Start time that the process reports, in Unix milliseconds.
  std::int64_t StartedMs_ = 0;

  auto operator<=>(const WorkerIncarnation &) const = default;

  template <typename Hash>
  friend Hash AbslHashValue(Hash State, const WorkerIncarnation &Item) {
    return Hash::combine(std::move(State), Item.Id_, Item.StartedMs_);
  }
};

/// One step of a job: a number of identical tasks.
struct StepSpec {
  std::uint32_t Count_ = 1;
  Resources PerTask_;
  /// The caller's estimate of the run time of one task; can be wrong by several
  /// times.
  Duration Estimate_{};
  /// Indexes of the steps that must be done before this one can start.
  std::vector<std::uint32_t> After_;
  bool Checkpointing_ = false;
  /// The tasks only make progress if all of them run at the same time.
  bool Gang_ = false;
  /// Tasks are slow when they run on more than one rack.
  bool TightlyCoupled_ = false;
  /// Label that a worker must have; empty for none.
  Label Requirement_;
  /// Rack of the input data; empty for none.
  Label DataRack_;
  /// Maximum number of tasks of the step on one worker; 0 for no limit.
  std::uint32_t AntiAffinity_ = 0;
  /// Several runs of a task may execute in parallel.
  bool Speculative_ = false;
  /// The tasks are services that run until the job is cancelled.
  bool LongRunning_ = false;
  ImageName Image_;
  /// Target of a serving task's tail latency, in milliseconds; 0 for none.
  std::int64_t TargetMs_ = 0;
  /// The tasks use only CPU time that other tasks leave idle; their MilliCpus_
  /// are not allocated on the worker.
  bool Filler_ = false;
  /// Maximum number of tasks that planned work may make unavailable at the same
  /// time.
  std::uint32_t MaxUnavailable_ = 0;

  /// Most runs of one task that may be live at the same time.
  std::size_t maxLiveRuns() const {
    return Speculative_ && !Gang_ && !LongRunning_ ? 2 : 1;
  }

  /// Returns the resources that one task allocates on a worker.
  Resources demand() const {
    Resources Result = PerTask_;
    if (Filler_)
      Result.MilliCpus_ = 0;
    return Result;
  }
};

/// A job as submitted by the caller.
struct JobSpec {
  JobId Id_;
  QueueName Queue_;
  WorkspaceName Workspace_;
  /// Passed to the workers unchanged.
  std::string Payload_;
  std::vector<StepSpec> Steps_;
  /// Number of scheduled occurrences; 0 for a job that runs once, immediately.
  std::uint32_t Occurrences_ = 0;
  /// Unix milliseconds of the first occurrence.
  std::int64_t FirstDueMs_ = 0;
  Duration Interval_{};
  /// When the job was accepted, in Unix milliseconds by the clock of the entry
  /// that accepted it.
  std::int64_t AcceptedMs_ = 0;

  std::uint32_t occurrenceCount() const {
    return Occurrences_ == 0 ? 1 : Occurrences_;
  }
};

/// Identifies a task of a job.
struct TaskName {
  JobId Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;

  auto operator<=>(const TaskName &) const = default;
  std::string str() const;

  template <typename Hash>
  friend Hash AbslHashValue(Hash State, const TaskName &Task) {
    return Hash::combine(std::move(State), Task.Job_, Task.Occurrence_,
                         Task.Step_, Task.Index_);
  }
};

/// Parses "job.occurrence.step.index". Returns nullopt if the text is
/// malformed.
std::optional<TaskName> parseTaskName(std::string_view Text);

/// Identifies a run of a task.
struct RunName {
  TaskName Task_;
  RunNumber Run_;

  auto operator<=>(const RunName &) const = default;

  template <typename Hash>
  friend Hash AbslHashValue(Hash State, const RunName &Name) {
    return Hash::combine(std::move(State), Name.Task_, Name.Run_.value());
  }
};

/// How a run has ended.
enum class EndKind {
  Done,
  /// Failed by a fault of the task or of the worker; the only kind that counts
  /// as an attempt.
  Failed,
  Stopped,
  /// The worker ended it because the worker's lease expired.
  LeaseExpired,
  /// Another member of the gang ended.
  GangMemberEnded,
  /// The other members of the gang did not start.
  GangIncomplete,
  /// The worker refused to start it: it never ran.
  Refused,
  /// The worker's incarnation ended, or its lease expired without a report.
  Lost,
};
std::string_view nameOf(EndKind Kind);

enum class JobState { Pending, Running, Done, Failed, Cancelled };
std::string_view nameOf(JobState State);

} // namespace laburnumspread::jobs
