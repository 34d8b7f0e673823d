#pragma once

#include "ctl/ctltypes.h"

#include <absl/status/status.h>

namespace laburnumspread::ctl {

/// Writes a line to the standard error and returns \p Code.
ExitCode reportError(ExitCode Code, const std::string &Text);

/// Prints the reason of a refused request and returns the exit code for it.
ExitCode reportRefusal(const Reply &Answer);
/// Prints the error of a request without a response. Returns Unreachable if the
/// request was not sent, or Unknown if it may have been served.
ExitCode reportUnreachable(const absl::Status &Error);

/// Returns whether the HTTP status is 2xx.
bool succeeded(const Reply &Answer);

} // namespace laburnumspread::ctl
