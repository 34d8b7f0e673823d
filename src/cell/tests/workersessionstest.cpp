#include "cell/workersessions.h"
#include "cell/tests/silentclient.h"
#include "journal/tests/fakestore.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using journal::FakeStore;

const journal::CellKeys Keys("cell/");
const jobs::RunName Run{{jobs::JobId("0123456789abcdef"), 0, 0, 0},
                        jobs::RunNumber(1)};

const ZoneName Zone("z1");

constexpr std::uint32_t NeverAnswers = 1000;

/// For this long a worker may have no connection free: a hold that waits there.
constexpr Duration LongestOutageOfConnections = std::chrono::milliseconds(250);

constexpr Duration LateHoldWait =
    WorkerSessions<FakeStore, SilentClient>::LateHoldWait;
constexpr Duration FirstReplyWait =
    WorkerSessions<FakeStore, SilentClient>::FirstReplyWait;

/// Counts the starts, of which the first ones stay unanswered, and records the
/// stops. Holds are answered by Report_, once.
struct CountingClient : SilentClient {
  bool awaitConnection(const WorkerRecord &, Duration) {
    if (WhileWaiting_)
      WhileWaiting_();
    return Connected_;
  }

  OrderReply start(const WorkerRecord &, const StartOrder &Order, Duration) {
    ++Starts_;
    ResumedFrom_.push_back(Order.ResumeFrom_);
    StartedAt_.push_back(framework::clock::SteadyClock().now());
    if (AfterStart_)
      AfterStart_();
    return Starts_ > Unanswered_ ? OrderReply{OrderResult::Done, 1}
                                 : OrderReply();
  }

  OrderReply stop(const WorkerRecord &, const jobs::RunName &Stopped,
                  jobs::FencingToken, Duration) {
    Stops_.push_back(Stopped);
    if (Stops_.size() <= UnansweredStops_)
      return {};
    return {OrderResult::Done, 1};
  }
  HoldReply hold(const WorkerRecord &, const HoldOrder &Order, Duration) {
    Holds_.push_back(Order);
    framework::fibers::sleepFor(HoldTime_);
    return RepeatsReport_ ? Report_ : std::exchange(Report_, HoldReply());
  }

  std::uint32_t Starts_ = 0;
  std::uint32_t Unanswered_ = 0;
  std::uint32_t UnansweredStops_ = 0;
  std::vector<TimePoint> StartedAt_;
  std::vector<jobs::Checkpoint> ResumedFrom_;
  std::vector<jobs::RunName> Stops_;
  HoldReply Report_;
  bool RepeatsReport_ = false;
  std::vector<HoldOrder> Holds_;
  Duration HoldTime_{};
  std::function<void()> AfterStart_;
  /// Called while an order waits for a connection.
  std::function<void()> WhileWaiting_;
  /// Whether a connection becomes free.
  bool Connected_ = true;
};

/// A leader that has stored the intent of a run on a worker.
struct Fixture {
  Fixture() {
    BOOST_REQUIRE(*Leadership_.campaign());
    Term_ = std::make_shared<Term<FakeStore>>(
        Store_, Keys, Leadership_, Metrics_, CellBounds(), Evacuations_);
    Sessions_ = std::make_shared<WorkerSessions<FakeStore, CountingClient>>(
        Term_, Client_);
    Row_->Record_.Incarnation_ = {WorkerId("w1"), 1};
    Row_->Synced_ = true;
    // Most tests are about orders only, so the worker is not polled.
    Row_->HasSession_ = true;
    Term_->Workers_[Row_->Record_.Incarnation_] = Row_;
    jobs::JobAccepted Job;
    Job.Spec_.Id_ = Run.Task_.Job_;
    Job.Spec_.Steps_.resize(1);
    Term_->Commits_.stage(Job);
    Intent_ = {Run, Row_->Record_.Incarnation_};
    Sessions_->runStaged(Run);
    Term_->Commits_.stage(Intent_);
  }

