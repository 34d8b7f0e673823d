#include "peers/peermesh.h"

#include "framework/clock/clock.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/timeslice.h"
#include "framework/log/log.h"
#include "peers/internal/zmqreader.h"
#include "peers/messagecodec.h"

#include <algorithm>
#include <array>
#include <map>

namespace laburnumspread::peers {

namespace {

constexpr std::size_t KeyLength = 40;
constexpr int MaxQueuedMessages = 10'000;
constexpr std::int64_t MaxEnvelopeBytes = 64 * 1024 * 1024;
constexpr int HeartbeatMs = 1000;
/// A connection silently dropped by the network is detected after this time,
/// and the socket reconnects.
constexpr int HeartbeatTimeoutMs = 3000;
constexpr int ReconnectMs = 100;
constexpr int ReconnectMaxMs = 1000;
/// Connections that may wait to be accepted. All entries connect to a new
/// leader at the same moment, while its processor is busy with the takeover.
/// ZeroMQ's default is 100: the opening packets of the others are dropped and
/// sent again only after seconds, in which their callers get no answer. The
/// kernel reduces a higher number to its own limit.
constexpr int MaxPendingConnections = 4096;
constexpr const char *ZapEndpoint = "inproc://zeromq.zap.01";
constexpr const char *ZapDomain = "laburnumspread";
/// A ZAP request consists of the frames version, request id, domain, address,
/// identity, mechanism and client key.
constexpr std::size_t ZapFrames = 7;
constexpr std::size_t ZapIdFrame = 1;
constexpr std::size_t ZapKeyFrame = 6;

void setCommonOptions(zmq::socket_t &Socket) {
  Socket.set(zmq::sockopt::linger, 0);
  Socket.set(zmq::sockopt::sndhwm, MaxQueuedMessages);
  Socket.set(zmq::sockopt::rcvhwm, MaxQueuedMessages);
  Socket.set(zmq::sockopt::maxmsgsize, MaxEnvelopeBytes);
  Socket.set(zmq::sockopt::heartbeat_ivl, HeartbeatMs);
  Socket.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMs);
}

} // namespace

PeerKeys generatePeerKeys() {
  std::array<char, KeyLength + 1> Public{}, Secret{};
  zmq_curve_keypair(Public.data(), Secret.data());
  return {Public.data(), Secret.data()};
}

struct PeerMesh::State : std::enable_shared_from_this<PeerMesh::State> {
  State(boost::asio::io_context &Io, MemberId Self, PeerKeys Keys,
        Handler Handle)
      : Self_(std::move(Self)), Keys_(std::move(Keys)),
        Handle_(std::move(Handle)), Io_(Io), Context_(1),
        Zap_(Context_, zmq::socket_type::rep),
        Inbox_(Context_, zmq::socket_type::router) {}

  void start() {
    ZapReader_.emplace(Io_, Zap_);
    InboxReader_.emplace(Io_, Inbox_);
    framework::fibers::spawnUrgent(
        [Self = shared_from_this()] { Self->zapLoop(); });
    // Entries repeat what is not answered soon.
    framework::fibers::spawnUrgent(
        [Self = shared_from_this()] { Self->receiveLoop(); });
  }

  /// Answers ZeroMQ's authentication requests. Without a handler, any client
  /// that knows the public key could connect.
  void zapLoop() {
    while (!Stopped_ && ZapReader_->waitForMessage()) {
      std::vector<zmq::message_t> Frames;
      bool More = true;
      while (More) {
        zmq::message_t Frame;
        if (!Zap_.recv(Frame, zmq::recv_flags::dontwait))
          break;
        More = Frame.more();
        Frames.push_back(std::move(Frame));
      }
      if (!Frames.empty())
        answerZap(Frames);
    }
  }

  void answerZap(const std::vector<zmq::message_t> &Frames) {
    bool Allowed = false;
    if (Frames.size() == ZapFrames) {
      std::array<char, KeyLength + 1> Key{};
      const zmq::message_t &Raw = Frames[ZapKeyFrame];
      if (Raw.size() == 32)
        zmq_z85_encode(Key.data(), Raw.data<std::uint8_t>(), Raw.size());
      Allowed = Keys_.Public_ == Key.data();
    }
    const std::string Id =
        Frames.size() > ZapIdFrame ? Frames[ZapIdFrame].to_string() : "";
    const std::array<std::string, 6> Reply = {
        "1.0", Id, Allowed ? "200" : "400", Allowed ? "OK" : "no access",
        "",    ""};
    for (std::size_t I = 0; I < Reply.size(); ++I)
      Zap_.send(zmq::buffer(Reply[I]), I + 1 < Reply.size()
                                           ? zmq::send_flags::sndmore
                                           : zmq::send_flags::none);
    if (!Allowed)
      framework::log::warning("peer.refused").field("reason", "unknown key");
  }

  void receiveLoop() {
    while (!Stopped_ && InboxReader_->waitForMessage())
      receiveAll();
  }

  /// Receives what has arrived. Messages of a large fleet may arrive faster
  /// than a process with little processor time handles them. Without a pause,
  /// nothing else would run then: a new leader lost its lease while it handled
  /// the calls that had waited for it, and so did the next one.
  void receiveAll() {
    framework::fibers::TimeSlice Slice;
    while (!Stopped_ && InboxReader_->hasMessage()) {
      receiveNext();
      Slice.pauseIfUsed();
    }
  }

