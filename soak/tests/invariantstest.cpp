#include "soak/invariants.h"

#include <boost/test/unit_test.hpp>

// A soak run must fail when an invariant is violated. A checker that misses a
// violation would let every run pass.

namespace laburnumspread::soak {

namespace {

struct Fixture {
  Fixture() {
    JobRecord Job;
    Job.Id_ = jobs::JobId("0000000000000001");
    Job.Tasks_ = {2};
    Job.Accepted_ = true;
    Jobs_.push_back(Job);
  }

  JobRecord &job() { return Jobs_.front(); }
  jobs::TaskName task(std::uint32_t Index) { return {job().Id_, 0, 0, Index}; }

  JobRecords Jobs_;
  TaskLedger Ledger_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(InvariantsTest, Fixture)

BOOST_AUTO_TEST_CASE(DuplicateTaskIsReported) {
  BOOST_TEST(findSafetyViolations(Jobs_, Ledger_).empty());
  Ledger_.ForbiddenDuplicates_.insert(task(0));
  BOOST_TEST(findSafetyViolations(Jobs_, Ledger_).size() == 1u);
}

BOOST_AUTO_TEST_CASE(RefusedJobThatRanIsReported) {
  Ledger_.Starts_[task(1)] = 1;
  BOOST_TEST(findSafetyViolations(Jobs_, Ledger_).empty());
  job().Accepted_ = false;
  job().Refused_ = true;
  BOOST_TEST(findSafetyViolations(Jobs_, Ledger_).size() == 1u);
}

BOOST_AUTO_TEST_CASE(RunningCancelledJobIsReported) {
  Ledger_.Running_[task(0)] = 1;
  Ledger_.Running_[task(1)] = 0;
  job().CancelRequested_ = true;
  BOOST_TEST(findRunningCancelledTasks(Jobs_, Ledger_).empty());
  job().CancelAcknowledged_ = true;
  BOOST_TEST(findRunningCancelledTasks(Jobs_, Ledger_).size() == 1u);
}

BOOST_AUTO_TEST_CASE(JobNotDoneIsUnfinished) {
  BOOST_TEST(findUnfinishedWork(Jobs_, Ledger_).size() == 1u);
  job().DoneObserved_ = true;
  BOOST_TEST(findUnfinishedWork(Jobs_, Ledger_).empty());
}

BOOST_AUTO_TEST_CASE(StandingTaskNotRunningIsUnfinished) {
  job().Standing_ = true;
  Ledger_.Running_[task(1)] = 1;
  BOOST_TEST(findUnfinishedWork(Jobs_, Ledger_).size() == 1u);
  Ledger_.Running_[task(0)] = 1;
  BOOST_TEST(findUnfinishedWork(Jobs_, Ledger_).empty());
}

BOOST_AUTO_TEST_CASE(UnacknowledgedCancelIsUnfinished) {
  job().DoneObserved_ = true;
  job().CancelRequested_ = true;
  BOOST_TEST(findUnfinishedWork(Jobs_, Ledger_).size() == 1u);
  job().CancelAcknowledged_ = true;
  BOOST_TEST(findUnfinishedWork(Jobs_, Ledger_).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::soak
