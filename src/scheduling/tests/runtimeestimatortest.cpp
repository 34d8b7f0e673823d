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
  explicit Tasks(double Off) : Truth_(0, 0.5), Error_(0, Off) {}

  std::pair<jobs::Duration, jobs::Duration> next() {
    const double True = 1e6 * std::exp(Truth_(Random_));
    const double Told = True * std::exp(Error_(Random_));
    return {jobs::Duration(static_cast<std::int64_t>(Told)),
            jobs::Duration(static_cast<std::int64_t>(True))};
  }

  std::mt19937 Random_{7};
  std::normal_distribution<double> Truth_;
  std::normal_distribution<double> Error_;
};

/// Returns the mean absolute log error of the estimator and of the declared
/// times over 2,000 tasks, after 200 tasks of training.
std::pair<double, double> errors(double Off) {
  Tasks Source(Off);
  RunTimeEstimator Estimator;
  for (int I = 0; I < 200; ++I) {
    const auto [Told, True] = Source.next();
    Estimator.recordRun(Queue, Told, True);
  }
  double Ours = 0, Callers = 0;
  for (int I = 0; I < 2000; ++I) {
    const auto [Told, True] = Source.next();
    const auto Log = [](jobs::Duration Time) {
      return std::log(static_cast<double>(Time.count()));
    };
    Ours += std::abs(Log(Estimator.expectedRunTime(Queue, declared(Told))) -
                     Log(True));
    Callers += std::abs(Log(Told) - Log(True));
  }
  return {Ours / 2000, Callers / 2000};
}

} // namespace

BOOST_AUTO_TEST_SUITE(RunTimeEstimatorTest)

BOOST_AUTO_TEST_CASE(DeclaredTimesHoldUntilSomeRunsAreKnown) {
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
BOOST_AUTO_TEST_CASE(WildDeclarationsAreMended) {
  const auto [Ours, Callers] = errors(0.9);
  BOOST_TEST(Ours < 0.65 * Callers);
}

BOOST_AUTO_TEST_CASE(GoodDeclarationsAreFollowed) {
  const auto [Ours, Callers] = errors(0.05);
  BOOST_TEST(Ours < 1.3 * Callers);
}

BOOST_AUTO_TEST_CASE(RunThatHungChangesLittle) {
  RunTimeEstimator Estimator;
  for (int I = 0; I < 100; ++I)
    Estimator.recordRun(Queue, 1s, 1s);
  Estimator.recordRun(Queue, 1s, 60s);
  BOOST_TEST((Estimator.expectedRunTime(Queue, declared(1s)) < 1100ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::scheduling
