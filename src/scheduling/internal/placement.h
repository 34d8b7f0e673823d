#pragma once

#include "scheduling/scheduler.h"
#include "scheduling/workspacelimit.h"

#include <functional>
#include <map>
#include <optional>
#include <tuple>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

namespace laburnumspread::scheduling {

using jobs::Resources;

/// Whether a job's tasks are worth starting now.
enum class Urgency {
  /// The job can meet its deadline.
  InTime,
  /// It could, but its pool is short of workers or the leader of processor
  /// time, and more jobs end in time if this one waits.
  Deferred,
  /// A start that is planned now would arrive after the latest start.
  Late,
};

/// A step with tasks that can start now.
struct ReadyStep {
  const jobs::JobRow *Job_ = nullptr;
  const jobs::QueueConfig *Queue_ = nullptr;
  const jobs::StepSpec *Spec_ = nullptr;
  const jobs::StepRow *Row_ = nullptr;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  Urgency Urgency_ = Urgency::InTime;
  /// Latest time at which the rest of the job can start and still meet its
  /// deadline.
  TimePoint LatestStart_{};
  /// Expected CPU time that the job still needs, in millicores times seconds.
  double RemainingCpuWork_ = 0;

  StepName name() const { return {Job_->Spec_.Id_, Occurrence_, Step_}; }
};

/// The workers of a pool, by index, and demands that were found to fit on none
/// of them. Free resources only shrink during a pass, so neither does any
/// larger demand, and a long backlog is not compared with each worker again.
struct PoolCandidates {
  std::vector<std::size_t> Members_;
  absl::InlinedVector<Resources, 4> Unfit_;

  bool knownNotToFit(const Resources &Demand) const;
  void recordUnfit(const Resources &Demand);
};

/// Tracks free resources during a scheduling pass and assigns tasks to workers.
class Placement {
public:
  Placement(const CellTable &Table, const CellConfig &Config,
            const AdviceTable &Advised, std::vector<Candidate> Workers,
            TimePoint Now, std::size_t MaxStarts);

  /// Places the waiting tasks of a step, and counts the others by their reason.
  /// Returns the number of tasks for which no worker was found.
  std::size_t place(const ReadyStep &Step, Plan &Into);

  /// Counts the starts of an earlier plan as placed.
  void reserve(const Plan &Planned);

  /// Places a second run of a task that runs on \p Beside, on a worker that is
  /// not impaired. Returns nullopt if none is eligible.
  std::optional<jobs::RunIntended>
  placeCopy(const ReadyStep &Step, std::uint32_t Index,
            const WorkerRecord &Beside,
            const std::function<bool(const WorkerRecord &)> &IsImpaired);

private:
  using StepOnWorker = std::tuple<jobs::JobId, std::uint32_t, std::uint32_t,
                                  jobs::WorkerIncarnation>;

  static bool isBetter(const ReadyStep &Step, const Candidate &A,
                       const Candidate &B);
  static bool isFarFromData(const ReadyStep &Step, const Candidate &Worker);
  static StepOnWorker keyOf(const ReadyStep &Step, const Candidate &Worker);

  std::size_t placeTasks(const ReadyStep &Step, Plan &Into);
  /// Places all tasks of a gang under one run number, or none of them.
  std::size_t placeGang(const ReadyStep &Step, Plan &Into);
  void assign(const ReadyStep &Step, std::uint32_t Index, jobs::RunNumber Run,
              Candidate &On, Plan &Into);
  /// The worker for a task, or why there is none.
  struct Choice {
    Candidate *Worker_ = nullptr;
    WaitReason Reason_ = WaitReason::NoRoom;
  };

  /// Returns the best worker for one task, if any is eligible, of the \p
  /// Together tasks that start at once beside what the workspace holds, \p
  /// Held. Prefers the lowest penalty, then a worker on the rack of the input
  /// data, then best fit, so that other workers stay empty and their machines
  /// can be moved to other pools.
  Choice chooseWorker(const ReadyStep &Step, const Resources &Held,
                      std::uint32_t Together);
  /// Whether the step may run on the worker, apart from its free resources.
  bool isAllowed(const ReadyStep &Step, const Candidate &Worker) const;
  /// Counts the tasks of the step that run, may run, or are planned on the
  /// worker.
  std::uint32_t runsOnWorker(const ReadyStep &Step,
                             const Candidate &Worker) const;
  /// Returns what the step's workspace holds, with the starts of this pass.
  Resources heldByWorkspace(const ReadyStep &Step) const;
  WorkspaceLimit limitOf(const ReadyStep &Step) const;
  /// Whether the workspace may hold a second run of a task, which is not owed
  /// and so stays within the limit.
  bool hasRoomForCopy(const ReadyStep &Step) const;

  const CellTable &Table_;
  const CellConfig &Config_;
  const AdviceTable &Advised_;
  std::vector<Candidate> Workers_;
  TimePoint Now_;
  std::size_t MaxStarts_;
  absl::flat_hash_map<jobs::PoolName, PoolCandidates> Pools_;
  absl::flat_hash_map<jobs::WorkspaceName, Resources> PlannedUsage_;
  std::map<StepOnWorker, std::uint32_t> PlannedPerWorker_;
};

} // namespace laburnumspread::scheduling
