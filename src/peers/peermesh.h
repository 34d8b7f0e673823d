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

/// CURVE key pair of the fleet, Z85 text of 40 characters each. All entries
/// hold the same pair; who does not gets no message through.
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
  /// Not sent since the peer was not connected or its queue was full.
  std::uint64_t Dropped_ = 0;
  /// Letters that could not be read or were for another run of this entry.
  std::uint64_t Refused_ = 0;
};

/// Sends and receives letters between entries over ZeroMQ with CURVE. A letter
/// arrives once, or not at all: nothing is kept for a peer that is not
/// connected, so that no old letter comes after a pause. All users of the mesh
/// bear with lost letters.
class PeerMesh {
public:
  using Handler = std::function<void(const Sender &, Message &&)>;

  PeerMesh(boost::asio::io_context &Io, MemberId Self, PeerKeys Keys,
           Handler Handle);
  ~PeerMesh();

  /// Binds and starts receiving; \p Advertised is told to peers, port 0 in it
  /// is replaced by the port that was bound.
  absl::Status bind(const framework::http::Address &At,
                    framework::http::Address Advertised);
  const framework::http::Address &advertised() const;

  /// Sends to a run of an entry at its address. Never waits.
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