  void receiveNext() {
    zmq::message_t Identity, Body;
    if (!Inbox_.recv(Identity, zmq::recv_flags::dontwait))
      return;
    bool Complete = Identity.more() &&
                    Inbox_.recv(Body, zmq::recv_flags::dontwait).has_value();
    while (Complete && Body.more())
      Complete = Inbox_.recv(Body, zmq::recv_flags::dontwait).has_value();
    if (Complete)
      receive(Body.to_string_view());
  }

  void receive(std::string_view Bytes) {
    Counters_.BytesIn_ += Bytes.size();
    ++Counters_.MessagesIn_;
    absl::StatusOr<Envelope> Decoded = decode(Bytes);
    // Messages for another incarnation of this entry refer to state that no
    // longer exists.
    const bool AddressedToSelf =
        Decoded.ok() && Decoded->To_.Name_ == Self_.Name_ &&
        (Decoded->To_.Incarnation_.value() == 0 || Decoded->To_ == Self_);
    const bool Unaddressed = Decoded.ok() && Decoded->To_.Name_.empty();
    if (!AddressedToSelf && !Unaddressed) {
      ++Counters_.Refused_;
      return;
    }
    Handle_(Decoded->From_, std::move(Decoded->Message_));
  }

  zmq::socket_t *outboxFor(const std::string &Address) {
    const auto Known = Outboxes_.find(Address);
    if (Known != Outboxes_.end())
      return &Known->second;
    try {
      zmq::socket_t Socket(Context_, zmq::socket_type::dealer);
      setCommonOptions(Socket);
      Socket.set(zmq::sockopt::immediate, true);
      Socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
      Socket.set(zmq::sockopt::reconnect_ivl_max, ReconnectMaxMs);
      Socket.set(zmq::sockopt::curve_serverkey, Keys_.Public_);
      Socket.set(zmq::sockopt::curve_publickey, Keys_.Public_);
      Socket.set(zmq::sockopt::curve_secretkey, Keys_.Secret_);
      Socket.connect("tcp://" + Address);
      return &Outboxes_.emplace(Address, std::move(Socket)).first->second;
    } catch (const zmq::error_t &Error) {
      framework::log::warning("peer.connect_failed")
          .field("address", Address)
          .field("reason", Error.what());
      return nullptr;
    }
  }

  void send(const MemberId &To, const std::string &Address,
            const Message &Body) {
    zmq::socket_t *Outbox = outboxFor(Address);
    if (!Outbox)
      return;
    const std::string Bytes = encode(
        {{Self_, Advertised_.str(), framework::clock::SystemClock().now()},
         To,
         Body});
    if (!Outbox->send(zmq::buffer(Bytes), zmq::send_flags::dontwait)) {
      ++Counters_.Dropped_;
      return;
    }
    Counters_.BytesOut_ += Bytes.size();
    ++Counters_.MessagesOut_;
  }

  MemberId Self_;
  PeerKeys Keys_;
  Handler Handle_;
  boost::asio::io_context &Io_;
  zmq::context_t Context_;
  zmq::socket_t Zap_;
  zmq::socket_t Inbox_;
  std::optional<ZmqReader> ZapReader_;
  std::optional<ZmqReader> InboxReader_;
  std::map<std::string, zmq::socket_t> Outboxes_;
  framework::http::Address Advertised_;
  MeshCounters Counters_;
  bool Stopped_ = false;
};

PeerMesh::PeerMesh(boost::asio::io_context &Io, MemberId Self, PeerKeys Keys,
                   Handler Handle)
    : State_(std::make_shared<State>(Io, std::move(Self), std::move(Keys),
                                     std::move(Handle))) {}

PeerMesh::~PeerMesh() { stop(); }

absl::Status PeerMesh::bind(const framework::http::Address &At,
                            framework::http::Address Advertised) {
  State &S = *State_;
  try {
    S.Zap_.bind(ZapEndpoint);
    setCommonOptions(S.Inbox_);
    S.Inbox_.set(zmq::sockopt::curve_server, true);
    S.Inbox_.set(zmq::sockopt::curve_secretkey, S.Keys_.Secret_);
    S.Inbox_.set(zmq::sockopt::zap_domain, ZapDomain);
    S.Inbox_.set(zmq::sockopt::backlog, MaxPendingConnections);
    const std::string Port = At.Port_ == 0 ? "*" : std::to_string(At.Port_);
    S.Inbox_.bind("tcp://" + At.Ip_ + ":" + Port);
  } catch (const zmq::error_t &Error) {
    return absl::UnavailableError("cannot bind peer address " + At.str() +
                                  ": " + Error.what());
  }
  const std::string Bound = S.Inbox_.get(zmq::sockopt::last_endpoint);
  if (Advertised.Port_ == 0)
    Advertised.Port_ = static_cast<std::uint16_t>(
        std::stoi(Bound.substr(Bound.rfind(':') + 1)));
  S.Advertised_ = std::move(Advertised);
  S.start();
  return absl::OkStatus();
}

const framework::http::Address &PeerMesh::advertised() const {
  return State_->Advertised_;
}

void PeerMesh::send(const MemberId &To, const std::string &Address,
                    const Message &Body) {
  State_->send(To, Address, Body);
}

void PeerMesh::closeConnectionsExcept(const std::vector<std::string> &Wanted) {
  std::erase_if(State_->Outboxes_, [&](const auto &Item) {
    return std::find(Wanted.begin(), Wanted.end(), Item.first) == Wanted.end();
  });
}

const MeshCounters &PeerMesh::counters() const { return State_->Counters_; }

void PeerMesh::stop() {
  State_->Stopped_ = true;
  if (State_->ZapReader_)
    State_->ZapReader_->stop();
  if (State_->InboxReader_)
    State_->InboxReader_->stop();
}

} // namespace laburnumspread::peers
