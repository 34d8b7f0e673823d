#include "cell/runtracker.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using jobs::JobId;
using jobs::RunName;
using jobs::RunNumber;

const TimePoint Now(std::chrono::hours(1));
const WorkerIncarnation ThisIncarnation{WorkerId("w"), 2};
const WorkerIncarnation FormerIncarnation{WorkerId("w"), 1};
const WorkerIncarnation OtherWorker{WorkerId("x"), 2};

/// Two jobs of two tasks, and their runs as a leader has read them from the
/// journal.
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

  RunName startRun(const std::string &Job, std::uint32_t Task,
                   const WorkerIncarnation &On) {
    const RunName Run{{JobId(Job), 0, 0, Task}, RunNumber(1)};
    Table_.apply(jobs::RunIntended{Run, On}, Now);
    return Run;
  }

  void cancel(const std::string &Job) {
    Table_.apply(jobs::JobCancelled{JobId(Job)}, Now);
  }

  /// Sends an attempt to start the run, and gives the reply to it.
  std::optional<RunTracker::EndedRun>
  answerStart(const RunName &Run, OrderResult Result, int Attempt) {
    Tracker_.startSent(Run, 1000);
    return Tracker_.startAnswered(Run, Result, Attempt, Now);
  }

  /// As of a report that answers a hold sent at \p SentAt.
  std::vector<RunName>
  unwanted(const WorkerIncarnation &Worker,
           TimePoint SentAt = Now + RunTracker::MaxStopDuration) const {
    return Tracker_.unwanted(Worker, SentAt);
  }

  void acceptLarge(const std::string &Id, std::uint32_t Tasks) {
    jobs::JobAccepted Item;
    Item.Spec_.Id_ = JobId(Id);
    Item.Spec_.Steps_.resize(1);
    Item.Spec_.Steps_[0].Count_ = Tasks;
    Table_.apply(Item, Now);
  }

  /// Starts one task more than a report has room for ends, on one worker.
  std::vector<RunName> startMoreThanAReportHolds() {
    acceptLarge("large", MaxEndsPerReport + 1);
    std::vector<RunName> Runs;
    for (std::uint32_t Task = 0; Task <= MaxEndsPerReport; ++Task)
      Runs.push_back(startRun("large", Task, ThisIncarnation));
    return Runs;
  }

  /// The report of \p Count ends from number \p First on, where the runs have
  /// ended in their order.
  static HoldReply reportOfEnds(const std::vector<RunName> &Runs,
                                std::size_t First, std::size_t Count) {
    HoldReply Reply;
    Reply.Result_ = OrderResult::Done;
    for (std::size_t Number = First; Number < First + Count; ++Number)
      Reply.Ends_.push_back(
          {Number, Runs[Number - 1], jobs::EndKind::Done, jobs::Checkpoint()});
    return Reply;
  }

  /// Processes two reports, the second one asked for after the ends of the
  /// first one were stored. Checks that each run ends as done.
  void checkAllEndAsDone(const std::vector<RunName> &Runs) {
    const auto First = Tracker_.processReport(
        ThisIncarnation, reportOfEnds(Runs, 1, MaxEndsPerReport), Now, 0);
    BOOST_TEST(!First.Whole_);
    BOOST_TEST(First.Ended_.size() == MaxEndsPerReport);
    end(First.Ended_);
    const auto Second = Tracker_.processReport(
        ThisIncarnation, reportOfEnds(Runs, MaxEndsPerReport + 1, 1), Now,
        MaxEndsPerReport);
    BOOST_TEST(Second.Whole_);
    BOOST_TEST(Second.Ended_.size() == 1u);
    end(Second.Ended_);
  }

  void end(const std::vector<RunTracker::EndedRun> &Runs) {
    for (const RunTracker::EndedRun &Item : Runs) {
      BOOST_TEST((Item.Kind_ == jobs::EndKind::Done));
      jobs::RunEnded End;
      End.Run_ = Item.Run_;
      End.Kind_ = Item.Kind_;
      Table_.apply(End, Now);
      Tracker_.forget(Item.Run_);
    }
  }

  /// Whether the run ends after some holds that do not report it. Each hold is
  /// sent right after the previous report; \p StopAnswered is called 1 ms
  /// later.
  template <typename Answer>
  bool endsAfterHolds(const RunName &Run, const Answer &StopAnswered) {
    TimePoint SentAt = Now;
    for (int Holds = 0; Holds < 10; ++Holds) {
      HoldReply Reply;
      Reply.Result_ = OrderResult::Done;
      for (const auto &Item :
           Tracker_.processReport(ThisIncarnation, Reply, SentAt, 0).Ended_)
        if (Item.Run_ == Run)
          return true;
      SentAt += std::chrono::milliseconds(800);
      StopAnswered(SentAt + std::chrono::milliseconds(1));
    }
    return false;
  }

  jobs::CellTable Table_;
  RunTracker Tracker_{Table_};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunTrackerTest, Fixture)

