#include "soak/wire.h"

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

/// A caller and a server with the wire between them.
struct Fixture {
  Fixture() {
    const auto Port = Between_.start(Server_.local_endpoint().port());
    BOOST_REQUIRE(Port.ok());
    Port_ = *Port;
    connect(Caller_, Served_);
  }

  void connect(tcp::socket &Caller, tcp::socket &Served) {
    BOOST_REQUIRE(!await([&](auto Done) {
                     Caller.async_connect(
                         {asio::ip::address_v4::loopback(), Port_},
                         std::move(Done));
                   }).Error_);
    BOOST_REQUIRE(!await([&](auto Done) {
                     Server_.async_accept(Served, std::move(Done));
                   }).Error_);
  }

  static void send(tcp::socket &From) {
    await([&](auto Done) {
      asio::async_write(From, asio::buffer("x", 1), std::move(Done));
    });
  }

  /// The error of the next read, success when a byte has come.
  static boost::system::error_code read(tcp::socket &From) {
    char Byte = 0;
    return await([&](auto Done) {
             From.async_read_some(asio::buffer(&Byte, 1), std::move(Done));
           })
        .Error_;
  }

  /// Gives held bytes every chance to come through.
  static bool staysEmpty(const tcp::socket &To) {
    for (int Look = 0; Look < 20; ++Look) {
      if (To.available() > 0)
        return false;
      sleepFor(1ms);
    }
    return true;
  }

  tcp::acceptor Server_{sharedIo(), {asio::ip::address_v4::loopback(), 0}};
  Wire Between_{sharedIo()};
  std::uint16_t Port_ = 0;
  tcp::socket Caller_{sharedIo()};
  tcp::socket Served_{sharedIo()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WireTest, Fixture)

BOOST_AUTO_TEST_CASE(BytesPassBothWays) {
  send(Caller_);
  BOOST_TEST(!read(Served_));
  send(Served_);
  BOOST_TEST(!read(Caller_));
  BOOST_TEST(Between_.passed() == 2u);
}

BOOST_AUTO_TEST_CASE(CutHoldsOneWayAndLetsGoWhenItEnds) {
  Between_.setForthCut(true);
  send(Caller_);
  send(Served_);
  BOOST_TEST(!read(Caller_));
  BOOST_TEST(staysEmpty(Served_));
  Between_.setForthCut(false);
  BOOST_TEST(!read(Served_));
}

BOOST_AUTO_TEST_CASE(ResetBreaksBothSides) {
  send(Caller_);
  BOOST_TEST(!read(Served_));
  Between_.resetAll();
  BOOST_TEST((read(Caller_) == asio::error::connection_reset));
  BOOST_TEST((read(Served_) == asio::error::connection_reset));
}

BOOST_AUTO_TEST_CASE(SilencedConnectionStaysSilentAndNewOnesWork) {
  Between_.silenceAll();
  send(Caller_);
  BOOST_TEST(staysEmpty(Served_));
  tcp::socket Caller(sharedIo()), Served(sharedIo());
  connect(Caller, Served);
  send(Caller);
  BOOST_TEST(!read(Served));
  BOOST_TEST(staysEmpty(Served_));
}

BOOST_AUTO_TEST_CASE(EndIsPassedOn) {
  Caller_.close();
  BOOST_TEST((read(Served_) == asio::error::eof));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::soak
