#include "cell/workertable.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

constexpr auto Lease = 6000ms;
constexpr auto Wait = 1500ms;
const TimePoint Start(std::chrono::hours(1));

WorkerRow syncedRow() {
  WorkerRow Row;
  Row.Synced_ = true;
  Row.updateClock(1000, Start);
  return Row;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerTableTest)

BOOST_AUTO_TEST_CASE(FirstHoldOnlyPolls) {
  WorkerRow Row;
  const HoldOrder Order = Row.nextRenewal(Start, Lease, Wait);
  BOOST_TEST(Order.DeadlineMs_ == 0);
  BOOST_TEST((Row.LeaseExpiry_ == TimePoint()));
}

BOOST_AUTO_TEST_CASE(HoldRequestsAFullLeaseOnTheWorkersClock) {
  WorkerRow Row = syncedRow();
  const HoldOrder Order = Row.nextRenewal(Start + 500ms, Lease, Wait);
  BOOST_TEST(Order.DeadlineMs_ == 1000 + 500 + 6000);
  // The worker's clock may run 2 % slow.
  BOOST_TEST((Row.LeaseExpiry_ > Start + 6500ms));
  BOOST_TEST((Row.LeaseExpiry_ < Start + 7700ms));
}

// Guards against a long-running task that is never restarted. Its worker is
// gone for good, the leader keeps polling it, and each request extended the
// assumed lease. The runs there were then never considered expired, and no
// other worker got them.
BOOST_AUTO_TEST_CASE(UnansweredHoldsDoNotExtendTheLease) {
  WorkerRow Row = syncedRow();
  Row.nextRenewal(Start, Lease, Wait);
  const TimePoint Expiry = Row.LeaseExpiry_;
  for (int I = 1; I < 20; ++I) {
    Row.Unanswered_ = static_cast<std::uint32_t>(I);
    const HoldOrder Again = Row.nextRenewal(Start + I * 700ms, Lease, Wait);
    BOOST_TEST(Again.DeadlineMs_ == 0);
  }
  BOOST_TEST((Row.LeaseExpiry_ == Expiry));
}

// Guards against an end that nobody has read and that is forgotten: a hold with
// an acknowledgement that was not needed any more reached the worker's next
// incarnation.
BOOST_AUTO_TEST_CASE(EndsAreAcknowledgedOnlyUntilTheWorkerHasForgottenThem) {
  WorkerRow Row = syncedRow();
  Row.EndsStored_ = 3;
  BOOST_TEST(Row.nextPoll(Wait).AcknowledgedEnds_ == 3u);
  Row.EndsAcknowledged_ = 3;
  BOOST_TEST(Row.nextPoll(Wait).AcknowledgedEnds_ == 0u);
  Row.EndsStored_ = 4;
  BOOST_TEST(Row.nextRenewal(Start, Lease, Wait).AcknowledgedEnds_ == 4u);
}

// Guards against leaving healthy workers unused: orders are sometimes executed
// late, and each lost reply took the worker out of use until the next poll.
BOOST_AUTO_TEST_CASE(WorkerStaysInUseAfterOneLostReply) {
  WorkerRow Row = syncedRow();
  Row.Unanswered_ = 1;
  BOOST_TEST(Row.acceptsTasks());
  Row.Unanswered_ = 2;
  BOOST_TEST(!Row.acceptsTasks());
}

// Replies on two connections may arrive out of order. An older clock reading
// must not replace a newer one, or a lease would appear to end too early.
BOOST_AUTO_TEST_CASE(OlderClockReadingIsIgnored) {
  WorkerRow Row = syncedRow();
  Row.updateClock(900, Start + 10ms);
  BOOST_TEST(Row.ClockMs_ == 1000);
  BOOST_TEST(Row.clockMs(Start + 50ms) == 1050);
}

// Guards against tasks that start a second time while they run, on a worker
// that gets no more for the rest of the term. The first reply of a new worker
// was lost, and a machine list from before it came up showed it as gone: a
// worker without any reply counted as silent since the beginning of time.
BOOST_AUTO_TEST_CASE(ListFromBeforeAWorkerWasListedIsIgnored) {
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

// Guards against sending tasks to a worker whose machine was ordered away,
// which were lost because no list showed that yet. A worker that stays, because
// the order had been executed before, replies and is used again.
BOOST_AUTO_TEST_CASE(SuspectWorkerReceivesNoTasksUntilItReplies) {
  WorkerRow Row;
  Row.Synced_ = true;
  BOOST_TEST(Row.acceptsTasks());
  Row.suspect();
  BOOST_TEST(!Row.acceptsTasks());
  Row.Unanswered_ = 0;
  BOOST_TEST(Row.acceptsTasks());
}

// Guards against a successor that learns of an end and not of the start that
// followed it, as the worker's report was cut between the two.
BOOST_AUTO_TEST_CASE(EndsOfRunningTasksTakeRoomInTheReport) {
  WorkerRow Row;
  Row.EndsStaged_ = 300;
  Row.EndsAcknowledged_ = 100;
  BOOST_TEST(Row.oneMoreEndFits(299, 500));
  BOOST_TEST(!Row.oneMoreEndFits(300, 500));
  Row.EndsAcknowledged_ = 300;
  BOOST_TEST(Row.oneMoreEndFits(300, 500));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
