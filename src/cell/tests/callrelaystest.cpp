#include "cell/callrelays.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <set>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;
using fleet::EntryName;

constexpr framework::clock::TimePoint Now{1h};
constexpr CallAttempt First{1, false};
const EntryName Leader("e0");

EntryName nameOf(std::size_t I) { return EntryName("e" + std::to_string(I)); }

Candidate candidate(std::size_t I, double Weight) {
  return {Weight, {nameOf(I), fleet::Incarnation(1)}, "10.0.0.1:1"};
}

/// The entries of a fleet, of which every tenth is strong.
CallRelays relaysOf(const EntryName &Self, std::size_t Entries) {
  CallRelays Result(Self);
  for (std::size_t I = 0; I < Entries; ++I)
    Result.recordEntry(candidate(I, I % 10 == 0 ? 1 : 0.1));
  return Result;
}

/// Where the calls of all entries arrive.
struct Traffic {
  explicit Traffic(std::size_t Entries) {
    for (std::size_t I = 1; I < Entries; ++I) {
      CallRelays Own = relaysOf(nameOf(I), Entries);
      if (const auto Relay = Own.choose(First, Leader, Now))
        ++Clients_[Relay->Id_.Name_];
      else
        ++Direct_;
    }
  }

  std::size_t mostClients() const {
    std::size_t Most = 0;
    for (const auto &[Relay, Count] : Clients_)
      Most = std::max(Most, Count);
    return Most;
  }

  std::size_t Direct_ = 0;
  std::map<EntryName, std::size_t> Clients_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CallRelaysTest)

// Guards against a relay's delay where the leader can serve all entries.
BOOST_AUTO_TEST_CASE(EntriesOfASmallFleetCallTheLeaderDirectly) {
  const Traffic Small(CallRelays::MaxDirectEntries);
  BOOST_TEST(Small.Clients_.empty());
}

// Guards against a new leader that sets up a connection with each entry of the
// fleet in its first second, renews its lease too late, and loses it.
BOOST_AUTO_TEST_CASE(ConnectionsGrowWithTheRootOfTheFleet) {
  for (const std::size_t Entries : {100u, 400u, 1600u}) {
    const Traffic All(Entries);
    const auto Root =
        static_cast<std::size_t>(std::sqrt(static_cast<double>(Entries)));
    // The relays, and the entries whose relay is the leader.
    BOOST_TEST(All.Direct_ <= 3 * Root);
    BOOST_TEST(All.mostClients() <= 3 * Root);
  }
}

BOOST_AUTO_TEST_CASE(RelaysAreStrongEntries) {
  const Traffic All(400);
  for (const auto &[Relay, Count] : All.Clients_)
    BOOST_TEST(Relay.str().back() == '0');
}

// Guards against calls that wait for a relay that is gone.
BOOST_AUTO_TEST_CASE(SilentRelayIsPassedOver) {
  CallRelays Own = relaysOf(nameOf(1), 400);
  const EntryName Silent = Own.choose(First, Leader, Now)->Id_.Name_;
  const auto Next = Own.choose(First, Leader, Now + 250ms);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST((Next->Id_.Name_ != Silent));
  Own.recordConfirmation(Next->Id_.Name_, Now + 255ms);
  BOOST_TEST((Own.choose(First, Leader, Now + 10s)->Id_.Name_ == Silent));
}

BOOST_AUTO_TEST_CASE(ConfirmedRelayIsKept) {
  CallRelays Own = relaysOf(nameOf(1), 400);
  const EntryName Chosen = Own.choose(First, Leader, Now)->Id_.Name_;
  Own.recordConfirmation(Chosen, Now + 5ms);
  BOOST_TEST((Own.choose(First, Leader, Now + 1s)->Id_.Name_ == Chosen));
}

// Guards against a connection to another entry for each attempt: the first
// message only sets up the connection.
BOOST_AUTO_TEST_CASE(SecondAttemptGoesThroughTheSameRelay) {
  CallRelays Own = relaysOf(nameOf(1), 400);
  const EntryName Chosen = Own.choose(First, Leader, Now)->Id_.Name_;
  BOOST_TEST(
      (Own.choose({2, false}, Leader, Now + 120ms)->Id_.Name_ == Chosen));
  BOOST_TEST(
      (Own.choose({3, false}, Leader, Now + 240ms)->Id_.Name_ != Chosen));
}

// Guards against callers that get no answer when all relays are lost.
BOOST_AUTO_TEST_CASE(CallGoesDirectlyIfNoRelayConfirms) {
  CallRelays Own = relaysOf(nameOf(1), 400);
  const std::uint32_t After =
      CallRelays::MaxRelays * CallRelays::AttemptsPerRelay + 1;
  BOOST_TEST(!Own.choose({After, false}, Leader, Now).has_value());
}

// Guards against a storm of new connections at a leader that is late: the
// relays confirm, so calling it directly would only add to its load.
BOOST_AUTO_TEST_CASE(ForwardedCallIsNeverSentDirectly) {
  CallRelays Own = relaysOf(nameOf(1), 400);
  for (std::uint32_t Number = 2; Number < 10; ++Number)
    BOOST_TEST(Own.choose({Number, true}, EntryName("other"), Now).has_value());
}

BOOST_AUTO_TEST_CASE(LaterIncarnationReplacesAnEarlierOne) {
  CallRelays Own(nameOf(1));
  Candidate Later = candidate(2, 1);
  Later.Id_.Incarnation_ = fleet::Incarnation(5);
  Own.recordEntry(Later);
  Own.recordEntry(candidate(2, 1));
  BOOST_TEST((Own.entries().at(nameOf(2)).Id_ == Later.Id_));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
