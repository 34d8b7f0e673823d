#pragma once

#include "framework/http/httptypes.h"

#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace laburnumspread::ctl {

/// Exit codes of laburnumctl. Scripts rely on them, so they must not change.
enum class ExitCode {
  Ok = 0,
  /// The server refused the request or failed to serve it.
  Refused = 1,
  /// The command line or a file is invalid; nothing was sent.
  Usage = 2,
  /// No server could be reached; nothing was sent.
  Unreachable = 3,
  /// The object was changed concurrently; read it again and retry.
  Conflict = 4,
  /// The outcome is unknown: the request may have run.
  Unknown = 5,
  /// Waiting for a state timed out.
  TimedOut = 6
};

enum class Output { Table, Json };

/// The parsed command line.
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
  // Options of submit.
  std::string Body_;
  std::string Class_;
  std::string IdempotencyKey_;
  bool Once_ = false;
  std::int64_t TimeoutMs_ = 30'000;
};

/// The parts of an HTTP response that the commands use.
struct Reply {
  int Status_ = 0;
  std::string Text_;
  boost::json::value Json_;
  std::string Outcome_;
  bool Replayed_ = false;
};

} // namespace laburnumspread::ctl
