#include "soak/faultproxy.h"

#include "framework/fibers/asioscheduler.h"
#include "framework/fibers/await.h"
#include "framework/fibers/waiter.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace laburnumspread::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using framework::fibers::await;
using framework::fibers::sleepFor;
using namespace std::chrono_literals;

asio::io_context &sharedIo() {
  static asio::io_context Io;
  static const bool Installed = (framework::fibers::useAsioScheduler(Io), true);
  (void)Installed;
  return Io;
}

/// A client and a server connected through the proxy.
struct Fixture {
  Fixture() {
    const auto Port = Proxy_.start(Listener_.local_endpoint().port());
    BOOST_REQUIRE(Port.ok());
    Port_ = *Port;
    connect(Client_, Accepted_);
  }

  void connect(tcp::socket &Client, tcp::socket &Accepted) {
    BOOST_REQUIRE(!await([&](auto Done) {
                     Client.async_connect(
                         {asio::ip::address_v4::loopback(), Port_},
                         std::move(Done));
                   }).Error_);
    BOOST_REQUIRE(!await([&](auto Done) {
                     Listener_.async_accept(Accepted, std::move(Done));
                   }).Error_);
  }

  static void send(tcp::socket &From) {
    await([&](auto Done) {
      asio::async_write(From, asio::buffer("x", 1), std::move(Done));
    });
  }

  /// Result of reading one byte.
  static boost::system::error_code read(tcp::socket &From) {
    char Byte = 0;
    return await([&](auto Done) {
             From.async_read_some(asio::buffer(&Byte, 1), std::move(Done));
           })
        .Error_;
  }

  /// Whether nothing arrives within about 20 ms, in which held bytes would be
  /// forwarded if they were released.
  static bool staysEmpty(const tcp::socket &To) {
    for (int Look = 0; Look < 20; ++Look) {
      if (To.available() > 0)
        return false;
      sleepFor(1ms);
    }
    return true;
  }

  tcp::acceptor Listener_{sharedIo(), {asio::ip::address_v4::loopback(), 0}};
  FaultProxy Proxy_{sharedIo()};
  std::uint16_t Port_ = 0;
  tcp::socket Client_{sharedIo()};
  tcp::socket Accepted_{sharedIo()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FaultProxyTest, Fixture)

BOOST_AUTO_TEST_CASE(BytesAreForwardedBothWays) {
  send(Client_);
  BOOST_TEST(!read(Accepted_));
  send(Accepted_);
  BOOST_TEST(!read(Client_));
  BOOST_TEST(Proxy_.forwardedBytes() == 2u);
}

BOOST_AUTO_TEST_CASE(BlockHoldsOneDirectionUntilItEnds) {
  Proxy_.setUpstreamBlocked(true);
  send(Client_);
  send(Accepted_);
  BOOST_TEST(!read(Client_));
  BOOST_TEST(staysEmpty(Accepted_));
  Proxy_.setUpstreamBlocked(false);
  BOOST_TEST(!read(Accepted_));
}

BOOST_AUTO_TEST_CASE(ResetBreaksBothSides) {
  send(Client_);
  BOOST_TEST(!read(Accepted_));
  Proxy_.resetConnections();
  BOOST_TEST((read(Client_) == asio::error::connection_reset));
  BOOST_TEST((read(Accepted_) == asio::error::connection_reset));
}

BOOST_AUTO_TEST_CASE(StalledConnectionStaysStalledAndNewOnesWork) {
  Proxy_.stallConnections();
  send(Client_);
  BOOST_TEST(staysEmpty(Accepted_));
  tcp::socket Client(sharedIo()), Accepted(sharedIo());
  connect(Client, Accepted);
  send(Client);
  BOOST_TEST(!read(Accepted));
  BOOST_TEST(staysEmpty(Accepted_));
}

BOOST_AUTO_TEST_CASE(EndOfStreamIsForwarded) {
  Client_.close();
  BOOST_TEST((read(Accepted_) == asio::error::eof));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::soak
