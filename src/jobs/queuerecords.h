#pragma once

#include "jobs/celltable.h"

#include <vector>

/// Records of queues in the journal. A removed queue is needed until its last
/// job has ended, also by leaders that were never given its configuration.
namespace laburnumspread::jobs {

/// Returns the configuration in force, followed by the recorded queues that it
/// lacks and that have open jobs. Nothing is added to an empty configuration.
CellConfig withRecordedQueues(CellConfig InForce, const CellTable &Table);

/// Whether the queue has to be recorded before the next job is accepted for it:
/// it has no record, or one of other settings.
bool needsRecord(const QueueConfig &Queue, const CellTable &Table);

/// Returns the queues that have open jobs and need a record: their settings
/// have changed, or their jobs were accepted by a release without records.
std::vector<QueueConfig> findUnrecordedQueues(const CellConfig &Config,
                                              const CellTable &Table);

} // namespace laburnumspread::jobs
