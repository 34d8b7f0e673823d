#include "soak/wire.h"

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

/// How often held bytes look whether they may go on.
constexpr auto LookEvery = 5ms;
constexpr std::size_t ChunkBytes = 16 * 1024;

} // namespace

namespace {

/// One connection through the wire.
struct Link {
  explicit Link(asio::io_context &Io) : Near_(Io), Far_(Io) {}

  void reset() {
    boost::system::error_code Ignored;
    for (tcp::socket *Socket : {&Near_, &Far_}) {
      Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
  }
  bool open() const { return Near_.is_open() && Far_.is_open(); }

  tcp::socket Near_;
  tcp::socket Far_;
  bool Silent_ = false;
};

} // namespace

struct Wire::State : std::enable_shared_from_this<Wire::State> {
  explicit State(asio::io_context &Io) : Io_(Io), Acceptor_(Io) {}

  void acceptLoop() {
    while (Acceptor_.is_open()) {
      auto Fresh = std::make_shared<Link>(Io_);
      const IoOutcome Taken = await([&](auto Done) {
        Acceptor_.async_accept(Fresh->Near_, std::move(Done));
      });
      if (Taken.Error_)
        continue;
      std::erase_if(Links_, [](const auto &Known) { return Known.expired(); });
      Links_.push_back(Fresh);
      framework::fibers::spawn(
          [Self = shared_from_this(), Fresh] { Self->connect(Fresh); });
    }
  }

  void connect(const std::shared_ptr<Link> &Of) {
    hold(*Of, Cuts_.Forth_);
    const IoOutcome Reached = await([&](auto Done) {
      Of->Far_.async_connect({asio::ip::address_v4::loopback(), Target_},
                             std::move(Done));
    });
    if (Reached.Error_)
      return Of->reset();
    framework::fibers::spawn([Self = shared_from_this(), Of] {
      Self->pass(*Of, Of->Near_, Of->Far_, Self->Cuts_.Forth_);
    });
    pass(*Of, Of->Far_, Of->Near_, Cuts_.Back_);
  }

  /// Waits while the way is cut, or for the connection's end.
  void hold(const Link &Of, const bool &Cut) const {
    while ((Cut || Of.Silent_) && Of.Near_.is_open())
      framework::fibers::sleepFor(LookEvery);
  }

  /// Passes on what comes from \p From until one side ends.
  void pass(Link &Of, tcp::socket &From, tcp::socket &To, const bool &Cut) {
    std::array<char, ChunkBytes> Chunk;
    while (Of.open()) {
      const IoOutcome Read = await([&](auto Done) {
        From.async_read_some(asio::buffer(Chunk), std::move(Done));
      });
      hold(Of, Cut);
      if (!Of.open())
        return;
      if (Read.Error_ == asio::error::eof) {
        boost::system::error_code Ignored;
        To.shutdown(tcp::socket::shutdown_send, Ignored);
        return;
      }
      if (Read.Error_)
        return Of.reset();
      const IoOutcome Written = await([&](auto Done) {
        asio::async_write(To, asio::buffer(Chunk.data(), Read.Bytes_),
                          std::move(Done));
      });
      if (Written.Error_)
        return Of.reset();
      Passed_ += Read.Bytes_;
    }
  }

  template <typename Change> void eachLink(const Change &Apply) {
    for (const std::weak_ptr<Link> &Known : Links_)
      if (const auto Live = Known.lock())
        Apply(*Live);
  }

  asio::io_context &Io_;
  tcp::acceptor Acceptor_;
  std::uint16_t Target_ = 0;
  Cuts Cuts_;
  std::uint64_t Passed_ = 0;
  std::vector<std::weak_ptr<Link>> Links_;
};

Wire::Wire(asio::io_context &Io) : State_(std::make_shared<State>(Io)) {}

absl::StatusOr<std::uint16_t> Wire::start(std::uint16_t Target) {
  State_->Target_ = Target;
  boost::system::error_code Error;
  State_->Acceptor_.open(tcp::v4(), Error);
  if (!Error)
    State_->Acceptor_.bind({asio::ip::address_v4::loopback(), 0}, Error);
  if (!Error)
    State_->Acceptor_.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return absl::UnavailableError("wire: " + Error.message());
  framework::fibers::spawn([Self = State_] { Self->acceptLoop(); });
  return State_->Acceptor_.local_endpoint().port();
}

void Wire::setForthCut(bool On) { State_->Cuts_.Forth_ = On; }
void Wire::setBackCut(bool On) { State_->Cuts_.Back_ = On; }

void Wire::resetAll() {
  State_->eachLink([](Link &Of) { Of.reset(); });
}

void Wire::silenceAll() {
  State_->eachLink([](Link &Of) { Of.Silent_ = true; });
}

std::uint64_t Wire::passed() const { return State_->Passed_; }

} // namespace laburnumspread::soak
