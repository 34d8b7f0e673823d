#include "cell/callrouter.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

BOOST_AUTO_TEST_SUITE(CallFateTest)

BOOST_AUTO_TEST_CASE(UnsentCallIsSurelyNotTaken) {
  BOOST_TEST(!CallFate().mayBeTaken());
}

BOOST_AUTO_TEST_CASE(CallThatWasTurnedDownIsNotTaken) {
  CallFate Fate;
  Fate.sent();
  Fate.turnedDown();
  BOOST_TEST(!Fate.mayBeTaken());
}

// A caller is told "not run" and sends the order elsewhere: the first holder
// got the call and died, its successor turned the second sending down, and the
// journal has the job all the same.
BOOST_AUTO_TEST_CASE(OneAnswerDoesNotSpeakForTwoSendings) {
  CallFate Fate;
  Fate.sent();
  Fate.sent();
  Fate.turnedDown();
  BOOST_TEST(Fate.mayBeTaken());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
