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

// During an outage a caller's last attempt comes with no time left. It hears
// "unknown", though no holder was ever asked, and does not dare to hand the
// order in again.
BOOST_AUTO_TEST_CASE(CallWithoutTimeLeftIsNotTaken) {
  CallRouter Router({[](const peers::JobCall &, const CallRouter::ReplyFn &) {},
                     [] { return false; }, [] { return journal::Holder(); },
                     [](const journal::Holder &) { return false; },
                     [](const journal::Holder &, const peers::JobCall &) {}});
  const TimePoint Past = framework::clock::SteadyClock().now();
  const peers::JobReply Reply = Router.call({}, Past, Past);
  BOOST_TEST((Reply.Status_ == peers::JobCallStatus::Refused));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