  ~Fixture() {
    Term_->Ended_ = true;
    while (Sessions_.use_count() > 1)
      framework::fibers::sleepFor(std::chrono::milliseconds(1));
  }

  void startAndWait() {
    Sessions_->start(Intent_);
    while (Sessions_.use_count() > 1)
      framework::fibers::sleepFor(std::chrono::milliseconds(1));
  }

  /// Starts the run on a worker that has not replied yet.
  void startBeforeFirstReply() {
    Row_->Synced_ = false;
    Row_->HasSession_ = false;
    Sessions_->start(Intent_);
    framework::fibers::sleepFor(std::chrono::milliseconds(1));
    while (Sessions_->unansweredStarts() > 0)
      framework::fibers::sleepFor(std::chrono::milliseconds(1));
  }

  /// Stages two runs of a speculative task, the second one on another worker.
  /// Returns the second run.
  jobs::RunIntended stageCopy() {
    const jobs::TaskName Task{jobs::JobId("fedcba9876543210"), 0, 0, 0};
    const WorkerIncarnation Other{WorkerId("w2"), 1};
    const auto Row = std::make_shared<WorkerRow>();
    Row->Record_.Incarnation_ = Other;
    Term_->Workers_[Other] = Row;
    jobs::JobAccepted Job;
    Job.Spec_.Id_ = Task.Job_;
    Job.Spec_.Steps_.resize(1);
    Job.Spec_.Steps_[0].Count_ = 2;
    Job.Spec_.Steps_[0].Speculative_ = true;
    Term_->Commits_.stage(Job);
    Term_->Commits_.stage(jobs::RunIntended{{Task, jobs::RunNumber(1)},
                                            Row_->Record_.Incarnation_});
    const jobs::RunIntended Copy{{Task, jobs::RunNumber(2)}, Other};
    Sessions_->runStaged(Copy.Run_);
    Term_->Commits_.stage(Copy);
    return Copy;
  }

  /// Lets the first worker report the end of the first run.
  void reportFirstDone(const jobs::TaskName &Task) {
    Client_.Report_.Result_ = OrderResult::Done;
    Client_.Report_.Ends_ = {
        {1, {Task, jobs::RunNumber(1)}, jobs::EndKind::Done, {}}};
    Row_->HasSession_ = false;
    Sessions_->add(Row_);
    for (int Waits = 0; Waits < 200 && !Term_->Table_.find(Task)->Done_;
         ++Waits)
      framework::fibers::sleepFor(std::chrono::milliseconds(1));
    framework::fibers::sleepFor(std::chrono::milliseconds(5));
  }

  /// The worker's next incarnation, in the platform's list.
  WorkerRow nextIncarnation() const {
    WorkerRow Result;
    Result.Record_ = Row_->Record_;
    ++Result.Record_.Incarnation_.StartedMs_;
    return Result;
  }

  /// Lets an unused worker report \p Count ends of unknown runs.
  void reportUnknownEnds(std::uint64_t Count) {
    Client_.Report_.Result_ = OrderResult::Done;
    for (std::uint64_t Number = 1; Number <= Count; ++Number)
      Client_.Report_.Ends_.push_back(
          {Number, {Run.Task_, jobs::RunNumber(9)}, jobs::EndKind::Done, {}});
    const auto Row = std::make_shared<WorkerRow>();
    Row->Record_.Incarnation_ = {WorkerId("w9"), 1};
    Term_->Workers_[Row->Record_.Incarnation_] = Row;
    Client_.HoldTime_ = std::chrono::milliseconds(1);
    Sessions_->prepareStart(Row->Record_.Incarnation_);
  }

  std::uint64_t counter(const std::string &Name) {
    return Metrics_.counter(Name).value();
  }

