#pragma once

#include <string_view>

namespace laburnumspread::framework::process {

/// Exit code of a start that failed: an address is taken, a file is missing,
/// settings are rejected.
constexpr int StartFailed = 1;
/// Exit code of a command line that is not understood.
constexpr int BadUsage = 2;

/// Writes pending log lines and standard output, then ends the process without
/// destructors. The only way out of a process that uses a fiber scheduler: its
/// fibers never end, so that a return from main() would destroy the io_context
/// and the services that they use, and the process would crash or wait forever.
[[noreturn]] void exitProcess(int Code);

/// Ends a process that cannot start: writes "PROGRAM: REASON" to standard error
/// and exits with StartFailed.
[[noreturn]] void failStart(std::string_view Program, std::string_view Reason);

} // namespace laburnumspread::framework::process
