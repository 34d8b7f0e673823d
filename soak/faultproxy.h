#pragma once

#include <cstdint>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

namespace laburnumspread::soak {

/// TCP proxy that simulates network faults in front of one local port: it
/// forwards the bytes of each connection, and can block them or reset
/// connections.
///
/// Blocked bytes are held back, as retransmitted packets would be, and
/// forwarded when the block ends. A connection made meanwhile is accepted and
/// receives nothing.
class FaultProxy {
public:
  /// Which directions are blocked; none at first.
  struct Directions {
    /// From the connecting client to the port behind the proxy.
    bool Upstream_ = false;
    /// From the port behind the proxy back to the client.
    bool Downstream_ = false;
  };

  explicit FaultProxy(boost::asio::io_context &Io);

  /// Listens on a free loopback port, which is returned, and forwards to
  /// \p TargetPort. Nothing needs to listen on \p TargetPort yet. Returns an
  /// Unavailable error if the proxy cannot listen.
  absl::StatusOr<std::uint16_t> start(std::uint16_t TargetPort);

  void setUpstreamBlocked(bool On);
  void setDownstreamBlocked(bool On);
  /// Resets all open connections.
  void resetConnections();
  /// Stops forwarding on all open connections for good, in both directions, and
  /// leaves them open. New connections work.
  void stallConnections();

  /// Number of bytes forwarded in both directions.
  std::uint64_t forwardedBytes() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace laburnumspread::soak
