#pragma once

#include "ctl/ctltypes.h"
#include "ctl/session.h"

namespace laburnumspread::ctl {

/// Runs one command and writes its output. Nothing is sent when the command
/// line is wrong.
ExitCode runCommand(boost::asio::io_context &Io, const Command &Cmd);

/// A new idempotency key: a UUID of version 7 of this moment.
std::string newIdempotencyKey();

/// Help with examples, for one verb or all.
std::string helpText();

} // namespace laburnumspread::ctl
