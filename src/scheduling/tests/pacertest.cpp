#include "scheduling/pacer.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::scheduling {

BOOST_AUTO_TEST_SUITE(PacerTest)

BOOST_AUTO_TEST_CASE(FullSpeedWhileLatenciesAreLow) {
  Pacer Pace;
  BOOST_TEST(Pace.update({}) == Pacer::FullPercent);
  BOOST_TEST(Pace.update({{100, 30}, {200, 120}}) == Pacer::FullPercent);
}

BOOST_AUTO_TEST_CASE(HalvedUntilStopped) {
  Pacer Pace;
  BOOST_TEST(Pace.update({{100, 90}}) == 50);
  BOOST_TEST(Pace.update({{100, 120}}) == 25);
  BOOST_TEST(Pace.update({{100, 120}}) == 12);
  BOOST_TEST(Pace.update({{100, 120}}) == 0);
}

BOOST_AUTO_TEST_CASE(RaisedSlowlyAndKeptBetweenThresholds) {
  Pacer Pace;
  Pace.update({{100, 90}});
  BOOST_TEST(Pace.update({{100, 75}}) == 50);
  BOOST_TEST(Pace.update({{100, 50}}) == 60);
}

// The latency of a service that a filler task slows down converges below the
// target, and the filler task keeps making progress.
BOOST_AUTO_TEST_CASE(ConvergesBelowTheTarget) {
  Pacer Pace;
  int OverInRow = 0, Progress = 0;
  int Percent = Pace.percent();
  for (int I = 0; I < 200; ++I) {
    const std::int64_t Tail = 40 + Percent;
    OverInRow = Tail > 100 ? OverInRow + 1 : 0;
    BOOST_TEST(OverInRow < 4);
    Percent = Pace.update({{100, Tail}});
    Progress += Percent;
  }
  BOOST_TEST(Progress > 200 * 20);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::scheduling
