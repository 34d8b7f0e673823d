#include "jobs/celltable.h"
#include "jobs/eventcodec.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::jobs {

namespace {

constexpr std::uint32_t MinutesOfAMonth = 43'200;
constexpr std::uint32_t TasksPerStep = 6;
constexpr std::size_t MaxBytes = 1 << 20;
const TimePoint Start(std::chrono::hours(1));
const WorkerIncarnation Worker{WorkerId("w"), 1};

JobSpec scheduled(std::uint32_t Count) {
  JobSpec Spec;
  Spec.Id_ = JobId("job");
  Spec.Queue_ = QueueName("q");
  Spec.Occurrences_ = Count;
  Spec.Steps_.resize(2);
  for (StepSpec &Step : Spec.Steps_)
    Step.Count_ = TasksPerStep;
  Spec.Steps_[1].After_ = {0};
  return Spec;
}

struct Fixture {
  void accept(std::uint32_t Count) {
    Table_.apply(JobAccepted{scheduled(Count)}, Start);
  }

  static RunName runOf(std::uint32_t K, std::uint32_t Step,
                       std::uint32_t Index) {
    return {{JobId("job"), K, Step, Index}, RunNumber(1)};
  }

  void begin(std::uint32_t K, std::uint32_t Step, std::uint32_t Index) {
    Table_.apply(RunIntended{runOf(K, Step, Index), Worker}, Start);
  }

  void end(std::uint32_t K, std::uint32_t Step, std::uint32_t Index) {
    Table_.apply(RunEnded{runOf(K, Step, Index), EndKind::Done, {}, 3}, Start);
  }

  /// Runs all tasks of an occurrence.
  void finish(std::uint32_t K) {
    for (std::uint32_t S = 0; S < 2; ++S)
      for (std::uint32_t I = 0; I < TasksPerStep; ++I) {
        begin(K, S, I);
        end(K, S, I);
      }
  }

  CellTable reloaded() const {
    CellTable Result;
    for (const std::string &Part : encodeSnapshot(Table_, MaxBytes, MaxBytes))
      BOOST_REQUIRE(decodeSnapshot(Part, Start, Result).ok());
    return Result;
  }

  const JobRow &job() const { return *Table_.find(JobId("job")); }

  CellTable Table_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OccurrencesTest, Fixture)

// Guards against leaders that exceed their memory by the rows of tasks that are
// due in a month.
BOOST_AUTO_TEST_CASE(OccurrencesTakeNoRowsBeforeTheyBegin) {
  accept(MinutesOfAMonth);
  const std::uint64_t Each =
      OccurrenceTable::rowsPerOccurrence(scheduled(MinutesOfAMonth));
  BOOST_TEST(Table_.rows() == Each);
  begin(7, 0, 0);
  BOOST_TEST(Table_.rows() == 2 * Each);
  BOOST_TEST(Table_.find(runOf(7, 0, 0).Task_)->Runs_.size() == 1u);
  BOOST_TEST(Table_.find(runOf(8, 0, 0).Task_)->idle());
  BOOST_TEST(!Table_.findTask(runOf(8, 0, 0).Task_));
}

// Guards against rows that add up over the months in which a job runs.
BOOST_AUTO_TEST_CASE(SettledOccurrencesTakeNoRows) {
  accept(MinutesOfAMonth);
  const std::uint64_t Before = Table_.rows();
  for (const std::uint32_t K : {1, 0, 3})
    finish(K);
  BOOST_TEST(Table_.rows() == Before);
  BOOST_TEST(job().OccurrencesDone_ == 3u);
  BOOST_TEST(job().Occurrences_.firstOpen() == 2u);
  BOOST_TEST(job().Occurrences_.settled(3));
  BOOST_TEST(job().Occurrences_.untouchedCount() == MinutesOfAMonth - 3);
}

// Guards against a second run of a task whose row has been dropped.
BOOST_AUTO_TEST_CASE(SettledOccurrencesAreNotRunAgain) {
  accept(3);
  finish(1);
  Table_ = reloaded();
  begin(1, 0, 0);
  BOOST_TEST(job().LiveRuns_ == 0u);
  BOOST_TEST(job().OccurrencesDone_ == 1u);
  finish(0);
  finish(2);
  BOOST_TEST((job().State_ == JobState::Done));
}

// Guards against a run that is forgotten while it is live: the copy of a task
// that is done runs on.
BOOST_AUTO_TEST_CASE(OccurrenceWithALiveRunKeepsItsRow) {
  JobSpec Spec = scheduled(2);
  Spec.Steps_.resize(1);
  Spec.Steps_[0].Count_ = 1;
  Spec.Steps_[0].Speculative_ = true;
  Table_.apply(JobAccepted{Spec}, Start);
  begin(0, 0, 0);
  RunName Copy = runOf(0, 0, 0);
  Copy.Run_ = RunNumber(2);
  Table_.apply(RunIntended{Copy, {WorkerId("v"), 1}}, Start);
  end(0, 0, 0);
  BOOST_TEST(job().OccurrencesDone_ == 1u);
  BOOST_REQUIRE(Table_.find(Copy));
  BOOST_TEST(Table_.unwantedSince(Copy).has_value());
  Table_ = reloaded();
  BOOST_REQUIRE(Table_.find(Copy));
  Table_.apply(RunEnded{Copy, EndKind::Stopped, {}, 3}, Start);
  BOOST_TEST(job().Occurrences_.settled(0));
  BOOST_TEST(job().OccurrencesDone_ == 1u);
}

// A snapshot of an earlier release names each task that is done.
BOOST_AUTO_TEST_CASE(TasksOfSettledOccurrencesInASnapshotAreTakenIn) {
  accept(3);
  for (std::uint32_t S = 0; S < 2; ++S)
    for (std::uint32_t I = 0; I < TasksPerStep; ++I) {
      TaskRow Row;
      Row.Done_ = true;
      Row.LastRun_ = RunNumber(1);
      Table_.restoreTask(runOf(1, S, I).Task_, Row, Start);
    }
  BOOST_TEST(job().Occurrences_.settled(1));
  BOOST_TEST(job().OccurrencesDone_ == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::jobs
