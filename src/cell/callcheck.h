#pragma once

#include "cell/celltypes.h"
#include "peers/messages.h"

#include <optional>

namespace laburnumspread::cell {

/// Rechecks a call that an entry admitted under an older configuration than the
/// holder has in force. Returns the verdict to refuse it with, or nullopt if it
/// is allowed, its configuration is not older, or it carries no origin.
///
/// Guards against an entry without the store that keeps accepting calls for
/// removed queues and withdrawn keys.
std::optional<peers::JobCallStatus>
refusalByNewerConfig(const CellConfig &InForce, const peers::JobCall &Call);

} // namespace laburnumspread::cell
