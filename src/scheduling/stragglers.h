#pragma once

#include "scheduling/scheduler.h"

#include <absl/container/flat_hash_map.h>

/// Second runs of tasks whose worker delays them.
namespace laburnumspread::scheduling {

/// A second run of a task.
struct Copy {
  jobs::RunIntended Start_;
  /// The run that it duplicates.
  jobs::RunName Beside_;
  /// How long the task was expected to run, and how long it has.
  Duration Expected_{};
  Duration Running_{};
};

/// Workers that may delay their tasks: they do not reply, tasks failed on them
/// lately, or their tasks take longer than elsewhere.
using ImpairedWorkers =
    absl::flat_hash_map<jobs::WorkerIncarnation, const WorkerRecord *>;

/// Chooses the running tasks that get a second run elsewhere. Only tasks of
/// speculative steps do, and only those that have run longer than tasks of
/// their queue usually do, on an impaired worker: a task that is long because
/// of its own work is no faster elsewhere.
class Stragglers {
public:
  /// A task that runs longer than expected by this many standard deviations,
  /// and by this factor, is unusual.
  static constexpr int UnusualDeviations = 3;
  static constexpr double UnusualFactor = 1.5;
  /// Share of a pool that copies may hold. Most copies repeat work that would
  /// have been done anyway.
  static constexpr double MaxPoolShare = 0.05;

  Stragglers(const CellTable &Table, const CellConfig &Config,
             const RunTimeEstimator &Estimator, const AdviceTable &Advised,
             Features Enabled = {})
      : Table_(Table), Config_(Config), Estimator_(Estimator),
        Advised_(Advised), Enabled_(Enabled) {}

  /// Plans at most \p MaxCopies second runs on the room that \p Planned leaves
  /// on the workers. Pools with ready tasks that were not placed get none.
  std::vector<Copy> planCopies(const std::vector<Candidate> &Workers,
                               const Plan &Planned,
                               const ImpairedWorkers &Impaired, TimePoint Now,
                               std::size_t MaxCopies) const;

private:
  /// A task that qualifies for a second run.
  struct Straggler;

  std::vector<Straggler> findStragglers(const Plan &Planned,
                                        const ImpairedWorkers &Impaired,
                                        TimePoint Now) const;
  void addStragglersOf(const ReadyStep &Step, const ImpairedWorkers &Impaired,
                       TimePoint Now, std::vector<Straggler> &Into) const;
  Duration usualRunTime(const jobs::QueueName &Queue,
                        const jobs::StepSpec &Step) const;

  const CellTable &Table_;
  const CellConfig &Config_;
  const RunTimeEstimator &Estimator_;
  const AdviceTable &Advised_;
  Features Enabled_;
};

} // namespace laburnumspread::scheduling
