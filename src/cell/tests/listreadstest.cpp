#include "cell/listreads.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

using namespace std::chrono_literals;

namespace {

struct Fixture {
  TimePoint at(Duration SinceStart) const { return Start_ + SinceStart; }

  void fail(Duration SinceStart) {
    Reads_.recordFailure(absl::UnknownError("no next key"), at(SinceStart));
  }

  TimePoint Start_{100s};
  framework::metrics::Registry Metrics_;
  ListReads Reads_{"workers", 3s, Metrics_, Start_};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ListReadsTest, Fixture)

BOOST_AUTO_TEST_CASE(ListIsLostOnceItIsUnreadForTheBound) {
  fail(1s);
  fail(2900ms);
  BOOST_TEST(!Reads_.reportedLost());
  fail(3s);
  BOOST_TEST(Reads_.reportedLost());
  Reads_.recordRead(at(4s));
  BOOST_TEST(!Reads_.reportedLost());
}

BOOST_AUTO_TEST_CASE(EachReadStartsTheBoundAnew) {
  Reads_.recordRead(at(2s));
  fail(4900ms);
  BOOST_TEST(!Reads_.reportedLost());
  fail(5s);
  BOOST_TEST(Reads_.reportedLost());
}

BOOST_AUTO_TEST_CASE(EachFailedReadIsCounted) {
  fail(1s);
  fail(2s);
  BOOST_TEST(
      Metrics_.counter("list_reads_failed_total{list=\"workers\"}").value() ==
      2u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
