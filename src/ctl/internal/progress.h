#pragma once

#include "ctl/ctltypes.h"
#include "ctl/session.h"

namespace laburnumspread::ctl {

/// Time between two looks at what is being followed.
constexpr framework::clock::Duration PollInterval =
    std::chrono::milliseconds(300);

/// Sets spec.drain of a VM and follows the drain to its end.
ExitCode drain(Session &Server, const Command &Cmd);

/// Follows a wave to its end.
ExitCode followWave(Session &Server, const Command &Cmd);

} // namespace laburnumspread::ctl
