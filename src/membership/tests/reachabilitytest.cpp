#include "membership/reachability.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread::membership;
using namespace std::chrono_literals;

namespace {

View viewOfSeven() {
  View Result;
  for (int I = 0; I < 7; ++I) {
    Member Item;
    Item.Id_ = {EntryName("e" + std::to_string(I)), Incarnation(1)};
    Result.Members_.push_back(Item);
  }
  return Result;
}

const TimePoint Start{1h};

} // namespace

// An entry loses contact with the store and its peers one after the other. With
// three of seven members reachable it can miss the withdrawal of a key and must
// refuse work.
BOOST_AUTO_TEST_CASE(EntryWithoutStoreAndMajorityIsFenced) {
  const View Current = viewOfSeven();
  const MemberId Self = Current.Members_[0].Id_;
  ReachabilityTracker Table;
  Table.recordStoreReply(Start);
  BOOST_TEST(!Table.fenced(Current, Self, Start + ReachabilityTimeout));
  BOOST_TEST(Table.fenced(Current, Self, Start + ReachabilityTimeout + 1us));
  for (int I = 1; I <= 2; ++I)
    Table.recordPeerReply(Current.Members_[I].Id_, Start + 3s);
  BOOST_TEST(Table.fenced(Current, Self, Start + 4s));
  Table.recordPeerReply(Current.Members_[3].Id_, Start + 3s);
  BOOST_TEST(!Table.fenced(Current, Self, Start + 4s));
}

// A process is paused for an hour and then reads the reply to a heartbeat that
// it sent before the pause. The reply must not count as contact now.
BOOST_AUTO_TEST_CASE(ReplyToAnOldHeartbeatIsNoContact) {
  const View Current = viewOfSeven();
  ReachabilityTracker Table;
  for (const Member &Item : Current.Members_)
    Table.recordPeerReply(Item.Id_, Start);
  BOOST_TEST(Table.fenced(Current, Current.Members_[0].Id_, Start + 1h));
}

BOOST_AUTO_TEST_CASE(SingleMemberContinuesDuringAStoreOutage) {
  View Alone = viewOfSeven();
  Alone.Members_.resize(1);
  BOOST_TEST(
      !ReachabilityTracker().fenced(Alone, Alone.Members_[0].Id_, Start));
}
