#pragma once

#include "standin/endpoint.h"
#include "standin/kvservice.h"

#include <set>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace laburnumspread::standin {

struct PlatformOptions {
  /// Address of the control interface; port 0 selects a free port.
  framework::http::Address Control_{"127.0.0.1", 0};
  Duration RebootTime_ = std::chrono::seconds(2);
};

/// Simulated platform for tests and trials. The control interface serves the
/// key-value service under `/v3`, the VM list under `/platform` and fault
/// injection under `/faults`. Endpoints listen on addresses of their own.
class Platform {
public:
  Platform(boost::asio::io_context &Io, PlatformOptions Options);

  /// Starts the control interface. Returns Unavailable if its address cannot be
  /// bound.
  absl::Status start();
  std::uint16_t port() const { return Control_.port(); }

  /// Adds \p Vm and starts an endpoint on it. Returns the port that it listens
  /// on, or Unavailable if \p At cannot be bound.
  absl::StatusOr<std::uint16_t> addEndpoint(const std::string &Vm,
                                            std::uint32_t Slots,
                                            framework::http::Address At);
  /// Serves the control interface on a further address, which
  /// setControlUnreachable() can disable separately. Returns its port, or
  /// Unavailable if \p At cannot be bound.
  absl::StatusOr<std::uint16_t> addControl(framework::http::Address At);
  /// Drops or restores all calls to the address that addControl() returned
  /// \p Port for.
  void setControlUnreachable(std::uint16_t Port, bool Unreachable);

  /// Adds a VM without an endpoint.
  void addVm(const std::string &Name);

  Faults &faults() { return Faults_; }
  WorkLedger &ledger() { return Ledger_; }
  KvService &store() { return Store_; }
  VmFleet &vms() { return Vms_; }

private:
  void handle(framework::http::Exchange &Call);
  void handlePlatform(framework::http::Exchange &Call,
                      const framework::http::Target &Path);
  void handleFaults(framework::http::Exchange &Call);
  /// Replies with the VMs changed after list version \p Since; 0 selects all.
  void replyVmList(framework::http::Exchange &Call, std::int64_t Since);
  void replyLedger(framework::http::Exchange &Call);

  boost::asio::io_context &Io_;
  PlatformOptions Options_;
  Faults Faults_;
  VmFleet Vms_;
  WorkLedger Ledger_;
  KvService Store_;
  framework::http::Server Control_;
  std::set<std::uint16_t> UnreachablePorts_;
  std::vector<std::unique_ptr<Endpoint>> Endpoints_;
  std::vector<std::unique_ptr<framework::http::Server>> Servers_;
};

} // namespace laburnumspread::standin
