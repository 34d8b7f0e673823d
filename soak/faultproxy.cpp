#include "soak/faultproxy.h"

#include "framework/fibers/await.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"

#include <array>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace laburnumspread::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using framework::fibers::await;
using framework::fibers::IoOutcome;
using namespace std::chrono_literals;

namespace {

/// How often a blocked connection checks whether it may continue.
constexpr auto PollInterval = 5ms;
constexpr std::size_t ChunkBytes = 16 * 1024;

} // namespace

namespace {

/// One connection through the proxy.
struct Connection {
  explicit Connection(asio::io_context &Io) : Client_(Io), Server_(Io) {}

  void reset() {
    boost::system::error_code Ignored;
    for (tcp::socket *Socket : {&Client_, &Server_}) {
      Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
  }
  bool isOpen() const { return Client_.is_open() && Server_.is_open(); }

  tcp::socket Client_;
  tcp::socket Server_;
  bool Stalled_ = false;
};

} // namespace

struct FaultProxy::State : std::enable_shared_from_this<FaultProxy::State> {
  explicit State(asio::io_context &Io) : Io_(Io), Acceptor_(Io) {}

  void acceptLoop() {
    while (Acceptor_.is_open()) {
      auto Accepted = std::make_shared<Connection>(Io_);
      const IoOutcome Result = await([&](auto Done) {
        Acceptor_.async_accept(Accepted->Client_, std::move(Done));
      });
      if (Result.Error_)
        continue;
      std::erase_if(Connections_,
                    [](const auto &Weak) { return Weak.expired(); });
      Connections_.push_back(Accepted);
      framework::fibers::spawn(
          [Self = shared_from_this(), Accepted] { Self->connect(Accepted); });
    }
  }

  void connect(const std::shared_ptr<Connection> &Conn) {
    waitUntilOpen(*Conn, Blocked_.Upstream_);
    const IoOutcome Connected = await([&](auto Done) {
      Conn->Server_.async_connect(
          {asio::ip::address_v4::loopback(), TargetPort_}, std::move(Done));
    });
    if (Connected.Error_)
      return Conn->reset();
    framework::fibers::spawn([Self = shared_from_this(), Conn] {
      Self->forward(*Conn, Conn->Client_, Conn->Server_,
                    Self->Blocked_.Upstream_);
    });
    forward(*Conn, Conn->Server_, Conn->Client_, Blocked_.Downstream_);
  }

  /// Waits while the direction is blocked or the connection is stalled, until
  /// the client's socket is closed.
  void waitUntilOpen(const Connection &Conn, const bool &Blocked) const {
    while ((Blocked || Conn.Stalled_) && Conn.Client_.is_open())
      framework::fibers::sleepFor(PollInterval);
  }

  /// Forwards bytes from \p From to \p To until one side closes.
  void forward(Connection &Conn, tcp::socket &From, tcp::socket &To,
               const bool &Blocked) {
    std::array<char, ChunkBytes> Chunk;
    while (Conn.isOpen()) {
      const IoOutcome Read = await([&](auto Done) {
        From.async_read_some(asio::buffer(Chunk), std::move(Done));
      });
      waitUntilOpen(Conn, Blocked);
      if (!Conn.isOpen())
        return;
      if (Read.Error_ == asio::error::eof) {
        boost::system::error_code Ignored;
        To.shutdown(tcp::socket::shutdown_send, Ignored);
        return;
      }
      if (Read.Error_)
        return Conn.reset();
      const IoOutcome Written = await([&](auto Done) {
        asio::async_write(To, asio::buffer(Chunk.data(), Read.Bytes_),
                          std::move(Done));
      });
      if (Written.Error_)
        return Conn.reset();
      ForwardedBytes_ += Read.Bytes_;
    }
  }

  template <typename Change> void forEachConnection(const Change &Apply) {
    for (const std::weak_ptr<Connection> &Weak : Connections_)
      if (const auto Live = Weak.lock())
        Apply(*Live);
  }

  asio::io_context &Io_;
  tcp::acceptor Acceptor_;
  std::uint16_t TargetPort_ = 0;
  Directions Blocked_;
  std::uint64_t ForwardedBytes_ = 0;
  std::vector<std::weak_ptr<Connection>> Connections_;
};

FaultProxy::FaultProxy(asio::io_context &Io)
    : State_(std::make_shared<State>(Io)) {}

absl::StatusOr<std::uint16_t> FaultProxy::start(std::uint16_t TargetPort) {
  State_->TargetPort_ = TargetPort;
  boost::system::error_code Error;
  State_->Acceptor_.open(tcp::v4(), Error);
  if (!Error)
    State_->Acceptor_.bind({asio::ip::address_v4::loopback(), 0}, Error);
  if (!Error)
    State_->Acceptor_.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return absl::UnavailableError("fault proxy cannot listen: " +
                                  Error.message());
  framework::fibers::spawn([Self = State_] { Self->acceptLoop(); });
  return State_->Acceptor_.local_endpoint().port();
}

void FaultProxy::setUpstreamBlocked(bool On) {
  State_->Blocked_.Upstream_ = On;
}
void FaultProxy::setDownstreamBlocked(bool On) {
  State_->Blocked_.Downstream_ = On;
}

void FaultProxy::resetConnections() {
  State_->forEachConnection([](Connection &Conn) { Conn.reset(); });
}

void FaultProxy::stallConnections() {
  State_->forEachConnection([](Connection &Conn) { Conn.Stalled_ = true; });
}

std::uint64_t FaultProxy::forwardedBytes() const {
  return State_->ForwardedBytes_;
}

} // namespace laburnumspread::soak
