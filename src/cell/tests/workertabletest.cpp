#include "cell/workertable.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

constexpr auto Lease = 6000ms;
constexpr auto Wait = 1500ms;
const jobs::FencingToken Token(7);
const TimePoint Start(std::chrono::hours(1));

WorkerRow syncedRow() {
  WorkerRow Row;
  Row.Synced_ = true;
  Row.updateClock(1000, Start);
  return Row;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerTableTest)

BOOST_AUTO_TEST_CASE(FirstHoldOnlyLooks) {
  WorkerRow Row;
  const HoldOrder Order = Row.nextRenewal(Start, Token, Lease, Wait);
  BOOST_TEST(Order.DeadlineMs_ == 0);
  BOOST_TEST((Row.LeaseExpiry_ == TimePoint()));
}

BOOST_AUTO_TEST_CASE(HoldAsksForAWholeLeaseOnTheWorkersClock) {
  WorkerRow Row = syncedRow();
  const HoldOrder Order = Row.nextRenewal(Start + 500ms, Token, Lease, Wait);
  BOOST_TEST(Order.DeadlineMs_ == 1000 + 500 + 6000);
  // The worker's clock may be two in a hundred slow.
  BOOST_TEST((Row.LeaseExpiry_ > Start + 6500ms));
  BOOST_TEST((Row.LeaseExpiry_ < Start + 7700ms));
}

// A caller's standing task is never restarted: its worker leaves for good, the
// holder asks it again and again, and each question renews the lease on paper.
// The runs there then never count as lapsed, and no other worker gets them.
BOOST_AUTO_TEST_CASE(UnansweredHoldsDoNotPutOffTheEndOfTheLease) {
  WorkerRow Row = syncedRow();
  Row.nextRenewal(Start, Token, Lease, Wait);
  const TimePoint Ends = Row.LeaseExpiry_;
  for (int I = 1; I < 20; ++I) {
    Row.Unanswered_ = static_cast<std::uint32_t>(I);
    const HoldOrder Again =
        Row.nextRenewal(Start + I * 700ms, Token, Lease, Wait);
    BOOST_TEST(Again.DeadlineMs_ == 0);
  }
  BOOST_TEST((Row.LeaseExpiry_ == Ends));
}

// Callers wait for workers that are well: orders are carried out late now and
// then, and each lost answer took its worker out of use for a look.
BOOST_AUTO_TEST_CASE(OneLostAnswerLeavesAWorkerInUse) {
  WorkerRow Row = syncedRow();
  Row.Unanswered_ = 1;
  BOOST_TEST(Row.acceptsTasks());
  Row.Unanswered_ = 2;
  BOOST_TEST(!Row.acceptsTasks());
}

// Answers on two connections overtake each other: the older clock must not
// set the newer one back, or a lease would seem to end too early.
BOOST_AUTO_TEST_CASE(OlderClockIsPassedOver) {
  WorkerRow Row = syncedRow();
  Row.updateClock(900, Start + 10ms);
  BOOST_TEST(Row.ClockMs_ == 1000);
  BOOST_TEST(Row.clockMs(Start + 50ms) == 1050);
}

// Tasks start a second time while they work, and their worker gets no more for
// the rest of the term. The first answer of a worker that has just come up is
// lost, and a list of machines from before it came up calls it gone: a row
// without any answer counted as silent for as long as there is time.
BOOST_AUTO_TEST_CASE(ListFromBeforeAWorkerCameUpSaysNothingOfIt) {
  WorkerRow Row;
  Row.ListedAt_ = Start;
  Row.Unanswered_ = 1;
  BOOST_TEST(!Row.silentSince(Start - 1ms));
  BOOST_TEST(Row.silentSince(Start + 1ms));
  Row.AnsweredAt_ = Start + 2ms;
  BOOST_TEST(!Row.silentSince(Start + 1ms));
  Row.Unanswered_ = 0;
  BOOST_TEST(!Row.silentSince(Start + 3ms));
}

// Tasks were given to a worker whose machine had been ordered away, and were
// lost with it: no list showed yet that it was gone. A worker that lives on,
// as the order had been carried out before, answers and is used again.
BOOST_AUTO_TEST_CASE(DoubtedWorkerIsGivenNothingUntilItAnswers) {
  WorkerRow Row;
  Row.Synced_ = true;
  BOOST_TEST(Row.acceptsTasks());
  Row.suspect();
  BOOST_TEST(!Row.acceptsTasks());
  Row.Unanswered_ = 0;
  BOOST_TEST(Row.acceptsTasks());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
