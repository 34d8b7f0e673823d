#pragma once

#include "ctl/ctltypes.h"

#include <absl/status/status.h>

namespace laburnumspread::ctl {

/// Writes a line to the standard error and hands the code on.
ExitCode reportError(ExitCode Code, const std::string &Text);

/// Says what a refused call was refused for.
ExitCode reportRefusal(const Reply &Answer);
/// Says that no answer came; Unknown if the call may have been served.
ExitCode reportUnreachable(const absl::Status &Why);

bool succeeded(const Reply &Answer);

} // namespace laburnumspread::ctl
