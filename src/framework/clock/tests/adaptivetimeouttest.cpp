#include "framework/clock/adaptivetimeout.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::framework::clock {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(AdaptiveTimeoutTest)

BOOST_AUTO_TEST_CASE(UsesMaximumBeforeFirstSample) {
  const AdaptiveTimeout Timeout(120ms, 300ms);
  BOOST_TEST((Timeout.timeout() == 300ms));
}

// With a fixed timeout, one lost response delayed all orders by the worst-case
// time although the peer responds within milliseconds.
BOOST_AUTO_TEST_CASE(FastPeerUsesMinimum) {
  AdaptiveTimeout Timeout(120ms, 300ms);
  for (int I = 0; I < 20; ++I)
    Timeout.recordResponse(5ms);
  BOOST_TEST((Timeout.timeout() == 120ms));
}

// The peer becomes sixty times slower. Without backoff, every response would
// arrive after the timeout and no call would ever succeed.
BOOST_AUTO_TEST_CASE(BackoffAdaptsToSlowerPeer) {
  AdaptiveTimeout Timeout(120ms, 1200ms);
  for (int I = 0; I < 20; ++I)
    Timeout.recordResponse(5ms);
  int Timeouts = 0;
  while (Timeout.timeout() < 300ms) {
    Timeout.recordTimeout();
    ++Timeouts;
  }
  BOOST_TEST(Timeouts == 2);
  Timeout.recordResponse(300ms);
  BOOST_TEST((Timeout.timeout() > 300ms));
}

BOOST_AUTO_TEST_CASE(BackoffStopsAtMaximum) {
  AdaptiveTimeout Timeout(120ms, 300ms);
  Timeout.recordResponse(5ms);
  for (int I = 0; I < 40; ++I)
    Timeout.recordTimeout();
  BOOST_TEST((Timeout.timeout() == 300ms));
  Timeout.recordResponse(5ms);
  BOOST_TEST((Timeout.timeout() == 120ms));
}

BOOST_AUTO_TEST_CASE(HighVarianceIncreasesTimeout) {
  AdaptiveTimeout Timeout(10ms, 1s);
  for (int I = 0; I < 40; ++I)
    Timeout.recordResponse(I % 2 == 0 ? 20ms : 100ms);
  BOOST_TEST((Timeout.timeout() > 150ms));
  BOOST_TEST((Timeout.timeout() < 400ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::clock
