#include "soak/configprobes.h"

#include <boost/test/unit_test.hpp>

// A soak run must fail when an entry answers by a configuration that is too
// old. A checker that misses it would let every run pass.

namespace laburnumspread::soak {

namespace {

using namespace std::chrono_literals;

const TimePoint AddedAt{1h};
const TimePoint RemovedAt = AddedAt + 10s;

struct Fixture {
  Fixture() { Probe_.Queue_ = Probe_.Key_ = {"x", AddedAt, std::nullopt}; }

  bool violates(int Status, TimePoint SentAt,
                framework::clock::Duration Took = 1ms) {
    Probe_.Status_ = Status;
    Probe_.SentAt_ = SentAt;
    Probe_.AnsweredAt_ = SentAt + Took;
    return findConfigViolation(Probe_).has_value();
  }

  ConfigProbe Probe_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigProbesTest, Fixture)

BOOST_AUTO_TEST_CASE(ServedAfterTheBoundIsReported) {
  Probe_.Queue_.RemovedAt_ = RemovedAt;
  BOOST_TEST(!violates(200, RemovedAt + ConfigBound));
  BOOST_TEST(violates(200, RemovedAt + ConfigBound + 1ms));
  for (const int Status : {0, 404, 503, 504})
    BOOST_TEST(!violates(Status, RemovedAt + 1h));
  Probe_.Queue_.RemovedAt_.reset();
  Probe_.Key_.RemovedAt_ = RemovedAt;
  BOOST_TEST(violates(200, RemovedAt + ConfigBound + 1ms));
  BOOST_TEST(!violates(401, RemovedAt + ConfigBound + 1ms));
}

BOOST_AUTO_TEST_CASE(RefusedForGoodAfterTheBoundIsReported) {
  for (const int Status : {401, 404}) {
    BOOST_TEST(!violates(Status, AddedAt + ConfigBound));
    BOOST_TEST(violates(Status, AddedAt + ConfigBound + 1ms));
  }
  BOOST_TEST(!violates(503, AddedAt + 1h));
  // The queue is removed while the answer is under way.
  Probe_.Queue_.RemovedAt_ = RemovedAt;
  BOOST_TEST(!violates(404, RemovedAt - 1s, 2s));
  BOOST_TEST(violates(404, RemovedAt - 1s, 500ms));
}

BOOST_AUTO_TEST_CASE(QueueThatNeverExistedIsNotServed) {
  Probe_.Queue_.AddedAt_.reset();
  BOOST_TEST(violates(200, AddedAt));
  BOOST_TEST(!violates(404, AddedAt));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::soak