  FakeStore Store_;
  CountingClient Client_;
  framework::metrics::Registry Metrics_;
  ZoneEvacuations Evacuations_;
  journal::Leadership<FakeStore> Leadership_{Store_, Keys, journal::Leader()};
  std::shared_ptr<Term<FakeStore>> Term_;
  std::shared_ptr<WorkerSessions<FakeStore, CountingClient>> Sessions_;
  WorkerRowPtr Row_ = std::make_shared<WorkerRow>();
  jobs::RunIntended Intent_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerSessionsTest, Fixture)

BOOST_AUTO_TEST_CASE(StoredIntentIsSent) {
  startAndWait();
  BOOST_TEST(Client_.Starts_ == 1u);
  BOOST_TEST(Term_->Table_.find(Run)->Confirmed_);
}

// Guards against a task that starts long after its worker announced that it
// leaves: the intent was planned before, and storing it took seconds.
BOOST_AUTO_TEST_CASE(IntentIsNotSentToAWorkerThatDrains) {
  Row_->Record_.Draining_ = true;
  startAndWait();
  BOOST_TEST(Client_.Starts_ == 0u);
  BOOST_TEST(!Term_->Table_.find(Run));
}

// Guards against the same by a repeated start. The run may be active, so only
// the worker's reports end it.
BOOST_AUTO_TEST_CASE(StartIsNotRepeatedOnAWorkerThatDrains) {
  Client_.Unanswered_ = 1;
  Client_.AfterStart_ = [this] { Row_->Record_.Draining_ = true; };
  startAndWait();
  BOOST_TEST(Client_.Starts_ == 1u);
  BOOST_TEST(Term_->Table_.find(Run) != nullptr);
}

// Guards against ends on an unused worker that are never read, as the report
// before them was full.
BOOST_AUTO_TEST_CASE(FullReportIsFollowedByTheNext) {
  reportUnknownEnds(MaxEndsPerReport);
  for (int Waits = 0; Waits < 2000 && Client_.Holds_.size() < 2; ++Waits)
    framework::fibers::sleepFor(std::chrono::milliseconds(1));
  BOOST_REQUIRE(Client_.Holds_.size() >= 2u);
  BOOST_TEST((Client_.Holds_[1].Wait_ == Duration::zero()));
}

// Guards against a finished task that is started again: a hold to the former
// incarnation of its worker, which waits at the next one, acknowledged its end,
// which nobody had read.
BOOST_AUTO_TEST_CASE(RestartedWorkerTakesNoTaskWhileLateHoldsMayArrive) {
  Row_->EndsStored_ = 1;
  Row_->recordHold(Row_->nextPoll(LateHoldWait), Term_->now());
  Term_->markIncarnationEnded(*Row_, "restarted");
  WorkerRow Restarted = nextIncarnation();
  BOOST_TEST(!Term_->acceptsTasks(Restarted));
  Restarted.markSynced(Term_->now(), CellBounds().MaxLease_);
  BOOST_TEST(!Term_->acceptsTasks(Restarted));
  framework::fibers::sleepFor(LateHoldWait);
  BOOST_TEST(Term_->acceptsTasks(Restarted));
}

// Guards against a restarted worker that is left unused though no hold can drop
// its ends: all that acknowledged any were answered, or did not leave.
BOOST_AUTO_TEST_CASE(RestartedWorkerTakesTasksIfAllHoldsWereAnswered) {
  Row_->EndsStored_ = 1;
  const TimePoint SentAt = Term_->now();
  Row_->recordHold(Row_->nextPoll(LateHoldWait), SentAt);
  Row_->recordHoldAnswered(SentAt);
  Term_->markIncarnationEnded(*Row_, "restarted");
  BOOST_TEST(Term_->acceptsTasks(nextIncarnation()));
}

