#include "routing/runtimeestimates.h"
#include "routing/retrybudget.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread;
using namespace laburnumspread::routing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(EstimatesFollowObservedRunTimes) {
  const fleet::PoolName Pool("orders");
  const fleet::TeamName Team("a");
  RunTimeEstimates Estimates;
  BOOST_TEST((Estimates.estimatedWait(Pool, 100, 8) == 0us));
  Estimates.recordRunTime(Pool, Team, 100ms);
  BOOST_TEST((Estimates.meanRunTime(Pool, Team) == 100ms));
  // Run times grow tenfold.
  for (int I = 0; I < 60; ++I)
    Estimates.recordRunTime(Pool, Team, 1s);
  BOOST_TEST((Estimates.meanRunTime(Pool, Team) > 990ms));
  BOOST_TEST((Estimates.estimatedWait(Pool, 80, 8) > 9900ms));
}

// Half of the requests fail. Without a budget each of them would be sent again.
// With it the load grows by a tenth plus a small constant.
BOOST_AUTO_TEST_CASE(RetriesStayWithinATenthOfTheRequests) {
  RetryBudget Budget;
  int Sent = 0;
  constexpr int Requests = 10'000;
  for (int I = 0; I < Requests; ++I) {
    Budget.requestStarted();
    ++Sent;
    if (I % 2 == 0 && Budget.tryConsume())
      ++Sent;
  }
  BOOST_TEST(Sent < 1.2 * Requests);
}
