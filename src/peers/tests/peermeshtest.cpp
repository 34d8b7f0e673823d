#include "peers/peermesh.h"

#include "framework/fibers/asioscheduler.h"
#include "framework/fibers/waiter.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <thread>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace laburnumspread;
using namespace laburnumspread::peers;
using namespace std::chrono_literals;

namespace {

const framework::http::Address AnyPort{"127.0.0.1", 0};

MemberId idOf(const char *Name) {
  return {fleet::EntryName(Name), fleet::Incarnation(1)};
}

struct Node {
  Node(boost::asio::io_context &Io, const char *Name, const PeerKeys &Keys)
      : Mesh_(Io, idOf(Name), Keys, [this](const Sender &From, Message &&) {
          std::this_thread::sleep_for(HandlingTime_);
          Received_.push_back(From);
        }) {
    BOOST_REQUIRE(Mesh_.bind(AnyPort, AnyPort).ok());
  }
  std::vector<Sender> Received_;
  /// Processor time that a message takes.
  std::chrono::milliseconds HandlingTime_{0};
  PeerMesh Mesh_;
};

/// Sends repeatedly until a message arrives, since delivery is not guaranteed.
bool sendUntilReceived(Node &From, Node &To, int Tries) {
  const std::string Address = To.Mesh_.advertised().str();
  for (int I = 0; I < Tries && To.Received_.empty(); ++I) {
    From.Mesh_.send(idOf("b"), Address, SnapshotRequest{});
    framework::fibers::sleepFor(10ms);
  }
  return !To.Received_.empty();
}

boost::asio::io_context &sharedIo() {
  static boost::asio::io_context Io;
  static const bool Installed = (framework::fibers::useAsioScheduler(Io), true);
  (void)Installed;
  return Io;
}

/// Highest descriptor that a test process is expected to have.
constexpr int MaxDescriptor = 1024;

/// Returns how many connections may wait to be accepted on this process's
/// listening socket at the port, as the kernel tells.
std::optional<unsigned> pendingConnectionsAllowed(std::uint16_t Port) {
  for (int Fd = 0; Fd < MaxDescriptor; ++Fd) {
    sockaddr_in At{};
    socklen_t AtSize = sizeof At;
    tcp_info Info{};
    socklen_t InfoSize = sizeof Info;
    if (getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &AtSize) != 0 ||
        At.sin_family != AF_INET || ntohs(At.sin_port) != Port ||
        getsockopt(Fd, IPPROTO_TCP, TCP_INFO, &Info, &InfoSize) != 0 ||
        Info.tcpi_state != TCP_LISTEN)
      continue;
    // Of a listening socket, this field holds the size of its queue.
    return Info.tcpi_sacked;
  }
  return std::nullopt;
}

constexpr int MaxTries = 1000;
constexpr int TriesWithoutDelivery = 50;

} // namespace

// Guards against callers that get no answer for seconds after a takeover on a
// large fleet: all entries connect to the new leader at once, and those past
// the queue of its socket try again only after seconds.
BOOST_AUTO_TEST_CASE(AllEntriesOfALargeFleetMayConnectAtOnce) {
  constexpr unsigned Entries = 1000;
  Node A(sharedIo(), "a", generatePeerKeys());
  const auto Allowed = pendingConnectionsAllowed(A.Mesh_.advertised().Port_);
  BOOST_REQUIRE(Allowed.has_value());
  BOOST_TEST(*Allowed >= Entries);
}

BOOST_AUTO_TEST_CASE(EntriesOfOneFleetExchangeMessages) {
  const PeerKeys Keys = generatePeerKeys();
  Node A(sharedIo(), "a", Keys), B(sharedIo(), "b", Keys);
  BOOST_TEST(sendUntilReceived(A, B, MaxTries));
  BOOST_TEST((B.Received_[0].Id_ == idOf("a")));
}

// Guards against a leader that renews its lease after it has expired: calls of
// all entries wait for it, and none of its fibers ran until all were handled.
BOOST_AUTO_TEST_CASE(TimersRunWhileManyMessagesAreHandled) {
  constexpr std::size_t Messages = 400;
  const PeerKeys Keys = generatePeerKeys();
  Node A(sharedIo(), "a", Keys), B(sharedIo(), "b", Keys);
  BOOST_REQUIRE(sendUntilReceived(A, B, MaxTries));
  B.Received_.clear();
  B.HandlingTime_ = 1ms;
  for (std::size_t I = 0; I < Messages; ++I)
    A.Mesh_.send(idOf("b"), B.Mesh_.advertised().str(), SnapshotRequest{});
  // ZeroMQ's own thread carries them over meanwhile.
  std::this_thread::sleep_for(200ms);
  framework::fibers::sleepFor(2ms);
  BOOST_TEST(B.Received_.size() < Messages / 4);
  for (int I = 0; I < MaxTries && B.Received_.size() < Messages; ++I)
    framework::fibers::sleepFor(10ms);
  BOOST_TEST(B.Received_.size() == Messages);
}

// A peer that knows the fleet's public key but not its secret key must be
// rejected, and none of its messages may arrive.
BOOST_AUTO_TEST_CASE(PeerWithoutSecretKeyIsRejected) {
  const PeerKeys Keys = generatePeerKeys();
  const PeerKeys Own = generatePeerKeys();
  Node Outsider(sharedIo(), "a", {Keys.Public_, Own.Secret_});
  Node B(sharedIo(), "b", Keys);
  BOOST_TEST(!sendUntilReceived(Outsider, B, TriesWithoutDelivery));
  Node Member(sharedIo(), "c", Keys);
  BOOST_TEST(sendUntilReceived(Member, B, MaxTries));
  BOOST_TEST((B.Received_[0].Id_ == idOf("c")));
}

BOOST_AUTO_TEST_CASE(MessageForAnotherIncarnationIsRejected) {
  const PeerKeys Keys = generatePeerKeys();
  Node A(sharedIo(), "a", Keys), B(sharedIo(), "b", Keys);
  BOOST_REQUIRE(sendUntilReceived(A, B, MaxTries));
  B.Received_.clear();
  const MemberId OtherIncarnation{fleet::EntryName("b"), fleet::Incarnation(9)};
  const std::string Address = B.Mesh_.advertised().str();
  for (int I = 0; I < MaxTries && B.Mesh_.counters().Refused_ == 0; ++I) {
    A.Mesh_.send(OtherIncarnation, Address, SnapshotRequest{});
    framework::fibers::sleepFor(10ms);
  }
  BOOST_TEST(B.Mesh_.counters().Refused_ > 0u);
  BOOST_TEST(B.Received_.empty());
}
