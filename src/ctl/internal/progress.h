#pragma once

#include "ctl/ctltypes.h"
#include "ctl/session.h"

namespace laburnumspread::ctl {

/// Time between two requests for the progress.
constexpr framework::clock::Duration PollInterval =
    std::chrono::milliseconds(300);

/// Sets spec.drain of a VM and prints the progress until the VM is drained.
/// With the argument "off", clears spec.drain and returns.
ExitCode drain(Session &Server, const Command &Cmd);

/// Prints the progress of a wave until it completes, halts or is cancelled.
ExitCode followWave(Session &Server, const Command &Cmd);

} // namespace laburnumspread::ctl
