#pragma once

#include "cell/celltypes.h"
#include "peers/messages.h"

#include <optional>

namespace laburnumspread::cell {

/// Rechecks a call that an entry admitted under an older configuration than the
/// leader has in force. Returns the status to refuse it with, or nullopt if it
/// is allowed, its configuration is not older, or it carries no origin.
///
/// Guards against an entry that has lost the store and keeps accepting calls
/// for removed queues and revoked keys.
std::optional<peers::JobCallStatus>
refusalByNewerConfig(const CellConfig &InForce, const peers::JobCall &Call);

/// Whether the call hands in a job for a queue that only a configuration newer
/// than \p InForce has. Accepted without it, the job could never be started: a
/// later version may remove the queue before the leader has read the one that
/// has it.
bool needsNewerConfig(const CellConfig &InForce, const peers::JobCall &Call);

} // namespace laburnumspread::cell
