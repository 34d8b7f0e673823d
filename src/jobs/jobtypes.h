#pragma once

#include "fleet/fleettypes.h"
#include "framework/clock/clock.h"
#include "framework/ids/strongid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Jobs: what callers hand in, and what is known of its execution.
namespace laburnumspread::jobs {

using framework::clock::Duration;
using framework::clock::TimePoint;

using JobId = framework::ids::StrongName<struct JobIdTag>;
using QueueName = framework::ids::StrongName<struct QueueNameTag>;
using WorkspaceName = framework::ids::StrongName<struct WorkspaceNameTag>;
using ImageName = framework::ids::StrongName<struct ImageNameTag>;
using Label = framework::ids::StrongName<struct LabelTag>;
using Checkpoint = framework::ids::StrongName<struct CheckpointTag>;
/// Name of a worker process on a VM. A process that starts again may keep it.
using WorkerId = framework::ids::StrongName<struct WorkerIdTag>;
using MachineId = framework::ids::StrongName<struct MachineIdTag>;
using WaveNumber = framework::ids::StrongNumber<struct WaveNumberTag>;
/// Numbers the starts of one task, from 1.
using RunNumber = framework::ids::StrongNumber<struct RunNumberTag>;
/// Revision at which the scheduler's holder took its leadership; grows with
/// every takeover. Workers refuse orders with a lower one.
using FencingToken = framework::ids::StrongNumber<struct FencingTokenTag>;

/// Resources that a task asks for, or that a worker has room for.
struct Resources {
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

/// One life of a worker process: a restart under the same id is another life,
/// which knows nothing of what ran before.
struct WorkerIncarnation {
  WorkerId Id_;
  /// Start of the process in Unix milliseconds, by its own word.
  std::int64_t StartedMs_ = 0;

  auto operator<=>(const WorkerIncarnation &) const = default;
};

/// One step of a job: tasks that are alike.
struct StepSpec {
  std::uint32_t Count_ = 1;
  Resources PerTask_;
  /// The caller's estimate of one task's run time; may be far off.
  Duration Estimate_{};
  /// Steps whose tasks must all be done before a task of this one starts.
  std::vector<std::uint32_t> After_;
  bool Checkpointing_ = false;
  /// All tasks work only together.
  bool Gang_ = false;
  /// Tasks are slow when they run on more than one rack.
  bool TightlyCoupled_ = false;
  /// Label that the worker must have; empty for none.
  Label Requirement_;
  /// Rack where the input lies; empty for none.
  Label DataRack_;
  /// Most tasks of the step on one worker; 0 for no bound.
  std::uint32_t AntiAffinity_ = 0;
  /// Copies may run in parallel.
  bool Speculative_ = false;
  /// The tasks serve until the job is cancelled.
  bool LongRunning_ = false;
  ImageName Image_;
  /// Tail latency that the users of a serving task are promised; 0 for none.
  std::int64_t TargetMs_ = 0;
  /// Takes only processor time that others leave; its MilliCpus_ do not count
  /// against a worker's room.
  bool Filler_ = false;
  /// Most tasks that may be away at the same time by our own doing.
  std::uint32_t MaxUnavailable_ = 0;

  /// What one task takes of a worker's room.
  Resources demand() const {
    Resources Result = PerTask_;
    if (Filler_)
      Result.MilliCpus_ = 0;
    return Result;
  }
};

/// A job as the caller described it.
struct JobSpec {
  JobId Id_;
  QueueName Queue_;
  WorkspaceName Workspace_;
  /// Passed through to the workers.
  std::string Payload_;
  std::vector<StepSpec> Steps_;
  /// How often the steps run; 0 for once, at once.
  std::uint32_t Occurrences_ = 0;
  /// Unix milliseconds of the first occurrence.
  std::int64_t FirstDueMs_ = 0;
  Duration Interval_{};
  /// When the job was taken, in Unix milliseconds of the entry that took it.
  std::int64_t AcceptedMs_ = 0;

  std::uint32_t occurrenceCount() const {
    return Occurrences_ == 0 ? 1 : Occurrences_;
  }
};

/// Name of one task.
struct TaskName {
  JobId Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;

  auto operator<=>(const TaskName &) const = default;
  std::string str() const;
};

/// Reads "job.occurrence.step.index".
std::optional<TaskName> parseTaskName(std::string_view Text);

struct RunName {
  TaskName Task_;
  RunNumber Run_;

  auto operator<=>(const RunName &) const = default;
};

/// How a run has ended.
enum class EndKind {
  Done,
  /// By its own fault or the worker's; counts as an attempt.
  Failed,
  Stopped,
  /// The worker's lease ran out.
  LeaseExpired,
  /// Another member of the gang ended.
  GangMemberEnded,
  /// The rest of the gang did not come.
  GangIncomplete,
  /// The worker refused to start it: it never ran.
  Refused,
  /// The worker's life is over, or its lease ended unseen.
  Lost,
};
std::string_view nameOf(EndKind Kind);

enum class JobState { Pending, Running, Done, Failed, Cancelled };
std::string_view nameOf(JobState State);

} // namespace laburnumspread::jobs
