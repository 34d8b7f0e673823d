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
  framework::http::Address Control_{"127.0.0.1", 0};
  Duration RebootTime_ = std::chrono::seconds(2);
};

/// A stand-in of the whole platform for tests and trials: the key-value
/// service under `/v3`, the VM list under `/platform`, endpoints on addresses
/// of their own, and faults under `/faults`.
class Platform {
public:
  Platform(boost::asio::io_context &Io, PlatformOptions Options);

  absl::Status start();
  std::uint16_t port() const { return Control_.port(); }

  /// Starts an endpoint; returns the port it listens on.
  absl::StatusOr<std::uint16_t> addEndpoint(const std::string &Vm,
                                            std::uint32_t Slots,
                                            framework::http::Address At);
  /// Another address of the control interface, which can be cut by itself.
  absl::StatusOr<std::uint16_t> addControl(framework::http::Address At);
  /// Whether calls on that address are answered.
  void setControlUnreachable(std::uint16_t Port, bool Unreachable);

  /// Adds a VM that is no endpoint.
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
  /// Rows that have changed after version \p Since; all for 0.
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
