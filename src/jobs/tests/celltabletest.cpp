#include "jobs/eventcodec.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::jobs {

namespace {

using namespace std::chrono_literals;

const TimePoint Start(std::chrono::hours(1));
const JobId Job("0123456789abcdef");
const JobId Copied("fedcba9876543210");
const WorkerIncarnation Worker{WorkerId("w1"), 5};
const WorkerIncarnation Other{WorkerId("w2"), 5};
const WorkspaceName Workspace("ws");
const QueueName Queue("q");

JobSpec twoSteps() {
  JobSpec Spec;
  Spec.Id_ = Job;
  Spec.Queue_ = Queue;
  Spec.Workspace_ = Workspace;
  Spec.Payload_ = "payload";
  StepSpec First;
  First.Count_ = 2;
  First.PerTask_ = {1000, 100, 0};
  StepSpec Second = First;
  Second.Count_ = 1;
  Second.After_ = {0};
  Spec.Steps_ = {First, Second};
  return Spec;
}

RunName runOf(std::uint32_t Step, std::uint32_t Index, std::uint64_t Run) {
  return {{Job, 0, Step, Index}, RunNumber(Run)};
}

struct Fixture {
  Fixture() { Table_.apply(JobAccepted{twoSteps()}, Start); }
  void start(const RunName &Run) {
    Table_.apply(RunIntended{Run, Worker}, Start);
  }
  void end(const RunName &Run, EndKind Kind) {
    Table_.apply(RunEnded{Run, Kind, Checkpoint()}, Start);
  }
  JobState state() const { return Table_.find(Job)->State_; }
  /// Accepts a job with one speculative task, and starts it twice.
  void startTwice() {
    JobSpec Spec = twoSteps();
    Spec.Id_ = Copied;
    Spec.Steps_.resize(1);
    Spec.Steps_[0].Count_ = 1;
    Spec.Steps_[0].Speculative_ = true;
    Table_.apply(JobAccepted{Spec}, Start);
    start(copied(1));
    Table_.apply(RunIntended{copied(2), Other}, Start);
  }
  static RunName copied(std::uint64_t Run) {
    return {{Copied, 0, 0, 0}, RunNumber(Run)};
  }
  const StepRow &copiedStep(const CellTable &Table) const {
    return Table.find(Copied)->Occurrences_.find(0)->Steps_[0];
  }
  CellTable restored() const {
    CellTable Result;
    for (const std::string &Part : encodeSnapshot(Table_, 1 << 20, 1 << 20))
      BOOST_REQUIRE(decodeSnapshot(Part, Start, Result).ok());
    return Result;
  }