BOOST_AUTO_TEST_CASE(WantedRunsAreNotStopped) {
  startRun("kept", 0, ThisIncarnation);
  startRun("gone", 0, OtherWorker);
  cancel("gone");
  BOOST_TEST(unwanted(ThisIncarnation).empty());
  BOOST_TEST(unwanted(FormerIncarnation).empty());
}

// Guards against tasks of a cancelled job that go on running: their leader
// ended before it had stopped them, and the next one, which reads only the
// journal, knew no workers when it ordered the stops.
BOOST_AUTO_TEST_CASE(RunsOfAnEndedJobAreUnwantedWithoutAStopOrder) {
  startRun("kept", 0, ThisIncarnation);
  const RunName First = startRun("gone", 0, ThisIncarnation);
  const RunName Second = startRun("gone", 1, OtherWorker);
  cancel("gone");
  BOOST_TEST((unwanted(ThisIncarnation) == std::vector{First}));
  BOOST_TEST((unwanted(OtherWorker) == std::vector{Second}));
}

// A stop without a reply may not have been executed, and one with a reply may
// not have reached the incarnation that runs the task. The run stays unwanted
// until it has ended, so that each report triggers another stop.
BOOST_AUTO_TEST_CASE(ARunStaysUnwantedUntilItHasEnded) {
  const RunName Run = startRun("gone", 0, ThisIncarnation);
  cancel("gone");
  Tracker_.stopAnswered(Run, Now);
  BOOST_TEST((unwanted(ThisIncarnation) == std::vector{Run}));
  jobs::RunEnded End;
  End.Run_ = Run;
  Table_.apply(End, Now);
  Tracker_.forget(Run);
  BOOST_TEST(unwanted(ThisIncarnation).empty());
}

// Guards against a leak: the reply to a stop may arrive after the run was
// reported as ended, and the state recorded for it was kept for the rest of the
// term, one entry per cancelled run.
BOOST_AUTO_TEST_CASE(LateStopReplyLeavesNoState) {
  const RunName Run = startRun("gone", 0, ThisIncarnation);
  jobs::RunEnded End;
  End.Run_ = Run;
  Table_.apply(End, Now);
  Tracker_.forget(Run);
  Tracker_.stopAnswered(Run, Now);
  BOOST_TEST(!Tracker_.stopped(Run));
}

// A run that is being stopped is still reported for a moment. Guards against
// repeating stops for such runs, which kept the leader busy when a large job
// was cancelled.
BOOST_AUTO_TEST_CASE(ReportDuringAStopTriggersNoOther) {
  const RunName Run = startRun("gone", 0, ThisIncarnation);
  cancel("gone");
  BOOST_TEST((unwanted(ThisIncarnation, Now) == std::vector{Run}));
  Tracker_.stopAnswered(Run, Now);
  BOOST_TEST(unwanted(ThisIncarnation, Now).empty());
  BOOST_TEST(unwanted(ThisIncarnation, Now + RunTracker::MaxStopDuration -
                                           std::chrono::milliseconds(1))
                 .empty());
  BOOST_TEST((unwanted(ThisIncarnation, Now + RunTracker::MaxStopDuration) ==
              std::vector{Run}));
}

// Guards against a worker that is never used again while its task runs nowhere,
// after its process restarted with a start in transit. A stop for the former
// incarnation's run was sent after each report and answered after the next hold
// had been sent. The last reply counted, so no hold was ever sent after it.
BOOST_AUTO_TEST_CASE(RunOfAFormerIncarnationEndsThoughAStopFollowsEachReport) {
  const RunName Run = startRun("kept", 0, FormerIncarnation);
  Tracker_.runStaged(Run);
  Tracker_.startSent(Run, 1000);
  BOOST_TEST(endsAfterHolds(Run, [&](TimePoint At) {
    Tracker_.stopAnsweredByLaterIncarnation(Run, At);
  }));
}

// The same on the incarnation that the run was sent to, since each report
// triggers stops for unwanted runs: the resources of a cancelled job were never
// freed.
BOOST_AUTO_TEST_CASE(UnwantedRunEndsThoughAStopFollowsEachReport) {
  const RunName Run = startRun("gone", 0, ThisIncarnation);
  cancel("gone");
  Tracker_.runStaged(Run);
  BOOST_TEST(endsAfterHolds(
      Run, [&](TimePoint At) { Tracker_.stopAnswered(Run, At); }));
}

// Guards against finished tasks that are started again after a takeover.
BOOST_AUTO_TEST_CASE(CutReportLosesNoRunOfAnEarlierLeader) {
  checkAllEndAsDone(startMoreThanAReportHolds());
}

// Guards against the same in one term, after an outage of the store.
BOOST_AUTO_TEST_CASE(CutReportLosesNoRunOfThisLeader) {
  const std::vector<RunName> Runs = startMoreThanAReportHolds();
  for (const RunName &Run : Runs) {
    Tracker_.runStaged(Run);
    Tracker_.startSent(Run, 1000);
    Tracker_.startAnswered(Run, OrderResult::Done, 0,
                           Now - std::chrono::milliseconds(1));
    Tracker_.noMoreStarts(Run);
  }
  checkAllEndAsDone(Runs);
}

