#pragma once

#include "framework/http/httptypes.h"
#include "peers/messages.h"

#include <functional>
#include <memory>

#include <absl/status/status.h>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace laburnumspread::peers {

/// CURVE key pair of the fleet, each key as 40 characters of Z85 text. All
/// entries share one pair; connections with other keys are rejected.
struct PeerKeys {
  std::string Public_;
  std::string Secret_;
};

PeerKeys generatePeerKeys();

struct MeshCounters {
  std::uint64_t BytesOut_ = 0;
  std::uint64_t BytesIn_ = 0;
  std::uint64_t MessagesOut_ = 0;
  std::uint64_t MessagesIn_ = 0;
  /// Messages not sent because the peer was not connected or its queue was
  /// full.
  std::uint64_t Dropped_ = 0;
  /// Messages that could not be decoded or were addressed to another entry or
  /// incarnation.
  std::uint64_t Refused_ = 0;
};

/// Sends and receives messages between entries over ZeroMQ with CURVE.
///
/// Delivery is at most once: messages to a peer that is not connected are
/// dropped, so that no stale message arrives after an interruption. Callers
/// must tolerate lost messages.
class PeerMesh {
public:
  using Handler = std::function<void(const Sender &, Message &&)>;

  PeerMesh(boost::asio::io_context &Io, MemberId Self, PeerKeys Keys,
           Handler Handle);
  ~PeerMesh();

  /// Binds to \p At and starts receiving. \p Advertised is the address sent to
  /// peers; a port of 0 is replaced by the bound port. Returns Unavailable if
  /// the address cannot be bound.
  absl::Status bind(const framework::http::Address &At,
                    framework::http::Address Advertised);
  const framework::http::Address &advertised() const;

  /// Sends a message to an incarnation of an entry at its address. Never
  /// blocks; a message that cannot be queued is dropped.
  void send(const MemberId &To, const std::string &Address,
            const Message &Body);

  /// Closes connections to addresses that are not in \p Wanted.
  void closeConnectionsExcept(const std::vector<std::string> &Wanted);

  const MeshCounters &counters() const;

  void stop();

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace laburnumspread::peers
