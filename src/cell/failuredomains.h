#pragma once

#include "cell/workertable.h"

#include <vector>

namespace laburnumspread::cell {

/// Returns the workers to poll because others in their failure domain have
/// stopped replying: the domain is an availability zone, or the workers with a
/// common label, such as a rack.
///
/// A worker without runs is not polled, so a leader does not notice that it
/// has failed. When a zone loses power, the few workers in use there fall
/// silent within tenths of a second, but the platform lists the others for
/// seconds more, and each task sent to one of them is lost for as long. Polling
/// them costs one call each, and a healthy one replies within milliseconds.
std::vector<WorkerRowPtr> findUnverifiedWorkers(const WorkerTable &Workers,
                                                TimePoint Now);

} // namespace laburnumspread::cell
