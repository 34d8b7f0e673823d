#include "scheduling/advicetable.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::scheduling {

namespace {

using namespace std::chrono_literals;

const TimePoint Start(std::chrono::hours(1));
const StepName Step{jobs::JobId("job"), 0, 1};
const jobs::WorkerId Advised("good"), Unadvised("bad");

} // namespace

BOOST_AUTO_TEST_SUITE(AdviceTableTest)

BOOST_AUTO_TEST_CASE(TicketIsUnusableShortlyBeforeItExpires) {
  AdviceTable Table;
  BOOST_TEST(Table.beginRequest(Step, Start));
  BOOST_TEST(!Table.beginRequest(Step, Start));
  Table.recordAnswer(Step, {{Advised, "t"}}, 3000ms, Start);
  BOOST_TEST(Table.ticket(Step, Advised, Start).value_or("") == "t");
  BOOST_TEST(!Table.ticket(Step, Unadvised, Start));
  BOOST_TEST(!Table.ticket(Step, Advised, Start + 2800ms));
}

BOOST_AUTO_TEST_CASE(RequestIsRepeatedBeforeTicketsExpire) {
  AdviceTable Table;
  Table.beginRequest(Step, Start);
  Table.recordAnswer(Step, {{Advised, "t"}}, 3000ms, Start);
  BOOST_TEST(!Table.beginRequest(Step, Start + 1s));
  BOOST_TEST(Table.beginRequest(Step, Start + 2500ms));
}

BOOST_AUTO_TEST_CASE(RequestIsRepeatedAfterEmptyOrNoAnswer) {
  AdviceTable Table;
  Table.beginRequest(Step, Start);
  Table.recordAnswer(Step, {}, 3000ms, Start);
  BOOST_TEST(!Table.beginRequest(Step, Start + 100ms));
  BOOST_TEST(Table.beginRequest(Step, Start + 500ms));
  Table.recordNoAnswer(Step, Start + 600ms);
  BOOST_TEST(Table.beginRequest(Step, Start + 1100ms));
}

// A worker that was replaced under the same id refuses the ticket. The step
// must not be sent to it with that ticket again.
BOOST_AUTO_TEST_CASE(RefusedTicketIsNotUsedAgain) {
  AdviceTable Table;
  Table.beginRequest(Step, Start);
  Table.recordAnswer(Step, {{Advised, "t"}}, 3000ms, Start);
  Table.recordRefusal(Step, Advised);
  BOOST_TEST(!Table.ticket(Step, Advised, Start));
  BOOST_TEST(Table.beginRequest(Step, Start));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::scheduling
