#include "scheduling/runtimeestimator.h"

#include <cmath>
#include <random>

#include <boost/test/unit_test.hpp>

namespace laburnumspread::scheduling {

namespace {

using namespace std::chrono_literals;

const jobs::QueueName Queue("q");

jobs::StepSpec declared(jobs::Duration Time) {
  jobs::StepSpec Step;
  Step.Estimate_ = Time;
  return Step;
}

/// Generates tasks with actual run times around one second, each declared wrong
/// by a random factor.
struct Tasks {
  explicit Tasks(double ErrorDeviation)
      : LogActual_(0, 0.5), LogError_(0, ErrorDeviation) {}

  std::pair<jobs::Duration, jobs::Duration> next() {
    const double Actual = 1e6 * std::exp(LogActual_(Random_));
    const double Declared = Actual * std::exp(LogError_(Random_));
    return {jobs::Duration(static_cast<std::int64_t>(Declared)),
            jobs::Duration(static_cast<std::int64_t>(Actual))};
  }

  std::mt19937 Random_{7};
  std::normal_distribution<double> LogActual_;
  std::normal_distribution<double> LogError_;
};

/// Returns the mean absolute log error of the estimator and of the declared
/// times over 2,000 tasks, after 200 tasks of training.
std::pair<double, double> errors(double ErrorDeviation) {
  Tasks Source(ErrorDeviation);
  RunTimeEstimator Estimator;
  for (int I = 0; I < 200; ++I) {
    const auto [Declared, Actual] = Source.next();
    Estimator.recordRun(Queue, Declared, Actual);
  }
  double EstimatorError = 0, DeclaredError = 0;
  for (int I = 0; I < 2000; ++I) {
    const auto [Declared, Actual] = Source.next();
    const auto Log = [](jobs::Duration Time) {
      return std::log(static_cast<double>(Time.count()));
    };
    EstimatorError +=
        std::abs(Log(Estimator.expectedRunTime(Queue, declared(Declared))) -
                 Log(Actual));
    DeclaredError += std::abs(Log(Declared) - Log(Actual));
  }
  return {EstimatorError / 2000, DeclaredError / 2000};
}

} // namespace

BOOST_AUTO_TEST_SUITE(RunTimeEstimatorTest)

BOOST_AUTO_TEST_CASE(DeclaredTimesAreUsedUntilEnoughRunsAreKnown) {
  RunTimeEstimator Estimator;
  for (std::uint64_t I = 1; I < RunTimeEstimator::MinRuns; ++I)
    Estimator.recordRun(Queue, 1s, 5s);
  BOOST_TEST((Estimator.expectedRunTime(Queue, declared(1s)) == 1s));
  Estimator.recordRun(Queue, 1s, 5s);
  BOOST_TEST((Estimator.expectedRunTime(Queue, declared(1s)) > 4900ms));
}

// Guards against wrong scheduling due to wrong declarations: jobs declared too
// short are treated as late although they could meet their deadlines, and jobs
// declared too long delay the others.
BOOST_AUTO_TEST_CASE(WrongDeclarationsAreCorrected) {
  const auto [EstimatorError, DeclaredError] = errors(0.9);
  BOOST_TEST(EstimatorError < 0.65 * DeclaredError);
}

BOOST_AUTO_TEST_CASE(GoodDeclarationsArePreserved) {
  const auto [EstimatorError, DeclaredError] = errors(0.05);
  BOOST_TEST(EstimatorError < 1.3 * DeclaredError);
}

BOOST_AUTO_TEST_CASE(DeviationIsThatOfTheRunTimes) {
  RunTimeEstimator Estimator;
  BOOST_TEST((Estimator.deviation(Queue, declared(1s)) == 0ms));
  std::mt19937 Random(7);
  std::normal_distribution<double> Seconds(1, 0.2);
  for (int I = 0; I < 1000; ++I)
    Estimator.recordRun(
        Queue, 1s,
        jobs::Duration(static_cast<std::int64_t>(1e6 * Seconds(Random))));
  const jobs::Duration Found = Estimator.deviation(Queue, declared(1s));
  BOOST_TEST((Found > 150ms && Found < 250ms));
}

BOOST_AUTO_TEST_CASE(HungRunHasLittleEffect) {
  RunTimeEstimator Estimator;
  for (int I = 0; I < 100; ++I)
    Estimator.recordRun(Queue, 1s, 1s);
  Estimator.recordRun(Queue, 1s, 60s);
  BOOST_TEST((Estimator.expectedRunTime(Queue, declared(1s)) < 1100ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::scheduling
