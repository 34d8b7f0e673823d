#include "framework/log/linebudget.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::framework::log {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(LineBudgetTest)

BOOST_AUTO_TEST_CASE(TroubleIsTheLastToGo) {
  LineBudget Budget;
  const clock::TimePoint Now(1h);
  std::uint32_t Calm = 0;
  while (Budget.admit(false, Now))
    ++Calm;
  BOOST_TEST(Calm == LineBudget::LinesPerSecond - LineBudget::KeptForTrouble);
  std::uint32_t Trouble = 0;
  while (Budget.admit(true, Now))
    ++Trouble;
  BOOST_TEST(Trouble == LineBudget::KeptForTrouble);
}

BOOST_AUTO_TEST_CASE(LeftOutLinesAreCountedOnce) {
  LineBudget Budget;
  const clock::TimePoint Now(1h);
  while (Budget.admit(false, Now))
    ;
  Budget.admit(false, Now);
  BOOST_TEST(Budget.takeLeftOut() == 0u);
  BOOST_TEST(Budget.admit(false, Now + 1s));
  BOOST_TEST(Budget.takeLeftOut() == 2u);
  BOOST_TEST(Budget.takeLeftOut() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::log
