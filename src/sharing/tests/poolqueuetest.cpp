#include "sharing/poolqueue.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread::sharing;
using namespace laburnumspread::fleet;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000h};
const PoolName Orders("orders");
const TeamName Big("big"), Small("small");
constexpr std::uint32_t PoolSlots = 40;

struct Fixture {
  FleetUsage Usage_;
  PoolQueue Queue_{1000};
  std::map<TeamName, std::uint32_t> Weights_{{Big, 3}, {Small, 1}};
  std::uint64_t Next_ = 0;

  TicketId push(const TeamName &Team,
                RequestClass Class = RequestClass::Normal) {
    Ticket Item{TicketId(++Next_), Team, Class, Start + 5s,
                Start + std::chrono::microseconds(Next_)};
    BOOST_REQUIRE(Queue_.push(Item).ok());
    Usage_.addWaiting(Orders, Team, 1);
    return Item.Id_;
  }

  SlotRecipient choose() {
    return Queue_.selectNext({Usage_, Orders, PoolSlots,
                              [&](const TeamName &T) { return Weights_[T]; },
                              [](const TeamName &) { return true; }, Start});
  }

  /// Starts the selected request and returns its workspace.
  TeamName startNext() {
    const Ticket Chosen = std::get<Ticket>(choose());
    Queue_.cancel(Chosen.Id_);
    Usage_.addWaiting(Orders, Chosen.Team_, -1);
    Usage_.addRunning(Orders, Chosen.Team_, 1);
    return Chosen.Team_;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(FullPoolIsSharedByWeight, Fixture) {
  for (int I = 0; I < 100; ++I) {
    push(Big);
    push(Small);
  }
  std::map<TeamName, int> Started;
  for (std::uint32_t I = 0; I < PoolSlots; ++I)
    ++Started[startNext()];
  BOOST_TEST(Started[Big] == 30);
  BOOST_TEST(Started[Small] == 10);
}

// One workspace floods the queue before another sends its first request. The
// second one is below its share and must be served first.
BOOST_FIXTURE_TEST_CASE(FloodDoesNotDelayATeamBelowItsShare, Fixture) {
  for (int I = 0; I < 500; ++I)
    push(Big);
  for (int I = 0; I < 10; ++I)
    startNext();
  push(Small);
  BOOST_TEST(startNext() == Small);
}

// Most work of a workspace runs at other entries. It must count against the
// workspace's share here, although none of it runs at this entry.
BOOST_FIXTURE_TEST_CASE(WorkAtPeersCountsAgainstTheShare, Fixture) {
  const MemberId Peer{EntryName("p"), Incarnation(1)};
  push(Big);
  push(Small);
  Usage_.replacePeerRows(Peer,
                         {{Orders, Big, {30, 0}}, {Orders, Small, {5, 0}}});
  BOOST_TEST(startNext() == Small);
  Usage_.removePeer(Peer);
  BOOST_TEST(Usage_.total(Orders, Big).Running_ == 0u);
}

BOOST_FIXTURE_TEST_CASE(UrgentGoesFirstOnlyWithinItsShare, Fixture) {
  push(Big);
  push(Small, RequestClass::Urgent);
  BOOST_TEST(startNext() == Small);
  Usage_.addRunning(Orders, Small, 20);
  push(Small, RequestClass::Urgent);
  BOOST_TEST(startNext() == Big);
}

BOOST_FIXTURE_TEST_CASE(BatchRequestsFollowOtherRequestsOfTheirTeam, Fixture) {
  push(Big, RequestClass::Batch);
  const TicketId Normal = push(Big);
  BOOST_TEST(std::get<Ticket>(choose()).Id_ == Normal);
}

BOOST_FIXTURE_TEST_CASE(PeerBelowShareIsServedBeforeOwnWaiters, Fixture) {
  Usage_.addRunning(Orders, Big, 30);
  push(Big);
  PendingBorrowRequest Request;
  Request.From_ = {EntryName("p"), Incarnation(1)};
  Request.Team_ = Small;
  Request.Count_ = 1;
  Request.ExpiresAt_ = Start + 1s;
  Queue_.addBorrowRequest(Request);
  BOOST_TEST(std::holds_alternative<PendingBorrowRequest>(choose()));
  Queue_.recordGrant(Request);
  BOOST_TEST(std::holds_alternative<Ticket>(choose()));
  Request.ExpiresAt_ = Start;
  Queue_.addBorrowRequest(Request);
  BOOST_TEST(std::holds_alternative<Ticket>(choose()));
}

// Nine tenths of a long queue are cancelled at once, last request first. The
// remaining requests must keep their order and count.
BOOST_FIXTURE_TEST_CASE(CancellationWaveLeavesTheRestInOrder, Fixture) {
  std::vector<TicketId> Ids;
  for (int I = 0; I < 1000; ++I)
    Ids.push_back(push(Big));
  for (int I = 999; I >= 0; --I)
    if (I % 10 != 3)
      BOOST_REQUIRE(Queue_.cancel(Ids[I]));
  BOOST_TEST(!Queue_.cancel(Ids[0]));
  BOOST_TEST(Queue_.size() == 100u);
  BOOST_TEST(Queue_.waiting(Big) == 100u);
  BOOST_TEST(std::get<Ticket>(choose()).Id_ == Ids[3]);
}

BOOST_FIXTURE_TEST_CASE(QueueIsBoundedAndExpiresByDeadline, Fixture) {
  Queue_.setLimit(1);
  const TicketId Only = push(Big);
  Ticket Extra;
  Extra.Id_ = TicketId(99);
  BOOST_TEST(Queue_.push(Extra).code() == absl::StatusCode::kResourceExhausted);
  BOOST_TEST(Queue_.expire(Start + 4s).empty());
  BOOST_TEST(Queue_.expire(Start + 5s) == std::vector<TicketId>{Only});
  BOOST_TEST(Queue_.size() == 0u);
}

// A peer reports only the rows that have changed. Its other rows must stay, and
// a row of zeros must remove one.
BOOST_FIXTURE_TEST_CASE(ChangedRowsKeepTheOthers, Fixture) {
  const MemberId Peer{EntryName("p"), Incarnation(1)};
  Usage_.replacePeerRows(Peer,
                         {{Orders, Big, {30, 0}}, {Orders, Small, {5, 0}}});
  Usage_.updatePeerRows(Peer, {{Orders, Big, {0, 0}}});
  BOOST_TEST(Usage_.total(Orders, Big).Running_ == 0u);
  BOOST_TEST(Usage_.total(Orders, Small).Running_ == 5u);
  Usage_.addRunning(Orders, Big, 2);
  BOOST_TEST(Usage_.takeChanged(9).size() == 1u);
  BOOST_TEST(Usage_.takeChanged(9).empty());
  Usage_.addRunning(Orders, Big, -2);
  const auto Changed = Usage_.takeChanged(9);
  BOOST_REQUIRE(Changed.size() == 1u);
  BOOST_TEST(Changed[0].Usage_.Running_ == 0u);
  BOOST_TEST(Usage_.localRows().empty());
}

// More rows change than a heartbeat may carry. Rows with waiting requests must
// go first, and the others must follow later.
BOOST_FIXTURE_TEST_CASE(ChangedRowsBeyondTheMaximumFollowLater, Fixture) {
  Usage_.addRunning(Orders, Big, 1);
  Usage_.addWaiting(Orders, Small, 1);
  const auto First = Usage_.takeChanged(1);
  BOOST_REQUIRE(First.size() == 1u);
  BOOST_TEST(First[0].Team_ == Small);
  BOOST_TEST(Usage_.takeChanged(1).at(0).Team_ == Big);
  Usage_.markAllChanged();
  BOOST_TEST(Usage_.takeChanged(9).size() == 2u);
}
