#pragma once

#include "framework/fibers/await.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

namespace laburnumspread::peers {

/// Waits for messages on a ZeroMQ socket from within the io_context.
class ZmqReader {
public:
  ZmqReader(boost::asio::io_context &Io, zmq::socket_t &Socket)
      : Socket_(Socket), Descriptor_(Io, Socket.get(zmq::sockopt::fd)) {}

  /// Releases the descriptor without closing it: the socket owns it.
  ~ZmqReader() { Descriptor_.release(); }

  bool hasMessage() const {
    return (Socket_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
  }

  /// Suspends the fiber until a message is available. Returns false after
  /// stop().
  bool waitForMessage() {
    // The descriptor is edge-triggered and only signals that the state may have
    // changed, so the socket's events must be read before each wait.
    while (!hasMessage()) {
      const auto Outcome = framework::fibers::await([this](auto Done) {
        Descriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                               Done);
      });
      if (Outcome.Error_)
        return false;
    }
    return true;
  }

  void stop() { Descriptor_.cancel(); }

private:
  zmq::socket_t &Socket_;
  boost::asio::posix::stream_descriptor Descriptor_;
};

} // namespace laburnumspread::peers
