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

// The caller of a cut-off entry sees not-run within seconds, although the
// entry's process is well. Its last proofs of contact grow old one after the
// other; with three of seven members left it can miss a withdrawal.
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

// A process is stopped for an hour and finds, when it wakes, the answer to a
// heartbeat that it had sent before. It must not take that for contact now.
BOOST_AUTO_TEST_CASE(AnswerToAnOldHeartbeatIsNoProof) {
  const View Current = viewOfSeven();
  ReachabilityTracker Table;
  for (const Member &Item : Current.Members_)
    Table.recordPeerReply(Item.Id_, Start);
  BOOST_TEST(Table.fenced(Current, Current.Members_[0].Id_, Start + 1h));
}

BOOST_AUTO_TEST_CASE(LoneMemberGoesOnThroughAStoreOutage) {
  View Alone = viewOfSeven();
  Alone.Members_.resize(1);
  BOOST_TEST(
      !ReachabilityTracker().fenced(Alone, Alone.Members_[0].Id_, Start));
}
