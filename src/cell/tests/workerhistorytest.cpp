#include "cell/workerhistory.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;
using jobs::FencingToken;

const TimePoint Takeover(std::chrono::hours(1));
const WorkerId Id("w");

/// Returns a worker that was \p Age old when it first replied, one second after
/// the takeover.
WorkerRow workerOf(Duration Age) {
  WorkerRow Row;
  Row.Record_.Incarnation_ = {Id, 1};
  const TimePoint RepliedAt = Takeover + 1s;
  Row.updateClock(
      std::chrono::duration_cast<std::chrono::milliseconds>(Age).count(),
      RepliedAt);
  Row.markSynced(RepliedAt, 6s);
  return Row;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerHistoryTest)

BOOST_AUTO_TEST_CASE(EachIncarnationOfAnIdGetsAHigherToken) {
  WorkerHistory History(Takeover);
  BOOST_TEST((History.assignToken(Id, FencingToken(5)) == FencingToken(5)));
  BOOST_TEST(!History.assignToken(Id, FencingToken(5)));
  BOOST_TEST((History.assignToken(Id, FencingToken(6)) == FencingToken(6)));
  // Another worker has been sent none.
  BOOST_TEST(
      (History.assignToken(WorkerId("v"), FencingToken(5)) == FencingToken(5)));
}

// Guards against a finished task that is started again after a takeover: a hold
// of the former leader waits at a worker that had just restarted, and drops the
// end of the task.
BOOST_AUTO_TEST_CASE(WorkerBornShortlyBeforeATakeoverTakesNoTaskAtFirst) {
  WorkerHistory History(Takeover);
  History.setFormerLeader(true);
  const WorkerRow Young = workerOf(2s);
  const TimePoint BornAt = Takeover + 1s - 2s;
  const Duration HoldsOver = MaxUnnoticedRestart + MaxHoldWait;
  BOOST_TEST(History.mayDropUnreadEnds(Young, BornAt + HoldsOver - 1ms));
  BOOST_TEST(!History.mayDropUnreadEnds(Young, BornAt + HoldsOver));
}

// Guards against a finished task that runs again on a worker that started anew:
// no call had made it refuse the late first attempt of its start.
BOOST_AUTO_TEST_CASE(RestartedWorkerMayExecuteFormerOrders) {
  WorkerHistory History(Takeover);
  const TimePoint Listed = Takeover + 1h;
  BOOST_TEST((History.formerOrdersUntil(Id, 0s, Listed) == Listed));
  History.assignToken(Id, FencingToken(5));
  BOOST_TEST(
      (History.formerOrdersUntil(Id, 0s, Listed) == Listed + MaxOrderDelay));
}

// Guards against the same after a takeover: nobody tells the successor which
// ids its predecessor has called.
BOOST_AUTO_TEST_CASE(YoungWorkerMayExecuteOrdersOfAFormerLeader) {
  WorkerHistory History(Takeover);
  History.setFormerLeader(true);
  const Duration Old = MaxAgeForFormerOrders + MaxWallClockDifference;
  const TimePoint Over = Takeover + StoreOutageTolerance + MaxOrderDelay;
  BOOST_TEST((History.formerOrdersUntil(Id, Old, Takeover) == Over));
  BOOST_TEST((History.formerOrdersUntil(Id, 0s, Over - 1ms) == Over));
  // Its time of day may be ahead of the leader's.
  BOOST_TEST((History.formerOrdersUntil(Id, -1h, Takeover) == Over));
}

// Guards against polls of the whole fleet: after each takeover, and as workers
// of new ids come.
BOOST_AUTO_TEST_CASE(OldWorkersAndNewIdsNeedNoCall) {
  WorkerHistory History(Takeover);
  BOOST_TEST((History.formerOrdersUntil(Id, 0s, Takeover) == Takeover));
  History.setFormerLeader(true);
  const Duration Older = MaxAgeForFormerOrders + MaxWallClockDifference + 1ms;
  BOOST_TEST((History.formerOrdersUntil(Id, Older, Takeover) == Takeover));
  const TimePoint Later = Takeover + StoreOutageTolerance + MaxOrderDelay;
  BOOST_TEST((History.formerOrdersUntil(Id, 0s, Later) == Later));
}

// Guards against sound workers that are left unused after each takeover, and
// when the cell starts for the first time.
BOOST_AUTO_TEST_CASE(OtherWorkersTakeTasksAtOnce) {
  WorkerHistory History(Takeover);
  BOOST_TEST(!History.mayDropUnreadEnds(workerOf(2s), Takeover + 1s));
  History.setFormerLeader(true);
  // Old, and born after the takeover.
  BOOST_TEST(!History.mayDropUnreadEnds(workerOf(60s), Takeover + 1s));
  BOOST_TEST(!History.mayDropUnreadEnds(workerOf(500ms), Takeover + 1s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