// Guards against a finished task that is started again: a late start that was
// meant for the former incarnation of a worker is executed by the next one. It
// refuses what has a lower token than its first hold.
BOOST_AUTO_TEST_CASE(RestartedWorkerIsHeldUnderAHigherToken) {
  const auto Held = [&](WorkerRow Known) {
    const auto Row = std::make_shared<WorkerRow>(Known);
    Row->MayRunStaleStarts_ = true;
    Term_->Workers_[Row->Record_.Incarnation_] = Row;
    Sessions_->prepareStart(Row->Record_.Incarnation_);
    while (Client_.Holds_.empty())
      framework::fibers::sleepFor(std::chrono::milliseconds(1));
    Row->Ended_ = true;
    return std::exchange(Client_.Holds_, {}).front().Token_;
  };
  Client_.HoldTime_ = std::chrono::milliseconds(1);
  WorkerRow First;
  First.Record_.Incarnation_ = {WorkerId("w9"), 1};
  const jobs::FencingToken Former = Held(First);
  BOOST_TEST((Former >= Leadership_.token()));
  ++First.Record_.Incarnation_.StartedMs_;
  const jobs::FencingToken Next = Held(First);
  BOOST_TEST((Next > Former));
  // A successor takes the next revision of the store.
  BOOST_TEST((Leadership_.rewriteHead().ok()));
  BOOST_TEST((Leadership_.token() > Next));
}

// Guards against a finished task that runs again: the late first attempt of its
// start reaches a worker that has started anew, and that nobody has called.
BOOST_AUTO_TEST_CASE(RestartedWorkerIsCalledThoughNothingRanThere) {
  Client_.HoldTime_ = std::chrono::milliseconds(1);
  Client_.Report_.Result_ = OrderResult::Done;
  Term_->History_.assignToken(Row_->Record_.Incarnation_.Id_,
                              Leadership_.token());
  Term_->Table_.apply(
      jobs::RunEnded{Run, jobs::EndKind::Done, jobs::Checkpoint(), 0},
      Term_->now());
  const auto Restarted = std::make_shared<WorkerRow>(nextIncarnation());
  Term_->Workers_[Restarted->Record_.Incarnation_] = Restarted;
  Sessions_->add(Restarted);
  BOOST_TEST(Term_->gauges().WorkersUnfenced_ == 1u);
  for (int Waits = 0; Waits < 2000 && !Restarted->Synced_; ++Waits)
    framework::fibers::sleepFor(std::chrono::milliseconds(1));
  BOOST_REQUIRE(Restarted->Synced_);
  BOOST_TEST((Client_.Holds_.front().Token_ > Leadership_.token()));
  BOOST_TEST(Term_->gauges().WorkersUnfenced_ == 0u);
}

// Guards against a finished task that runs again on a restarted worker that is
// not listed yet, as while the store is away: its reply tells of the restart.
BOOST_AUTO_TEST_CASE(ProcessThatRepliesInPlaceOfAWorkerIsCalled) {
  Client_.HoldTime_ = std::chrono::milliseconds(1);
  Client_.Report_.Result_ = OrderResult::OtherIncarnation;
  Row_->HasSession_ = false;
  Row_->EndsStored_ = 1;
  Sessions_->add(Row_);
  for (int Waits = 0; Waits < 2000 && Row_->HasSession_; ++Waits)
    framework::fibers::sleepFor(std::chrono::milliseconds(1));
  BOOST_REQUIRE(Client_.Holds_.size() >= 2u);
  BOOST_TEST((Client_.Holds_[1].Token_ > Client_.Holds_[0].Token_));
  BOOST_TEST(Client_.Holds_[1].AcknowledgedEnds_ == 0u);
}

// Guards against reports that are asked for without a pause while ends that
// the worker returns at once are not stored.
BOOST_AUTO_TEST_CASE(UnstoredEndsAreAskedForAtIntervals) {
  Client_.RepeatsReport_ = true;
  reportUnknownEnds(MaxEndsPerReport);
  framework::fibers::sleepFor(std::chrono::milliseconds(1200));
  BOOST_TEST(Client_.Holds_.size() >= 2u);
  BOOST_TEST(Client_.Holds_.size() <= 6u);
}

