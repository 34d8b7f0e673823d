#pragma once

#include <cstdint>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

namespace laburnumspread::soak {

/// The network on the way to one port of this machine: passes the bytes of each
/// connection on, and holds them back or breaks connections as it is told.
///
/// Held bytes stay on the way, as packets do that are sent again and again, and
/// go on when the cut ends. A connection that is made meanwhile is accepted and
/// hears nothing.
class FaultProxy {
public:
  /// Both ways are open at first.
  struct Directions {
    /// From those who connect to the port behind it.
    bool Upstream_ = false;
    bool Downstream_ = false;
  };

  explicit FaultProxy(boost::asio::io_context &Io);

  /// Listens on a port of its own for \p TargetPort, which need not be there.
  absl::StatusOr<std::uint16_t> start(std::uint16_t TargetPort);

  void setUpstreamBlocked(bool On);
  void setDownstreamBlocked(bool On);
  /// Resets all connections at once.
  void resetConnections();
  /// Lets all connections fall silent for good, both ways; new ones work.
  void stallConnections();

  /// Bytes passed on, both ways.
  std::uint64_t forwardedBytes() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace laburnumspread::soak
