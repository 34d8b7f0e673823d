#include "framework/clock/backoff.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::framework::clock {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(BackoffTest)

BOOST_AUTO_TEST_CASE(PausesDoubleUpToTheLongest) {
  Backoff Pause(100ms, 250ms);
  BOOST_TEST((Pause.next(1) == 100ms));
  BOOST_TEST((Pause.next(1) == 200ms));
  BOOST_TEST((Pause.next(1) == 250ms));
  BOOST_TEST((Pause.next(1) == 250ms));
}

// Guards against callers that failed together and repeat together.
BOOST_AUTO_TEST_CASE(HalfOfAPauseIsRandom) {
  Backoff Pause(100ms, 250ms);
  BOOST_TEST((Pause.next(0) == 50ms));
  BOOST_TEST((Pause.next(0.5) == 150ms));
}

BOOST_AUTO_TEST_CASE(ResetBeginsAnew) {
  Backoff Pause(100ms, 250ms);
  Pause.next(1);
  Pause.reset();
  BOOST_TEST((Pause.next(1) == 100ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::clock
