#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace laburnumspread::standin {

/// Behaviour of an endpoint under fault injection.
enum class EndpointMode {
  Good,
  /// Accepts requests but responds only after a minute.
  Silent,
  /// Responds with status 500 at once.
  Fail,
  /// Closes the connection before the announced Content-Length is sent.
  Truncate,
  /// Finishes the work, then delays the response.
  Late,
  /// Responds with a body of 64 MiB.
  Oversize
};

struct EndpointFault {
  EndpointMode Mode_ = EndpointMode::Good;
  /// Delay of the response in mode Late.
  std::int64_t DelayMs_ = 0;
};

/// Faults to inject. Can be changed over HTTP while the program runs.
struct Faults {
  /// The key-value service drops all connections.
  bool StoreDown_ = false;
  /// Delay of each call to the key-value service.
  std::int64_t StoreSlowMs_ = 0;
  /// Number of further writes that are executed but whose responses are lost.
  std::int64_t LoseAnswers_ = 0;
  /// Watches stay open but deliver no events.
  bool WatchSilent_ = false;
  /// Delay until a change of a VM appears in the VM list.
  std::int64_t ListLagMs_ = 0;
  /// Number of further reboots after which the VM's endpoint fails.
  std::int64_t BadReboots_ = 0;
  std::map<std::string, EndpointFault> Endpoints_;

  /// Fault of the endpoint on \p Vm; mode Good if none is set.
  EndpointFault endpointFault(const std::string &Vm) const {
    const auto It = Endpoints_.find(Vm);
    return It == Endpoints_.end() ? EndpointFault() : It->second;
  }
};

} // namespace laburnumspread::standin
