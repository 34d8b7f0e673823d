#include "framework/clock/answertime.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::framework::clock {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(AnswerTimeTest)

BOOST_AUTO_TEST_CASE(NothingKnownWaitsLongest) {
  const AnswerTime Time(120ms, 300ms);
  BOOST_TEST((Time.wait() == 300ms));
}

// Orders stand still for as long as the slowest day needs whenever one answer
// is lost, though the peer answers within some milliseconds.
BOOST_AUTO_TEST_CASE(QuickPeerIsAskedAgainSoon) {
  AnswerTime Time(120ms, 300ms);
  for (int I = 0; I < 20; ++I)
    Time.answered(5ms);
  BOOST_TEST((Time.wait() == 120ms));
}

// The peer becomes sixty times as slow: every answer would come after the wait
// and be lost, and nothing would ever get through.
BOOST_AUTO_TEST_CASE(PeerThatBecomesSlowIsFoundByDoubling) {
  AnswerTime Time(120ms, 1200ms);
  for (int I = 0; I < 20; ++I)
    Time.answered(5ms);
  int Missed = 0;
  while (Time.wait() < 300ms) {
    Time.missed();
    ++Missed;
  }
  BOOST_TEST(Missed == 2);
  Time.answered(300ms);
  BOOST_TEST((Time.wait() > 300ms));
}

BOOST_AUTO_TEST_CASE(DoublingEndsAtTheBound) {
  AnswerTime Time(120ms, 300ms);
  Time.answered(5ms);
  for (int I = 0; I < 40; ++I)
    Time.missed();
  BOOST_TEST((Time.wait() == 300ms));
  Time.answered(5ms);
  BOOST_TEST((Time.wait() == 120ms));
}

BOOST_AUTO_TEST_CASE(WideSpreadWaitsLonger) {
  AnswerTime Time(10ms, 1s);
  for (int I = 0; I < 40; ++I)
    Time.answered(I % 2 == 0 ? 20ms : 100ms);
  BOOST_TEST((Time.wait() > 150ms));
  BOOST_TEST((Time.wait() < 400ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::clock