// Guards against the same for a start that a restarted worker executed late.
BOOST_AUTO_TEST_CASE(CutReportLosesNoRunOfAFormerIncarnation) {
  acceptLarge("large", MaxEndsPerReport + 1);
  std::vector<RunName> Runs;
  for (std::uint32_t Task = 0; Task < MaxEndsPerReport; ++Task)
    Runs.push_back(startRun("large", Task, ThisIncarnation));
  Runs.push_back(startRun("large", MaxEndsPerReport, FormerIncarnation));
  checkAllEndAsDone(Runs);
}

// Guards against a run that is never given up because some report was cut.
BOOST_AUTO_TEST_CASE(RunMissingInAWholeReportAfterACutOneIsLost) {
  std::vector<RunName> Runs = startMoreThanAReportHolds();
  const auto First = Tracker_.processReport(
      ThisIncarnation, reportOfEnds(Runs, 1, MaxEndsPerReport), Now, 0);
  end(First.Ended_);
  const auto Second = Tracker_.processReport(
      ThisIncarnation, reportOfEnds(Runs, MaxEndsPerReport + 1, 0), Now,
      MaxEndsPerReport);
  BOOST_REQUIRE(Second.Ended_.size() == 1u);
  BOOST_TEST((Second.Ended_[0].Run_ == Runs.back()));
  BOOST_TEST((Second.Ended_[0].Kind_ == jobs::EndKind::Lost));
}

// Guards against a finished task that is started again because its worker
// returns fewer ends at a time than expected.
BOOST_AUTO_TEST_CASE(ReportWithFewEndsLosesNoRun) {
  const std::vector<RunName> Runs{startRun("kept", 0, ThisIncarnation),
                                  startRun("kept", 1, ThisIncarnation)};
  const auto First =
      Tracker_.processReport(ThisIncarnation, reportOfEnds(Runs, 1, 1), Now, 0);
  BOOST_TEST(!First.Whole_);
  BOOST_TEST(First.Ended_.size() == 1u);
  end(First.Ended_);
  const auto Second =
      Tracker_.processReport(ThisIncarnation, reportOfEnds(Runs, 2, 1), Now, 1);
  BOOST_TEST(Second.Whole_);
  BOOST_TEST(Second.Ended_.size() == 1u);
  end(Second.Ended_);
}

BOOST_AUTO_TEST_CASE(RunBeingStoppedIsUnwantedThoughItsJobContinues) {
  const RunName Run = startRun("kept", 0, ThisIncarnation);
  startRun("kept", 1, ThisIncarnation);
  Table_.findLive(Run)->Stopping_ = true;
  BOOST_TEST((unwanted(ThisIncarnation) == std::vector{Run}));
}

// Guards against a task that waits for its start's deadline though no attempt
// left the leader.
BOOST_AUTO_TEST_CASE(StartThatWasNeverSentCannotHaveArrived) {
  const RunName Run = startRun("kept", 0, ThisIncarnation);
  Tracker_.runStaged(Run);
  answerStart(Run, OrderResult::NotSent, 0);
  BOOST_TEST(!Tracker_.cannotHaveArrived(Run));
  Tracker_.noMoreStarts(Run);
  BOOST_TEST(Tracker_.cannotHaveArrived(Run));
}

// Guards against a second run of a task whose start was reset after it had been
// sent: it may have been executed.
BOOST_AUTO_TEST_CASE(StartWithOneAttemptSentMayHaveArrived) {
  const RunName Run = startRun("kept", 0, ThisIncarnation);
  Tracker_.runStaged(Run);
  answerStart(Run, OrderResult::Unknown, 0);
  answerStart(Run, OrderResult::NotSent, 1);
  Tracker_.noMoreStarts(Run);
  BOOST_TEST(!Tracker_.cannotHaveArrived(Run));
}

// Guards against a refused start that is held for one that may be active,
// because an attempt before it did not leave the leader.
BOOST_AUTO_TEST_CASE(RefusalAfterAnAttemptThatWasNotSentEndsTheRun) {
  const RunName Run = startRun("kept", 0, ThisIncarnation);
  Tracker_.runStaged(Run);
  answerStart(Run, OrderResult::NotSent, 0);
  BOOST_TEST(answerStart(Run, OrderResult::NoRoom, 1).has_value());
}

// The later incarnation does not run the tasks of the former one; its reports
// settle them.
BOOST_AUTO_TEST_CASE(RunsOfAFormerIncarnationAreNotStoppedOnTheNext) {
  const RunName Run = startRun("gone", 0, FormerIncarnation);
  cancel("gone");
  BOOST_TEST(unwanted(ThisIncarnation).empty());
  BOOST_TEST((unwanted(FormerIncarnation) == std::vector{Run}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
