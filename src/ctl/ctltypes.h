#pragma once

#include "framework/http/httptypes.h"

#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace laburnumspread::ctl {

/// Exit codes of laburnumctl; stable, for scripts.
enum class ExitCode {
  Ok = 0,
  /// The request was refused or failed at the server.
  Refused = 1,
  /// The command line or a file is wrong; nothing was sent.
  Usage = 2,
  /// No server answered.
  Unreachable = 3,
  /// Another writer was first; read and try again.
  Conflict = 4,
  /// The outcome is not known: it may have run.
  Unknown = 5,
  /// A wait ran out of time.
  TimedOut = 6
};

enum class Output { Table, Json };

/// What was given on the command line.
struct Command {
  std::string Verb_;
  std::vector<std::string> Arguments_;
  std::vector<framework::http::Address> Servers_;
  std::string Key_;
  std::string File_;
  Output Output_ = Output::Table;
  bool Watch_ = false;
  bool Wait_ = false;
  bool DryRun_ = false;
  bool Peer_ = false;
  std::string IfMatch_;
  std::string Since_;
  // submit
  std::string Body_;
  std::string Class_;
  std::string IdempotencyKey_;
  bool Once_ = false;
  std::int64_t TimeoutMs_ = 30'000;
};

/// An answer as the commands work with it.
struct Reply {
  int Status_ = 0;
  std::string Text_;
  boost::json::value Json_;
  std::string Outcome_;
  bool Replayed_ = false;
};

} // namespace laburnumspread::ctl
