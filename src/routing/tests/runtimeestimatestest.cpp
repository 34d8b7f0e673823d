#include "routing/runtimeestimates.h"
#include "routing/retrybudget.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread;
using namespace laburnumspread::routing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(EstimatesFollowWhatWasSeen) {
  const fleet::PoolName Pool("orders");
  const fleet::TeamName Team("a");
  RunTimeEstimates Seen;
  BOOST_TEST((Seen.estimatedWait(Pool, 100, 8) == 0us));
  Seen.recordRunTime(Pool, Team, 100ms);
  BOOST_TEST((Seen.meanRunTime(Pool, Team) == 100ms));
  // The work becomes ten times longer than it was.
  for (int I = 0; I < 60; ++I)
    Seen.recordRunTime(Pool, Team, 1s);
  BOOST_TEST((Seen.meanRunTime(Pool, Team) > 990ms));
  BOOST_TEST((Seen.estimatedWait(Pool, 80, 8) > 9900ms));
}

// Half of the endpoints fail everything. Without a budget each request would
// be sent twice; with it the load grows by a tenth and a small constant.
BOOST_AUTO_TEST_CASE(RetriesStayATenthOfTheRequests) {
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
