#include "cell/tests/runmodel.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using model::Model;

/// Steps of the adversary: choices with their details.
using Schedule = std::vector<std::pair<int, int>>;
constexpr int MaxScheduleLength = 400;
/// With it, more tasks of a worker may end than fit into a report.
constexpr std::size_t SmallTasksPerWorker = 4;

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

} // namespace

BOOST_AUTO_TEST_SUITE(RunModelTest)

BOOST_AUTO_TEST_CASE(NoTaskRunsTwiceAndEndedJobsAreStopped) {
  std::uint64_t Starts = 0;
  std::uint64_t RunsToStop = 0;
  std::uint64_t OutageStarts = 0;
  std::uint64_t AdoptedStarts = 0;
  std::uint64_t Copies = 0;
  std::uint64_t CopiesToStop = 0;
  std::uint64_t CallsToNewIncarnations = 0;
  const auto Property = [&] {
    Model Simulation;
    const Schedule Steps = *anySchedule();
    for (const auto &[Choice, Detail] : Steps)
      Simulation.step(Choice, Detail);
    Simulation.settle(*anyDetail());
    Starts += Simulation.starts();
    RunsToStop += Simulation.runsToStop();
    OutageStarts += Simulation.outageStarts();
    AdoptedStarts += Simulation.adoptedStarts();
    Copies += Simulation.copies();
    CopiesToStop += Simulation.copiesToStop();
    CallsToNewIncarnations += Simulation.callsToNewIncarnations();
  };
  BOOST_TEST(rc::check("one place at a time, and an end", Property));
  // The check means nothing unless the adversary lets tasks start and leaves
  // runs of ended jobs behind.
  BOOST_TEST(Starts > 1000u);
  BOOST_TEST(RunsToStop > 100u);
  BOOST_TEST(Copies > 100u);
  BOOST_TEST(CopiesToStop > 10u);
  BOOST_TEST(OutageStarts > 100u);
  BOOST_TEST(AdoptedStarts > 10u);
  BOOST_TEST(CallsToNewIncarnations > 100u);
  BOOST_TEST_MESSAGE("starts " << Starts << ", in an outage " << OutageStarts
                               << ", adopted " << AdoptedStarts);
}

// Guards against a finished task that is started again: its end did not fit
// into its worker's report, and the run was taken as lost.
BOOST_AUTO_TEST_CASE(NoTaskRunsTwiceThoughReportsAreCut) {
  std::uint64_t CutReports = 0;
  const auto Property = [&] {
    Model Simulation(SmallTasksPerWorker);
    const Schedule Steps = *anySchedule();
    for (const auto &[Choice, Detail] : Steps)
      Simulation.step(Choice, Detail);
    Simulation.settle(*anyDetail());
    CutReports += Simulation.cutReports();
  };
  BOOST_TEST(rc::check("one place at a time, with cut reports", Property));
  BOOST_TEST(CutReports > 100u);
  BOOST_TEST_MESSAGE("cut reports " << CutReports);
}

// Guards against two runs of one task on a worker that restarts twice under its
// id: the second restart forgets the fencing token, and a former leader that
// does not know its successor yet repeats a start there.
BOOST_AUTO_TEST_CASE(RepeatedStartDoesNotReachAWorkerThatRestartedTwice) {
  const Schedule Steps{{16, 0}, {10, 0}, {1, 2}, {0, 28},
                       {9, 5},  {16, 1}, {1, 2}, {10, 0}};
  BOOST_TEST(rc::check("one run of a task", [&] {
    Model Simulation;
    for (const auto &[Choice, Detail] : Steps)
      Simulation.step(Choice, Detail);
    Simulation.settle(3);
  }));
}

// Guards against a finished task that is started again: a hold meant for a
// former incarnation of its worker acknowledged its end, which nobody had read.
BOOST_AUTO_TEST_CASE(LateAcknowledgementDropsNoUnreadEnd) {
  const Schedule EndOneTask{{16, 0}, {15, 0}, {8, 2}, {16, 0}};
  const Schedule KeepOneTaskRunning{{16, 2}, {15, 1}};
  const Schedule RestartAndHoldTheFormer{{10, 0}, {0, 1}, {2, 0}, {13, 12}};
  const Schedule EndOneTaskMore{{16, 0}, {15, 0}, {8, 2}};
  const Schedule ExecuteTheHoldAndStartAgain{
      {3, 0}, {0, 1}, {16, 0}, {15, 0}, {16, 0}};
  BOOST_TEST(rc::check("one run of a task", [&] {
    Model Simulation;
    for (const Schedule &Part :
         {EndOneTask, KeepOneTaskRunning, RestartAndHoldTheFormer,
          EndOneTaskMore, ExecuteTheHoldAndStartAgain})
      for (const auto &[Choice, Detail] : Part)
        Simulation.step(Choice, Detail);
    Simulation.settle(3);
  }));
}

/// The first attempt of a start is still on its way when its task is done, by
/// the second one, and the worker restarts. The attempt arrives once \p Then
/// has happened, and again after the worker has been called.
void playLateStart(const Schedule &Then) {
  const Schedule CancelASpeculativeJob{{16, 0}, {15, 2}, {12, 1}, {17, 0},
                                       {17, 0}, {16, 0}, {16, 0}};
  const Schedule StartInTwoAttempts{{1, 2}, {0, 9}, {7, 1}, {3, 1}, {5, 0}};
  const Schedule EndAndRestart{{8, 2}, {16, 0}, {10, 0}};
  const Schedule Arrive{{3, 0}, {16, 0}, {3, 0}};
  Model Simulation;
  for (const Schedule &Part :
       {CancelASpeculativeJob, StartInTwoAttempts, EndAndRestart, Then, Arrive})
    for (const auto &[Choice, Detail] : Part)
      Simulation.step(Choice, Detail);
  Simulation.settle(3);
}

// Guards against a finished task that runs again on a worker that started anew
// and that its leader had no need to call.
BOOST_AUTO_TEST_CASE(LateStartDoesNotRunOnARestartedWorker) {
  const Schedule List{{18, 0}};
  BOOST_TEST(rc::check("one run of a task", [&] { playLateStart(List); }));
}

// Guards against the same by a start of a former leader.
BOOST_AUTO_TEST_CASE(LateStartOfAFormerLeaderDoesNotRunOnARestartedWorker) {
  const Schedule TakeOverAndList{{9, 0}, {18, 0}};
  BOOST_TEST(
      rc::check("one run of a task", [&] { playLateStart(TakeOverAndList); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