// Guards against a task that starts in a zone evacuated after the start was
// planned, or that an earlier leader planned there.
BOOST_AUTO_TEST_CASE(IntentIsNotSentToAnEvacuatedZone) {
  Row_->Record_.Zone_ = Zone;
  Evacuations_.add(Zone);
  startAndWait();
  BOOST_TEST(Client_.Starts_ == 0u);
  BOOST_TEST(!Term_->Table_.find(Run));
}

// Guards against the same by a repeated start, whose first attempt may still be
// carried out.
BOOST_AUTO_TEST_CASE(StartIsNotRepeatedInAnEvacuatedZone) {
  Row_->Record_.Zone_ = Zone;
  Client_.Unanswered_ = 1;
  Client_.AfterStart_ = [this] { Evacuations_.add(Zone); };
  startAndWait();
  BOOST_TEST(Client_.Starts_ == 1u);
  BOOST_TEST(Term_->Table_.find(Run) != nullptr);
}

// Guards against sessions and connections that grow with the cell and not with
// its work.
BOOST_AUTO_TEST_CASE(UnusedWorkersHaveNoSession) {
  const auto Unused = std::make_shared<WorkerRow>();
  Unused->Record_.Incarnation_ = {WorkerId("w9"), 1};
  Term_->Workers_[Unused->Record_.Incarnation_] = Unused;
  Sessions_->add(Unused);
  Row_->HasSession_ = false;
  Sessions_->add(Row_);
  BOOST_TEST(!Unused->HasSession_);
  BOOST_TEST(Row_->HasSession_);
}

// Guards against a start before the worker's clock and runs are known.
BOOST_AUTO_TEST_CASE(StartFollowsTheFirstReplyOfItsWorker) {
  Client_.Report_.Result_ = OrderResult::Done;
  bool SyncedBefore = false;
  Client_.AfterStart_ = [&] { SyncedBefore = Row_->Synced_; };
  startBeforeFirstReply();
  BOOST_TEST(Client_.Starts_ == 1u);
  BOOST_TEST(SyncedBefore);
}

// Guards against a task that waits for a worker that is gone.
BOOST_AUTO_TEST_CASE(IntentForAWorkerWithoutReplyIsReleased) {
  startBeforeFirstReply();
  BOOST_TEST(Client_.Starts_ == 0u);
  BOOST_TEST(!Term_->Table_.find(Run));
  BOOST_TEST(!Term_->acceptsTasks(*Row_));
}

// Guards against a late leader whose starts all end unsent: it reads the first
// replies of their workers only after it has given these up.
BOOST_AUTO_TEST_CASE(LateLeaderWaitsLongerForFirstReplies) {
  Client_.Report_.Result_ = OrderResult::Done;
  Client_.HoldTime_ = FirstReplyWait + std::chrono::milliseconds(100);
  for (int Tick = 0; Tick < 20; ++Tick)
    Term_->Load_.record(4 * LeaderLoad::NormalDelay, Term_->now());
  startBeforeFirstReply();
  BOOST_TEST(Client_.Starts_ == 1u);
}

// Guards against a task that waits for a silent worker although the leader is
// in time.
BOOST_AUTO_TEST_CASE(LeaderInTimeGivesUpLateFirstReplies) {
  Client_.HoldTime_ = 2 * FirstReplyWait;
  const TimePoint Since = Term_->now();
  startBeforeFirstReply();
  BOOST_TEST((Term_->now() - Since < Client_.HoldTime_));
  BOOST_TEST(Client_.Starts_ == 0u);
}

// Guards against tasks for a worker that may run those of an earlier leader.
BOOST_AUTO_TEST_CASE(WorkerInUseAcceptsTasksOnceItHasReplied) {
  Row_->Synced_ = false;
  BOOST_TEST(!Term_->acceptsTasks(*Row_));
  Row_->Synced_ = true;
  BOOST_TEST(Term_->acceptsTasks(*Row_));
}

