#pragma once

#include "ctl/ctltypes.h"
#include "ctl/session.h"

namespace laburnumspread::ctl {

/// Runs one command and writes its output. Sends nothing if the command line or
/// the input file is invalid.
ExitCode runCommand(boost::asio::io_context &Io, const Command &Cmd);

/// Returns a new idempotency key: a UUID of version 7 with the current time.
std::string newIdempotencyKey();

/// Returns the text of --help: all verbs, the options and examples.
std::string helpText();

} // namespace laburnumspread::ctl
