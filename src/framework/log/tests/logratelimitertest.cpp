#include "framework/log/logratelimiter.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::framework::log {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(LogRateLimiterTest)

BOOST_AUTO_TEST_CASE(WarningsUseReservedLines) {
  LogRateLimiter Limiter;
  const clock::TimePoint Now(1h);
  std::uint32_t InfoLines = 0;
  while (Limiter.admit(false, Now))
    ++InfoLines;
  BOOST_TEST(InfoLines == LogRateLimiter::MaxLinesPerSecond -
                              LogRateLimiter::ReservedForWarnings);
  std::uint32_t WarningLines = 0;
  while (Limiter.admit(true, Now))
    ++WarningLines;
  BOOST_TEST(WarningLines == LogRateLimiter::ReservedForWarnings);
}

BOOST_AUTO_TEST_CASE(SuppressedLinesAreCountedOnce) {
  LogRateLimiter Limiter;
  const clock::TimePoint Now(1h);
  while (Limiter.admit(false, Now))
    ;
  Limiter.admit(false, Now);
  BOOST_TEST(Limiter.takeSuppressed() == 0u);
  BOOST_TEST(Limiter.admit(false, Now + 1s));
  BOOST_TEST(Limiter.takeSuppressed() == 2u);
  BOOST_TEST(Limiter.takeSuppressed() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::log
