#include "cell/tests/callmodel.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using callmodel::Model;

/// Steps of the adversary: choices with their details.
using Schedule = std::vector<std::pair<int, int>>;
constexpr int MaxScheduleLength = 200;

/// A whole schedule takes less than DecidedCalls::Retention.
constexpr framework::clock::Duration ShortTime = std::chrono::milliseconds(50);
/// Attempts are delayed for longer than that.
constexpr framework::clock::Duration LongTime = std::chrono::minutes(1);

rc::Gen<int> anyDetail() {
  return rc::gen::resize(MaxScheduleLength,
                         rc::gen::inRange(0, Model::Details));
}

rc::Gen<Schedule> anySchedule() {
  return rc::gen::resize(
      MaxScheduleLength,
      rc::gen::container<Schedule>(
          rc::gen::pair(rc::gen::inRange(0, Model::Choices), anyDetail())));
}

/// Runs a schedule to its end.
void run(Model &Simulation) {
  const Schedule Steps = *anySchedule();
  for (const auto &[Choice, Detail] : Steps)
    Simulation.step(Choice, Detail);
  Simulation.settle(*anyDetail());
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallModelTest)

BOOST_AUTO_TEST_CASE(RejectedJobsAndMissingCancelsAreNeverStored) {
  std::uint64_t Resent = 0;
  std::uint64_t Rejected = 0;
  std::uint64_t OpenRejections = 0;
  std::uint64_t RepeatedRejections = 0;
  std::uint64_t LateDeliveries = 0;
  std::uint64_t OtherTerms = 0;
  std::uint64_t LeaderChanges = 0;
  std::uint64_t RaisedTokens = 0;
  std::uint64_t Stored = 0;
  std::uint64_t Lost = 0;
  const auto Property = [&] {
    Model Simulation(ShortTime);
    run(Simulation);
    Resent += Simulation.resentCalls();
    Rejected += Simulation.rejectedCalls();
    OpenRejections += Simulation.openRejections();
    RepeatedRejections += Simulation.repeatedRejections();
    LateDeliveries += Simulation.lateDeliveries();
    OtherTerms += Simulation.otherTerms();
    LeaderChanges += Simulation.leaderChanges();
    RaisedTokens += Simulation.raisedTokens();
    Stored += Simulation.storedEvents();
    Lost += Simulation.lostEvents();
  };
  BOOST_TEST(rc::check("a rejection is true", Property));
  // The check means nothing unless calls are resent, rejected and stored, and
  // attempts of answered calls arrive late.
  BOOST_TEST(Resent > 1000u);
  BOOST_TEST(Rejected > 1000u);
  BOOST_TEST(OpenRejections > 100u);
  BOOST_TEST(RepeatedRejections > 1000u);
  BOOST_TEST(LateDeliveries > 1000u);
  BOOST_TEST(OtherTerms > 1000u);
  BOOST_TEST(LeaderChanges > 1000u);
  BOOST_TEST(RaisedTokens > 1000u);
  BOOST_TEST(Stored > 1000u);
  BOOST_TEST(Lost > 100u);
  BOOST_TEST_MESSAGE(
      "resent " << Resent << ", rejected " << Rejected << ", open rejections "
                << OpenRejections << ", repeated " << RepeatedRejections
                << ", late " << LateDeliveries << ", other terms " << OtherTerms
                << ", leader changes " << LeaderChanges << ", raised tokens "
                << RaisedTokens << ", stored " << Stored << ", lost " << Lost);
}

// Guards against a job that is cancelled although its caller was told that the
// cancel was refused.
BOOST_AUTO_TEST_CASE(RejectedCancelsAreNeverStored) {
  BOOST_TEST(rc::check("a rejected cancel has no effect", [] {
    Model Simulation(ShortTime);
    run(Simulation);
    RC_ASSERT(Simulation.storedRejectedCancels() == 0u);
  }));
}

// Guards against a job that runs although its caller was told that it never
// does: an attempt arrives once its leader has forgotten the rejection.
BOOST_AUTO_TEST_CASE(RejectedJobsAreNotStoredAfterAnyDelay) {
  BOOST_TEST(rc::check("a rejection is true for ever", [] {
    Model Simulation(LongTime);
    run(Simulation);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
