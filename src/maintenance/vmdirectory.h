#pragma once

#include "fleet/fleettypes.h"
#include "framework/http/httpclient.h"

#include <concepts>
#include <map>
#include <string>

#include <absl/status/statusor.h>

namespace laburnumspread::maintenance {

using framework::clock::TimePoint;

/// A VM as the platform lists it. The list lags behind the VM's state.
struct ListedVm {
  /// Whether the platform reports the VM as running and not leaving.
  bool Live_ = false;
  /// Identifies the current boot. Changes with each reboot.
  std::string BootId_;
};

/// Listed VMs by name.
using VmList = std::map<std::string, ListedVm, std::less<>>;

/// Access to the platform's list of VMs and to its reboot operation.
template <typename T>
concept VmDirectory = requires(T &D, const std::string &Vm,
                               TimePoint Deadline) {
  /// Updates the list that vms() returns.
  { D.refresh(Deadline) } -> std::same_as<absl::Status>;
  { D.vms() } -> std::same_as<const VmList &>;
  /// Reboots the VM if its current boot is the given one. Idempotent.
  { D.reboot(Vm, Vm, Deadline) } -> std::same_as<absl::Status>;
};

/// Adapter to a platform that serves its list over HTTP. Requests only the
/// changes since the last response: the complete list of 11,000 VMs is almost
/// 1 MB, 50 times the limit for control traffic in a second.
class HttpVmDirectory {
public:
  HttpVmDirectory(boost::asio::io_context &Io, framework::http::Address At)
      : Client_(Io, std::move(At)) {}

  /// Returns Unavailable if the response status is not 200, or the error of the
  /// exchange or of the JSON parser. The list stays unchanged in these cases.
  absl::Status refresh(TimePoint Deadline);
  const VmList &vms() const { return List_; }
  /// Returns Unavailable if the response status is 300 or higher, or the error
  /// of the exchange.
  absl::Status reboot(const std::string &Vm, const std::string &IfBootId,
                      TimePoint Deadline);

private:
  framework::http::Client Client_;
  VmList List_;
  /// The platform's version number of the list, 0 before the first response.
  std::int64_t Version_ = 0;
};

static_assert(VmDirectory<HttpVmDirectory>);

} // namespace laburnumspread::maintenance