  CellTable Table_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CellTableTest, Fixture)

BOOST_AUTO_TEST_CASE(JobIsDoneWhenAllTasksAre) {
  BOOST_TEST(Table_.waiting(Queue) == 1u);
  start(runOf(0, 0, 1));
  BOOST_TEST((state() == JobState::Running));
  BOOST_TEST(Table_.waiting(Queue) == 0u);
  end(runOf(0, 0, 1), EndKind::Done);
  start(runOf(0, 1, 1));
  end(runOf(0, 1, 1), EndKind::Done);
  start(runOf(1, 0, 1));
  BOOST_TEST((state() == JobState::Running));
  end(runOf(1, 0, 1), EndKind::Done);
  BOOST_TEST((state() == JobState::Done));
  BOOST_TEST(Table_.open().empty());
}

BOOST_AUTO_TEST_CASE(LiveRunsCountAgainstWorkerAndWorkspace) {
  start(runOf(0, 0, 1));
  start(runOf(0, 1, 1));
  BOOST_TEST(Table_.usageOf(Worker)->Used_.MilliCpus_ == 2000);
  BOOST_TEST(Table_.usedBy(Workspace).MilliCpus_ == 2000);
  end(runOf(0, 0, 1), EndKind::Lost);
  BOOST_TEST(Table_.usedBy(Workspace).MilliCpus_ == 1000);
  end(runOf(0, 1, 1), EndKind::Done);
  BOOST_TEST((Table_.usageOf(Worker) == nullptr));
}

BOOST_AUTO_TEST_CASE(OnlyFailuresCountAsAttempts) {
  Table_.setAttemptLimit([](const QueueName &) { return 2u; });
  std::uint64_t Run = 1;
  for (const EndKind Kind :
       {EndKind::Lost, EndKind::LeaseExpired, EndKind::Refused,
        EndKind::Stopped, EndKind::Failed, EndKind::Lost}) {
    start(runOf(0, 0, Run));
    end(runOf(0, 0, Run++), Kind);
  }
  BOOST_TEST((state() == JobState::Running));
  start(runOf(0, 0, Run));
  end(runOf(0, 0, Run), EndKind::Failed);
  BOOST_TEST((state() == JobState::Failed));
}

BOOST_AUTO_TEST_CASE(CancelledJobKeepsLiveRuns) {
  start(runOf(0, 0, 1));
  Table_.apply(JobCancelled{Job}, Start);
  BOOST_TEST((state() == JobState::Cancelled));
  BOOST_TEST(Table_.find(Job)->LiveRuns_ == 1u);
  Table_.forgetEnded(Start + 1h);
  BOOST_REQUIRE(Table_.find(Job));
  end(runOf(0, 0, 1), EndKind::Stopped);
  Table_.forgetEnded(Start + 1h);
  BOOST_TEST(!Table_.find(Job));
}

// Guards against a leader that crashes when the second of two runs that demand
// nothing ends.
BOOST_AUTO_TEST_CASE(RunsWithoutDemandEndOneAfterTheOther) {
  JobSpec Spec = twoSteps();
  Spec.Id_ = Copied;
  Spec.Steps_[0].PerTask_ = Resources();
  Table_.apply(JobAccepted{Spec}, Start);
  start({{Copied, 0, 0, 0}, RunNumber(1)});
  start({{Copied, 0, 0, 1}, RunNumber(1)});
  end({{Copied, 0, 0, 0}, RunNumber(1)}, EndKind::Done);
  end({{Copied, 0, 0, 1}, RunNumber(1)}, EndKind::Done);
  BOOST_TEST(copiedStep(Table_).done());
  BOOST_TEST(Table_.finiteUsage().empty());
}

// The next leader can read a snapshot that already contains the newest events
// and then replay them from the journal. If they were counted twice, a task
// would run twice at a time or a job would fail too early.
BOOST_AUTO_TEST_CASE(ReplayOnTopOfALaterSnapshotChangesNothing) {
  RunEnded Failure;
  Failure.Run_ = runOf(0, 0, 1);
  Failure.Kind_ = EndKind::Failed;
  Failure.Saved_ = Checkpoint("c");
  RunIntended First, Second;
  First.Run_ = runOf(0, 0, 1);
  First.Worker_ = Worker;
  Second.Run_ = runOf(0, 0, 2);
  Second.Worker_ = Worker;
  const std::vector<Event> Events = {JobAccepted{twoSteps()}, First, Failure,
                                     Second};
  CellTable Table;
  for (const Event &Item : Events)
    Table.apply(Item, Start);
  CellTable Restored;
  for (const std::string &Part : encodeSnapshot(Table, 1 << 20, 1 << 20))
    BOOST_REQUIRE(decodeSnapshot(Part, Start, Restored).ok());
  const auto Log = decodeGroup(encodeGroup(Events));
  BOOST_REQUIRE(Log.ok());
  for (const Event &Item : Log->Events_)
    Restored.apply(Item, Start);
  const TaskRow *Task = Restored.find(TaskName{Job, 0, 0, 0});
  BOOST_REQUIRE(Task);
  BOOST_TEST(Task->Failures_ == 1u);
  BOOST_TEST(Task->Runs_.size() == 1u);
  BOOST_TEST(Task->Saved_.str() == "c");
  BOOST_TEST(Restored.usedBy(Workspace).MilliCpus_ == 1000);
  BOOST_TEST(Restored.find(Job)->Spec_.Payload_ == "payload");
}

BOOST_AUTO_TEST_CASE(EndedJobsKeepTheirStateInASnapshot) {
  start(runOf(0, 0, 1));
  Table_.apply(JobCancelled{Job}, Start);
  CellTable Restored;
  for (const std::string &Part : encodeSnapshot(Table_, 1 << 20, 1 << 20))
    BOOST_REQUIRE(decodeSnapshot(Part, Start, Restored).ok());
  BOOST_TEST((Restored.find(Job)->State_ == JobState::Cancelled));
  BOOST_TEST(Restored.find(Job)->LiveRuns_ == 1u);
  BOOST_TEST(Restored.usageOf(Worker)->Runs_.size() == 1u);
}

// Guards against a cancelled job that is reported as done after a takeover. A
// gang member succeeded just as the job was cancelled, which marks all members
// as done, while another member was still live. Restoring the snapshot's tasks
// before the job's state closed the job as done.
BOOST_AUTO_TEST_CASE(CancelledGangWithAllTasksDoneStaysCancelled) {
  JobSpec Spec = twoSteps();
  Spec.Id_ = JobId("fedcba9876543210");
  Spec.Steps_.resize(1);
  Spec.Steps_[0].Gang_ = true;
  Table_.apply(JobAccepted{Spec}, Start);
  const TaskName One{Spec.Id_, 0, 0, 0};
  const TaskName Two{Spec.Id_, 0, 0, 1};
  start({One, RunNumber(1)});
  start({Two, RunNumber(1)});
  Table_.apply(JobCancelled{Spec.Id_}, Start);
  end({One, RunNumber(1)}, EndKind::Done);
  CellTable Restored;
  for (const std::string &Part : encodeSnapshot(Table_, 1 << 20, 1 << 20))
    BOOST_REQUIRE(decodeSnapshot(Part, Start, Restored).ok());
  BOOST_TEST((Table_.find(Spec.Id_)->State_ == JobState::Cancelled));
  BOOST_TEST((Restored.find(Spec.Id_)->State_ == JobState::Cancelled));
  BOOST_TEST(Restored.find(Spec.Id_)->LiveRuns_ == 1u);
}

// Guards against a standing job that is shown as done, and never restarted,
// because a member of its gang ended so.
BOOST_AUTO_TEST_CASE(GangThatLastsIsNotDoneWhenOneMemberEnds) {
  JobSpec Spec = twoSteps();
  Spec.Id_ = Copied;
  Spec.Steps_.resize(1);
  Spec.Steps_[0].Gang_ = true;
  Spec.Steps_[0].LongRunning_ = true;
  Table_.apply(JobAccepted{Spec}, Start);
  const RunName First{{Copied, 0, 0, 0}, RunNumber(1)};
  start(First);
  end(First, EndKind::Done);
  BOOST_TEST((Table_.find(Copied)->State_ == JobState::Running));
  BOOST_TEST(Table_.find(First.Task_)->idle());
}

// Guards against members of a gang that resume from different checkpoints, as a
// stop or a lost worker left them behind.
BOOST_AUTO_TEST_CASE(MembersOfAGangResumeFromOneCheckpoint) {
  JobSpec Spec = twoSteps();
  Spec.Id_ = Copied;
  Spec.Steps_.resize(1);
  Spec.Steps_[0].Count_ = 3;
  Spec.Steps_[0].Gang_ = true;
  Table_.apply(JobAccepted{Spec}, Start);
  const auto Member = [](std::uint32_t Index) {
    return TaskName{Copied, 0, 0, Index};
  };
  BOOST_TEST(Table_.resumePoint(Member(0)).empty());
  Table_.findTask(Member(1))->Saved_ = Checkpoint("a");
  Table_.findTask(Member(2))->Saved_ = Checkpoint("b");
  for (std::uint32_t Index = 0; Index < 3; ++Index)
    BOOST_TEST(Table_.resumePoint(Member(Index)).str() == "a");
}

BOOST_AUTO_TEST_CASE(TaskResumesFromItsOwnCheckpoint) {
  Table_.findTask(runOf(0, 1, 1).Task_)->Saved_ = Checkpoint("a");
  BOOST_TEST(Table_.resumePoint(runOf(0, 0, 1).Task_).empty());
  BOOST_TEST(Table_.resumePoint(runOf(0, 1, 1).Task_).str() == "a");
}

BOOST_AUTO_TEST_CASE(GangIsDoneWhenOneMemberSucceeds) {
  JobSpec Spec = twoSteps();
  Spec.Id_ = JobId("fedcba9876543210");
  Spec.Steps_[0].Gang_ = true;
  Spec.Steps_.pop_back();
  Table_.apply(JobAccepted{Spec}, Start);
  RunName Member = runOf(0, 0, 1);
  Member.Task_.Job_ = Spec.Id_;
  start(Member);
  Member.Task_.Index_ = 1;
  start(Member);
  end(Member, EndKind::Done);
  BOOST_TEST((Table_.find(Spec.Id_)->State_ == JobState::Done));
}

// Guards against a count of idle tasks below zero, and against a copy that is
// never stopped: the job is done while the other run of its task is live.
BOOST_AUTO_TEST_CASE(RunOfADoneTaskIsUnwantedAndDoesNotCountAsLive) {
  startTwice();
  BOOST_TEST(copiedStep(Table_).LiveCount_ == 1u);
  BOOST_TEST(!Table_.unwantedSince(copied(1)));
  Table_.apply(RunEnded{copied(2), EndKind::Done, Checkpoint()}, Start + 1s);
  BOOST_TEST(copiedStep(Table_).LiveCount_ == 0u);
  BOOST_TEST((Table_.find(Copied)->State_ == JobState::Done));
  BOOST_TEST((Table_.unwantedSince(copied(1)) == Start + 1s));
  BOOST_TEST(Table_.usageOf(Worker)->Used_.MilliCpus_ == 1000);
  end(copied(1), EndKind::Stopped);
  BOOST_TEST(copiedStep(Table_).LiveCount_ == 0u);
  BOOST_TEST((Table_.usageOf(Worker) == nullptr));
}

// Guards against the same in a step whose other tasks still run, so that the
// job continues.
BOOST_AUTO_TEST_CASE(RunOfADoneTaskIsUnwantedWhileItsJobContinues) {
  JobSpec Spec = twoSteps();
  Spec.Id_ = Copied;
  Spec.Steps_[0].Speculative_ = true;
  Table_.apply(JobAccepted{Spec}, Start);
  start(copied(1));
  start(copied(2));
  end(copied(1), EndKind::Done);
  BOOST_TEST((Table_.find(Copied)->State_ == JobState::Running));
  BOOST_TEST(copiedStep(Table_).LiveCount_ == 0u);
  BOOST_TEST(Table_.unwantedSince(copied(2)).has_value());
  // A late end that reports success is not counted again.
  end(copied(2), EndKind::Done);
  BOOST_TEST(copiedStep(Table_).DoneCount_ == 1u);
}

// Guards against copies of tasks that must not run twice, and against a third
// run. The number of an ignored intent must not be given to another run.
BOOST_AUTO_TEST_CASE(IntentsBeyondTheLiveRunsAllowedAreIgnored) {
  startTwice();
  start(copied(3));
  BOOST_TEST(!Table_.find(copied(3)));
  BOOST_TEST(Table_.find(copied(1).Task_)->LastRun_.value() == 3u);
  start(runOf(0, 0, 1));
  start(runOf(0, 0, 2));
  BOOST_TEST(!Table_.find(runOf(0, 0, 2)));
  BOOST_TEST(Table_.find(TaskName{Job, 0, 0, 0})->LastRun_.value() == 2u);
}

// Guards against copies where one end concerns more than its own task, or
// where a second instance would serve.
BOOST_AUTO_TEST_CASE(GangsAndLongRunningTasksHaveOneRun) {
  StepSpec Step;
  Step.Speculative_ = true;
  BOOST_TEST(Step.maxLiveRuns() == 2u);
  Step.Gang_ = true;
  BOOST_TEST(Step.maxLiveRuns() == 1u);
  Step.Gang_ = false;
  Step.LongRunning_ = true;
  BOOST_TEST(Step.maxLiveRuns() == 1u);
}

// Guards against starts of a job that has failed, in a copy or another task.
BOOST_AUTO_TEST_CASE(FailuresOfBothRunsCountAndNothingStartsAfterwards) {
  Table_.setAttemptLimit([](const QueueName &) { return 2u; });
  startTwice();
  end(copied(1), EndKind::Failed);
  BOOST_TEST((Table_.find(Copied)->State_ == JobState::Running));
  BOOST_TEST(copiedStep(Table_).LiveCount_ == 1u);
  end(copied(2), EndKind::Failed);
  BOOST_TEST((Table_.find(Copied)->State_ == JobState::Failed));
  start(copied(3));
  BOOST_TEST(!Table_.find(copied(3)));
}

// Guards against a successor that forgets one of two runs, or takes a task that
// is done for one that runs.
BOOST_AUTO_TEST_CASE(SnapshotKeepsBothRunsAndTheEndOfATask) {
  startTwice();
  const CellTable Two = restored();
  BOOST_TEST(Two.find(copied(1).Task_)->Runs_.size() == 2u);
  BOOST_TEST(copiedStep(Two).LiveCount_ == 1u);
  BOOST_TEST((Two.find(copied(2))->Worker_ == Other));
  BOOST_TEST(Two.usageOf(Other)->Runs_.size() == 1u);
  end(copied(1), EndKind::Done);
  const CellTable One = restored();
  BOOST_TEST((One.find(Copied)->State_ == JobState::Done));
  BOOST_TEST(copiedStep(One).LiveCount_ == 0u);
  BOOST_TEST(One.unwantedSince(copied(2)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::jobs
