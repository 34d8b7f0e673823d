#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace laburnumspread::standin {

/// How an endpoint misbehaves.
enum class EndpointMode {
  Good,
  /// Takes requests and never answers.
  Silent,
  /// Answers 500 at once.
  Fail,
  /// Announces more bytes than it sends, then closes.
  Truncate,
  /// Does the work, then waits before it answers.
  Late,
  /// Sends an answer of many megabytes.
  Oversize
};

struct EndpointFault {
  EndpointMode Mode_ = EndpointMode::Good;
  std::int64_t DelayMs_ = 0;
};

/// What is set to go wrong. Changed over HTTP while the program runs.
struct Faults {
  bool StoreDown_ = false;
  std::int64_t StoreSlowMs_ = 0;
  /// Writes still to be done whose answers are then dropped.
  std::int64_t LoseAnswers_ = 0;
  /// Watches stay open and say nothing more.
  bool WatchSilent_ = false;
  std::int64_t ListLagMs_ = 0;
  /// VMs of this name come back broken from their next reboots.
  std::int64_t BadReboots_ = 0;
  std::map<std::string, EndpointFault> Endpoints_;

  EndpointFault endpointFault(const std::string &Vm) const {
    const auto It = Endpoints_.find(Vm);
    return It == Endpoints_.end() ? EndpointFault() : It->second;
  }
};

} // namespace laburnumspread::standin
