#include "cell/callrouter.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

BOOST_AUTO_TEST_SUITE(CallAttemptsTest)

BOOST_AUTO_TEST_CASE(UnsentCallIsSurelyNotTaken) {
  BOOST_TEST(!CallAttempts().mayHaveBeenAccepted());
}

BOOST_AUTO_TEST_CASE(CallThatWasTurnedDownIsNotTaken) {
  CallAttempts Attempts;
  Attempts.sent();
  Attempts.rejected();
  BOOST_TEST(!Attempts.mayHaveBeenAccepted());
}

// A caller is told "not run" and sends the order elsewhere: the first holder
// got the call and died, its successor turned the second sending down, and the
// journal has the job all the same.
BOOST_AUTO_TEST_CASE(OneAnswerDoesNotSpeakForTwoSendings) {
  CallAttempts Attempts;
  Attempts.sent();
  Attempts.sent();
  Attempts.rejected();
  BOOST_TEST(Attempts.mayHaveBeenAccepted());
}

// During an outage a caller's last attempt comes with no time left. It hears
// "unknown", though no holder was ever asked, and does not dare to hand the
// order in again.
BOOST_AUTO_TEST_CASE(CallWithoutTimeLeftIsNotTaken) {
  CallRouter Router({[](const peers::JobCall &, const CallRouter::ReplyFn &) {},
                     [] { return false; }, [] { return journal::Leader(); },
                     [](const journal::Leader &) { return false; },
                     [](const journal::Leader &, const peers::JobCall &) {}});
  const TimePoint Past = framework::clock::SteadyClock().now();
  const peers::JobReply Reply = Router.call({}, Past, Past);
  BOOST_TEST((Reply.Status_ == peers::JobCallStatus::Refused));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
