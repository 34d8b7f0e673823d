#include "cell/callrouter.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

BOOST_AUTO_TEST_SUITE(CallAttemptsTest)

BOOST_AUTO_TEST_CASE(UnsentCallIsNotAccepted) {
  BOOST_TEST(!CallAttempts().mayHaveBeenAccepted());
}

BOOST_AUTO_TEST_CASE(RejectedCallIsNotAccepted) {
  CallAttempts Attempts;
  Attempts.sent();
  Attempts.rejected();
  BOOST_TEST(!Attempts.mayHaveBeenAccepted());
}

// Guards against telling a caller "not run", so that it submits the job
// elsewhere, although the job is in the journal: the first leader accepted the
// call and died, and its successor rejected the second attempt.
BOOST_AUTO_TEST_CASE(OneRejectionDoesNotCoverTwoAttempts) {
  CallAttempts Attempts;
  Attempts.sent();
  Attempts.sent();
  Attempts.rejected();
  BOOST_TEST(Attempts.mayHaveBeenAccepted());
}

// Guards against answering "unknown" to a caller whose last attempt during an
// outage has no time left. No leader was ever asked, and the caller would not
// dare to submit the job again.
BOOST_AUTO_TEST_CASE(CallWithoutTimeLeftIsRefused) {
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
