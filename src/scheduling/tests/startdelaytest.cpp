#include "scheduling/startdelay.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::scheduling {

using namespace std::chrono_literals;

namespace {

StartDelay after(Duration Delay, int Starts) {
  StartDelay Result;
  for (int I = 0; I < Starts; ++I)
    Result.record(Delay);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StartDelayTest)

BOOST_AUTO_TEST_CASE(FollowsTheDelaysOfTheStarts) {
  BOOST_TEST((StartDelay().expected() == 0ms));
  const Duration Steady = after(200ms, 100).expected();
  BOOST_TEST((Steady > 190ms && Steady < 210ms));
}

// Guards against one worker that does not answer making all jobs look late.
BOOST_AUTO_TEST_CASE(OneLongDelayCountsLittle) {
  StartDelay Delay = after(10ms, 100);
  Delay.record(60s);
  BOOST_TEST((Delay.expected() < 450ms));
  for (int I = 0; I < 40; ++I)
    Delay.record(10ms);
  BOOST_TEST((Delay.expected() < 20ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::scheduling
