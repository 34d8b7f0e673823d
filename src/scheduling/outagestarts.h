#pragma once

#include "jobs/cellconfig.h"
#include "jobs/celltable.h"
#include "scheduling/scheduler.h"

#include <vector>

namespace laburnumspread::scheduling {

/// The end `done` of a run that no store can hold yet: it was staged after
/// everything that has been sent to the store.
struct UnsentEnd {
  jobs::RunName Run_;
  jobs::WorkerIncarnation Worker_;
};

/// What a leader has staged and not sent to the store.
struct UnsentEvents {
  std::vector<UnsentEnd> Ends_;
  /// Starts that were sent to workers before their intents were stored.
  std::vector<jobs::RunIntended> Starts_;
};

/// Plans starts of tasks while the store does not answer.
///
/// A start without a stored intent is unknown to a successor, which may start
/// the task again elsewhere. That is impossible if the successor has to hear
/// from the task's worker before it can consider the task ready. So a task is
/// started only on a worker where a task of a step that it depends on has just
/// ended, with the end neither stored nor sent. In the stored journal that run
/// is live; a successor settles it only by a report of the worker, which names
/// the new run and makes the worker refuse the former leader, or after the
/// lease of everything on that worker has expired.
///
/// A successor does not count the new runs until their workers report. They
/// therefore take no more resources on a worker than the same workspace's ended
/// runs held there, so that no limit can be exceeded.
///
/// Left out are gangs, and steps behind a gang or a speculative step, as these
/// can be done without a report of each of their workers; tasks that have run
/// before; steps that need an advisor's ticket or another rack.
std::vector<jobs::RunIntended>
planOutageStarts(const CellTable &Table, const CellConfig &Config,
                 const UnsentEvents &Unsent,
                 const std::vector<Candidate> &Workers);

} // namespace laburnumspread::scheduling
