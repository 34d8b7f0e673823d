#pragma once

#include "ctl/ctltypes.h"
#include "ctl/session.h"

namespace laburnumspread::ctl {

/// Sets spec.drain of a VM and follows the drain to its end.
ExitCode drain(Session &Server, const Command &Given);

/// Follows a wave to its end.
ExitCode followWave(Session &Server, const Command &Given);

} // namespace laburnumspread::ctl
