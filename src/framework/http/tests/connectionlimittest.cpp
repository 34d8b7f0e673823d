#include "framework/http/connectionlimit.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::framework::http {

namespace {

constexpr std::size_t Max = 3;
const clock::TimePoint Start(std::chrono::hours(1));

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionLimitTest)

BOOST_AUTO_TEST_CASE(ResetLimitsToTheOthersForAPause) {
  ConnectionLimit Limit(Max);
  BOOST_TEST(Limit.at(Start) == Max);
  Limit.recordReset(2, Start);
  BOOST_TEST(Limit.at(Start) == 2u);
  BOOST_TEST(Limit.at(Start + ConnectionLimit::ResetPause) == Max);
}

// Guards against a client that never connects again.
BOOST_AUTO_TEST_CASE(OneConnectionIsAlwaysAllowed) {
  ConnectionLimit Limit(Max);
  Limit.recordReset(0, Start);
  BOOST_TEST(Limit.at(Start) == 1u);
}

BOOST_AUTO_TEST_CASE(ResetNeverRaisesTheLimit) {
  ConnectionLimit Limit(Max);
  Limit.recordReset(Max + 2, Start);
  BOOST_TEST(Limit.at(Start) == Max);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::http
