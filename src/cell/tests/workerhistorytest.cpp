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