// Guards against connections to workers that a former leader keeps.
BOOST_AUTO_TEST_CASE(GoneWorkersAreRemoved) {
  const auto Unlisted = std::make_shared<WorkerRow>();
  Unlisted->Record_.Incarnation_ = {WorkerId("w9"), 1};
  Unlisted->Listed_ = false;
  Term_->Workers_[Unlisted->Record_.Incarnation_] = Unlisted;
  Sessions_->maintain();
  BOOST_TEST(Term_->Workers_.size() == 1u);
}

// Guards against a second run of a task: the repeat reaches a worker that has
// restarted and so forgotten the token of the successor.
BOOST_AUTO_TEST_CASE(StartIsNotRepeatedOnceASuccessorMayLead) {
  Client_.Unanswered_ = 1;
  Client_.AfterStart_ = [this] { Leadership_.setOffered(true); };
  startAndWait();
  BOOST_TEST(Client_.Starts_ == 1u);
  BOOST_TEST(Term_->Table_.find(Run) != nullptr);
}

// Guards against starts by a leader that no evacuation can have reached.
BOOST_AUTO_TEST_CASE(IntentIsNotSentWhileEvacuationsMayBeMissing) {
  Evacuations_.setBound(std::chrono::seconds(5));
  startAndWait();
  BOOST_TEST(Client_.Starts_ == 0u);
  BOOST_TEST(!Term_->Table_.find(Run));
}

// Guards against a cell that plans nothing while many workers are cut off: the
// repeated starts to them would use up what may be on its way.
BOOST_AUTO_TEST_CASE(RepeatedStartsDoNotCountAsUnanswered) {
  Client_.Unanswered_ = 2;
  std::vector<std::size_t> Counted;
  Client_.AfterStart_ = [&] {
    Counted.push_back(Sessions_->unansweredStarts());
  };
  startAndWait();
  const std::vector<std::size_t> Expected{1, 0, 0};
  BOOST_TEST(Counted == Expected, boost::test_tools::per_element());
}

// Guards against a copy that runs on after its task is done, in a job that
// continues.
BOOST_AUTO_TEST_CASE(OtherRunOfADoneTaskIsStoppedAtOnce) {
  const jobs::RunIntended Copy = stageCopy();
  reportFirstDone(Copy.Run_.Task_);
  BOOST_REQUIRE(Client_.Stops_.size() == 1u);
  BOOST_TEST((Client_.Stops_[0] == Copy.Run_));
  BOOST_TEST(counter("speculative_runs_won_total") == 0u);
}

// Guards against a copy that is started after its task is done, because storing
// its intent took longer than the other run.
BOOST_AUTO_TEST_CASE(CopyOfADoneTaskIsNotSent) {
  const jobs::RunIntended Copy = stageCopy();
  Term_->Table_.apply(
      jobs::RunEnded{
          {Copy.Run_.Task_, jobs::RunNumber(1)}, jobs::EndKind::Done, {}, 0},
      Term_->now());
  Sessions_->start(Copy);
  framework::fibers::sleepFor(std::chrono::milliseconds(5));
  BOOST_TEST(Client_.Starts_ == 0u);
  BOOST_TEST(!Term_->Table_.find(Copy.Run_));
}

// Guards against a gang whose members start from different checkpoints, which
// its workers do not accept.
BOOST_AUTO_TEST_CASE(GangMemberStartsFromTheCheckpointOfItsGang) {
  const jobs::JobId Gang("fedcba9876543210");
  jobs::JobAccepted Job;
  Job.Spec_.Id_ = Gang;
  Job.Spec_.Steps_.resize(1);
  Job.Spec_.Steps_[0].Count_ = 2;
  Job.Spec_.Steps_[0].Gang_ = true;
  Term_->Commits_.stage(Job);
  Term_->Table_.findTask({Gang, 0, 0, 1})->Saved_ = jobs::Checkpoint("a");
  Intent_.Run_ = {{Gang, 0, 0, 0}, jobs::RunNumber(1)};
  Sessions_->runStaged(Intent_.Run_);
  Term_->Commits_.stage(Intent_);
  startAndWait();
  BOOST_REQUIRE(Client_.ResumedFrom_.size() == 1u);
  BOOST_TEST(Client_.ResumedFrom_[0].str() == "a");
}

