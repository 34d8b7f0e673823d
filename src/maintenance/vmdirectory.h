#pragma once

#include "fleet/fleettypes.h"
#include "framework/http/httpclient.h"

#include <concepts>
#include <map>
#include <string>

#include <absl/status/statusor.h>

namespace laburnumspread::maintenance {

using framework::clock::TimePoint;

/// A VM as the platform's list shows it, some time ago.
struct ListedVm {
  /// Running and not leaving.
  bool Live_ = false;
  /// Changes with each boot.
  std::string BootId_;
};

using VmList = std::map<std::string, ListedVm, std::less<>>;

/// The platform's list of VMs, which lags, and its reboot.
template <typename T>
concept VmDirectory = requires(T &D, const std::string &Vm,
                               TimePoint Deadline) {
  /// Brings the list that vms() shows up to date.
  { D.refresh(Deadline) } -> std::same_as<absl::Status>;
  { D.vms() } -> std::same_as<const VmList &>;
  /// Reboots the VM if its boot is still the given one. Repeating the call
  /// is harmless.
  { D.reboot(Vm, Vm, Deadline) } -> std::same_as<absl::Status>;
};

/// Adapter to a platform that serves its list over HTTP. Asks only for what
/// has changed since the last answer: the whole list of 11,000 VMs is near a
/// megabyte, fifty times what control may cost in a second.
class HttpVmDirectory {
public:
  HttpVmDirectory(boost::asio::io_context &Io, framework::http::Address At)
      : Client_(Io, std::move(At)) {}

  absl::Status refresh(TimePoint Deadline);
  const VmList &vms() const { return List_; }
  absl::Status reboot(const std::string &Vm, const std::string &IfBootId,
                      TimePoint Deadline);

private:
  framework::http::Client Client_;
  VmList List_;
  /// Version of the list as the platform numbers it.
  std::int64_t Version_ = 0;
};

static_assert(VmDirectory<HttpVmDirectory>);

} // namespace laburnumspread::maintenance
