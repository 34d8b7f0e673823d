#include "cell/runtracker.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using jobs::JobId;
using jobs::RunName;
using jobs::RunNumber;

const TimePoint Now(std::chrono::hours(1));
const WorkerIncarnation Here{WorkerId("w"), 2};
const WorkerIncarnation Former{WorkerId("w"), 1};
const WorkerIncarnation Elsewhere{WorkerId("x"), 2};

/// Two jobs of two tasks, and the runs that a holder has read of them.
struct Fixture {
  Fixture() {
    accept("kept");
    accept("gone");
  }

  void accept(const std::string &Id) {
    jobs::JobAccepted Item;
    Item.Spec_.Id_ = JobId(Id);
    Item.Spec_.Steps_.resize(1);
    Item.Spec_.Steps_[0].Count_ = 2;
    Table_.apply(Item, Now);
  }

  RunName begin(const std::string &Job, std::uint32_t Task,
                const WorkerIncarnation &On) {
    const RunName Run{{JobId(Job), 0, 0, Task}, RunNumber(1)};
    Table_.apply(jobs::RunIntended{Run, On}, Now);
    return Run;
  }

  void cancel(const std::string &Job) {
    Table_.apply(jobs::JobCancelled{JobId(Job)}, Now);
  }

  /// By a report that answers a hold sent at \p SentAt.
  std::vector<RunName>
  unwanted(const WorkerIncarnation &Worker,
           TimePoint SentAt = Now + RunTracker::MaxStopDuration) const {
    return Tracker_.unwanted(Worker, SentAt);
  }

  /// Whether the run is over after some holds that do not list it. Each leaves
  /// at once after the report before; \p StopAnswered comes a moment later.
  template <typename Answer>
  bool isOver(const RunName &Run, const Answer &StopAnswered) {
    TimePoint Sent = Now;
    for (int Holds = 0; Holds < 10; ++Holds) {
      HoldReply Reply;
      Reply.Result_ = OrderResult::Done;
      for (const auto &Item :
           Tracker_.processReport(Here, Reply, Sent, 0).Ended_)
        if (Item.Run_ == Run)
          return true;
      Sent += std::chrono::milliseconds(800);
      StopAnswered(Sent + std::chrono::milliseconds(1));
    }
    return false;
  }

  jobs::CellTable Table_;
  RunTracker Tracker_{Table_};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunTrackerTest, Fixture)

BOOST_AUTO_TEST_CASE(WhatIsWantedIsNotStopped) {
  begin("kept", 0, Here);
  begin("gone", 0, Elsewhere);
  cancel("gone");
  BOOST_TEST(unwanted(Here).empty());
  BOOST_TEST(unwanted(Former).empty());
}

// Tasks of a cancelled job ran on: their holder was gone before it had stopped
// them, and the next one, which reads only the journal, knew no worker at the
// moment at which it ordered the stops.
BOOST_AUTO_TEST_CASE(RunsOfAnEndedJobAreUnwantedWithoutAnyOrder) {
  begin("kept", 0, Here);
  const RunName First = begin("gone", 0, Here);
  const RunName Second = begin("gone", 1, Elsewhere);
  cancel("gone");
  BOOST_TEST((unwanted(Here) == std::vector{First}));
  BOOST_TEST((unwanted(Elsewhere) == std::vector{Second}));
}

// A stop without an answer may not have been carried out, and one that was
// answered need not have reached the life that runs the task. The run stays
// unwanted until it has ended, so that each report asks for it once more.
BOOST_AUTO_TEST_CASE(ARunStaysUnwantedUntilItHasEnded) {
  const RunName Run = begin("gone", 0, Here);
  cancel("gone");
  Tracker_.stopAnswered(Run, Now);
  BOOST_TEST((unwanted(Here) == std::vector{Run}));
  jobs::RunEnded End;
  End.Run_ = Run;
  Table_.apply(End, Now);
  Tracker_.forget(Run);
  BOOST_TEST(unwanted(Here).empty());
}

// The answer to a stop may come after the run was listed as ended. What it left
// behind was kept for the rest of the term, a row for each cancelled run.
BOOST_AUTO_TEST_CASE(AnAnswerAfterTheEndLeavesNothing) {
  const RunName Run = begin("gone", 0, Here);
  jobs::RunEnded End;
  End.Run_ = Run;
  Table_.apply(End, Now);
  Tracker_.forget(Run);
  Tracker_.stopAnswered(Run, Now);
  BOOST_TEST(!Tracker_.stopped(Run));
}

// A run that was told to stop is listed for a moment more. Stops without end
// for such runs kept the holder of a large job's cancel busy.
BOOST_AUTO_TEST_CASE(AReportWithinTheTimeOfAStopAsksForNoOther) {
  const RunName Run = begin("gone", 0, Here);
  cancel("gone");
  BOOST_TEST((unwanted(Here, Now) == std::vector{Run}));
  Tracker_.stopAnswered(Run, Now);
  BOOST_TEST(unwanted(Here, Now).empty());
  BOOST_TEST(unwanted(Here, Now + RunTracker::MaxStopDuration -
                                std::chrono::milliseconds(1))
                 .empty());
  BOOST_TEST(
      (unwanted(Here, Now + RunTracker::MaxStopDuration) == std::vector{Run}));
}

// A worker's process started again with a start on its way, and the worker went
// out of use for good, its task nowhere at work: a stop of the former life's
// run left after each report and was answered after the next hold had left. The
// last answer counted, so no hold was ever sent after it.
BOOST_AUTO_TEST_CASE(ARunOfAFormerLifeIsOverThoughAStopFollowsEachReport) {
  const RunName Run = begin("kept", 0, Former);
  Tracker_.runStaged(Run);
  Tracker_.startSent(Run, 1000);
  BOOST_TEST(isOver(
      Run, [&](TimePoint At) { Tracker_.stopAnsweredByLaterLife(Run, At); }));
}

// The same on the life that the run was meant for, once each report asks for
// the stop of what is unwanted: the room of a cancelled job stayed taken.
BOOST_AUTO_TEST_CASE(AnUnwantedRunIsOverThoughAStopFollowsEachReport) {
  const RunName Run = begin("gone", 0, Here);
  cancel("gone");
  Tracker_.runStaged(Run);
  BOOST_TEST(
      isOver(Run, [&](TimePoint At) { Tracker_.stopAnswered(Run, At); }));
}

BOOST_AUTO_TEST_CASE(ARunThatIsBeingStoppedIsUnwantedThoughItsJobGoesOn) {
  const RunName Run = begin("kept", 0, Here);
  begin("kept", 1, Here);
  Table_.findLive(Run)->Stopping_ = true;
  BOOST_TEST((unwanted(Here) == std::vector{Run}));
}

// The later life does not run what its former one ran; such runs are settled by
// its reports.
BOOST_AUTO_TEST_CASE(RunsOfAFormerLifeAreNotStoppedOnTheNextOne) {
  const RunName Run = begin("gone", 0, Former);
  cancel("gone");
  BOOST_TEST(unwanted(Here).empty());
  BOOST_TEST((unwanted(Former) == std::vector{Run}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
