#pragma once

#include "jobs/cellconfig.h"
#include "jobs/celltable.h"
#include "scheduling/advicetable.h"
#include "scheduling/runtimeestimator.h"
#include "workers/workertypes.h"

#include <vector>

/// Decides which task runs next, and on which worker. Pure: tables in, orders
/// out.
namespace laburnumspread::scheduling {

using framework::clock::Duration;
using framework::clock::TimePoint;
using jobs::CellConfig;
using jobs::CellTable;
using workers::WorkerRecord;

/// A worker that may be given tasks now.
struct Candidate {
  const WorkerRecord *Worker_ = nullptr;
  jobs::Resources Free_;
  /// Lower is better: grows while tasks fail or hang there.
  double Distrust_ = 0;
};

struct PlanTime {
  TimePoint Now_{};
  /// For jobs that are due at a time of day, in Unix milliseconds.
  std::int64_t WallMs_ = 0;
};

/// One pass over what is ready.
struct Plan {
  std::vector<jobs::RunIntended> Starts_;
  /// Tasks that are ready but have found no worker.
  std::size_t UnplacedTasks_ = 0;
  /// Steps that may start only where the queue's advisor says, with tasks
  /// waiting, in the order in which they would start.
  std::vector<StepName> AwaitingAdvice_;
};

/// When a job stops being in time: its stretched chain of work and the queue's
/// aim after it was taken.
TimePoint deadlineOf(const jobs::JobRow &Job, const jobs::QueueConfig &Queue,
                     const RunTimeEstimator &Estimator);

class Scheduler {
public:
  Scheduler(const CellTable &Table, const CellConfig &Config,
            const RunTimeEstimator &Estimator, const AdviceTable &Advised)
      : Table_(Table), Config_(Config), Estimator_(Estimator),
        Advised_(Advised) {}

  Plan plan(std::vector<Candidate> Workers, PlanTime At) const;

private:
  const CellTable &Table_;
  const CellConfig &Config_;
  const RunTimeEstimator &Estimator_;
  const AdviceTable &Advised_;
};

} // namespace laburnumspread::scheduling