// Guards against attempts that are all spent within milliseconds on a worker
// that resets them.
BOOST_AUTO_TEST_CASE(RepeatedStartsAreSpacedApart) {
  Client_.Unanswered_ = NeverAnswers;
  startAndWait();
  BOOST_REQUIRE(Client_.StartedAt_.size() > 1u);
  const Duration Spent = Client_.StartedAt_.back() - Client_.StartedAt_.front();
  BOOST_TEST((Spent > LongestOutageOfConnections));
}

// Guards against tasks that are planned again and again on a worker that
// answers holds and resets starts.
BOOST_AUTO_TEST_CASE(WorkerThatAnswersNoStartTakesNoNewTask) {
  Client_.Unanswered_ = NeverAnswers;
  Sessions_->start(Intent_);
  // The worker is tried again after a pause, which may end before a check that
  // comes late.
  bool TakesTasks = true;
  while (Sessions_.use_count() > 1) {
    TakesTasks = TakesTasks && Term_->acceptsTasks(*Row_);
    framework::fibers::sleepFor(std::chrono::milliseconds(1));
  }
  BOOST_TEST(!TakesTasks);
  BOOST_TEST(Row_->Orders_.onTrial());
  BOOST_TEST(Row_->Orders_.avoided(Client_.StartedAt_.back()));
}

// Guards against a start that is sent when it is no longer allowed, as it has
// waited for a connection since that was checked.
BOOST_AUTO_TEST_CASE(StartThatBecomesForbiddenWhileItWaitsIsNotSent) {
  Row_->Record_.Zone_ = Zone;
  Client_.WhileWaiting_ = [this] { Evacuations_.add(Zone); };
  startAndWait();
  BOOST_TEST(Client_.Starts_ == 0u);
  BOOST_TEST(!Term_->Table_.find(Run));
}

// Guards against a task that is never started again because its start never
// found a connection.
BOOST_AUTO_TEST_CASE(StartWithoutAConnectionEndsItsRun) {
  Client_.Connected_ = false;
  startAndWait();
  BOOST_TEST(Client_.Starts_ == 0u);
  BOOST_TEST(!Term_->Table_.find(Run));
}

// Guards against a lease that is reckoned too short: a repeated start reaches a
// restarted worker, whose lease begins with it.
BOOST_AUTO_TEST_CASE(RepeatedStartExtendsTheLeaseThatIsReckoned) {
  Client_.Unanswered_ = 1;
  Row_->updateClock(1000, Term_->now());
  TimePoint AfterFirst{};
  Client_.AfterStart_ = [&] {
    if (AfterFirst == TimePoint())
      AfterFirst = Row_->LeaseExpiry_;
  };
  startAndWait();
  BOOST_TEST(Client_.Starts_ == 2u);
  BOOST_TEST((Row_->LeaseExpiry_ > AfterFirst));
}

// Guards against a cancelled task that runs on at a worker that resets stops.
BOOST_AUTO_TEST_CASE(StopsGoOnUntilOneIsAnswered) {
  startAndWait();
  Client_.UnansweredStops_ = 4;
  Sessions_->stop(Run);
  for (int Waits = 0; Waits < 3000 && Client_.Stops_.size() < 5; ++Waits)
    framework::fibers::sleepFor(std::chrono::milliseconds(1));
  framework::fibers::sleepFor(std::chrono::milliseconds(500));
  BOOST_TEST(Client_.Stops_.size() == 5u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
