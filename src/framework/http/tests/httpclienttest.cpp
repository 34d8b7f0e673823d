#include "framework/http/httpclient.h"

#include "framework/clock/steadyclock.h"
#include "framework/fibers/asioscheduler.h"
#include "framework/http/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

namespace laburnumspread::framework::http {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t PartBytes = 16 * 1024;

boost::asio::io_context &sharedIo() {
  static boost::asio::io_context Io;
  static const bool Installed = (fibers::useAsioScheduler(Io), true);
  (void)Installed;
  return Io;
}

clock::TimePoint deadline() { return clock::wallDeadline(10s); }

/// A server that answers each request with a body of the given size.
class BodyServer {
public:
  explicit BodyServer(std::size_t Bytes)
      : Server_(
            sharedIo(), {},
            [this, Bytes](Exchange &Call) {
              Response Answer;
              Answer.Status_ = 200;
              Answer.Body_ = std::string(Bytes, 'x');
              Call.reply(Answer);
              ++Answered_;
            },
            [](int, std::string) { return Response(); }) {
    BOOST_REQUIRE(Server_.listen({"127.0.0.1", 0}).ok());
  }

  Address address() const { return {"127.0.0.1", Server_.port()}; }

  std::size_t Answered_ = 0;

private:
  Server Server_;
};

/// Reads a response that has arrived in full, and counts the reads. After each
/// one, all other fibers that are ready run.
std::size_t countReads(std::size_t Bytes) {
  // Never destroyed: its fibers run until the process exits.
  auto &From = *new BodyServer(Bytes);
  const auto Conn = Connection::make(sharedIo());
  BOOST_REQUIRE(Conn->connect(From.address(), deadline()).ok());
  Request Message;
  Message.Method_ = "GET";
  Message.Target_ = "/";
  BOOST_REQUIRE(Conn->send(Message, 0, deadline()).ok());
  while (From.Answered_ == 0)
    fibers::sleepFor(1ms);
  std::size_t Reads = 1;
  BOOST_REQUIRE(Conn->readHead(deadline()).ok());
  std::string Body;
  while (true) {
    const auto More = Conn->readSome(Body, PartBytes, deadline());
    BOOST_REQUIRE(More.ok());
    ++Reads;
    if (!*More)
      break;
  }
  BOOST_TEST(Body.size() == Bytes);
  return Reads;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against a leader that falls ever further behind the list of workers:
// each read of an answer waits for all fibers that are ready, so one that takes
// a hundred reads arrives seconds late where the processor is full.
BOOST_AUTO_TEST_CASE(LargeResponseIsReadInLargeParts) {
  constexpr std::size_t Parts = 4;
  // The head is one read, and the part that comes with it another.
  BOOST_TEST(countReads(Parts * PartBytes) <= Parts + 2);
}

// A usual reply is one read, its head included.
BOOST_AUTO_TEST_CASE(SmallResponseNeedsNoSecondRead) {
  constexpr std::size_t Bytes = 1500;
  const std::size_t HeadAndBufferedBody = 2;
  BOOST_TEST(countReads(Bytes) == HeadAndBufferedBody);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::http
