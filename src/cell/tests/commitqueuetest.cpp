#include "cell/term.h"
#include "journal/tests/fakestore.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

namespace laburnumspread::cell {

namespace {

using jobs::EndKind;
using jobs::JobState;
using journal::FakeStore;

const journal::CellKeys Keys("cell/");
const jobs::JobId Job("0123456789abcdef");
const jobs::TaskName Task{Job, 0, 0, 0};

jobs::JobAccepted largeJob(const jobs::JobId &Id,
                           std::size_t PayloadBytes = 150'000) {
  jobs::JobAccepted Item;
  Item.Spec_.Id_ = Id;
  Item.Spec_.Payload_ = std::string(PayloadBytes, 'x');
  Item.Spec_.Steps_.resize(1);
  return Item;
}

/// Commits all that is staged.
void runUntilStored(CommitQueue<FakeStore> &Commits) {
  Commits.whenStored([&](CommitOutcome) { Commits.stop(); });
  Commits.run([] {});
}

jobs::CellTable load(FakeStore &Store,
                     journal::Leadership<FakeStore> &Leadership) {
  jobs::CellTable Table;
  journal::Journal<FakeStore> Log(Store, Keys, Leadership);
  BOOST_REQUIRE(Log.load(Table, TimePoint()).ok());
  return Table;
}

/// A leader of a store whose values have a limit.
struct SmallValuesPlay {
  explicit SmallValuesPlay(std::size_t MaxValueBytes)
      : Won_(*Leadership_.campaign()),
        Term_(Store_, Keys, Leadership_, Metrics_, boundsOf(MaxValueBytes),
              Evacuations_) {
    Store_.MaxValueBytes_ = MaxValueBytes;
    Store_.OnRefusedForGood_ = [this] { Leadership_.markLost(); };
  }

  static CellBounds boundsOf(std::size_t MaxValueBytes) {
    CellBounds Bounds;
    Bounds.MaxValueBytes_ = MaxValueBytes;
    return Bounds;
  }

  /// Returns the jobs whose acceptance the store holds.
  const std::set<jobs::JobId> &readStored() {
    for (; Store_.has(Keys.log(NextEntry_)); ++NextEntry_) {
      const auto Read =
          Store_.range(Keys.log(NextEntry_), fleet::Revision(0), {});
      const auto Group = jobs::decodeGroup(Read->Items_.front().Value_);
      for (const jobs::Event &Item : Group->Events_)
        if (const auto *Accepted = std::get_if<jobs::JobAccepted>(&Item))
          Stored_.insert(Accepted->Spec_.Id_);
    }
    return Stored_;
  }

  FakeStore Store_;
  framework::metrics::Registry Metrics_;
  ZoneEvacuations Evacuations_;
  journal::Leadership<FakeStore> Leadership_{Store_, Keys, journal::Leader()};
  bool Won_;
  Term<FakeStore> Term_;
  std::uint64_t NextEntry_ = 1;
  std::set<jobs::JobId> Stored_;
};

/// A leader with a job of one task.
struct Fixture {
  Fixture() {
    BOOST_REQUIRE(*Leadership_.campaign());
    Term_.emplace(Store_, Keys, Leadership_, Metrics_, CellBounds(),
                  Evacuations_);
    jobs::JobAccepted Item;
    Item.Spec_.Id_ = Job;
    Item.Spec_.Steps_.resize(1);
    Term_->Commits_.stage(Item);
  }

  void limitTo(std::uint32_t Attempts) {
    Term_->Table_.setAttemptLimit(
        [Attempts](const QueueName &) { return Attempts; });
  }

  /// Runs the task once, with the given end.
  void runTo(EndKind Kind) {
    const jobs::RunName Run{Task, jobs::RunNumber(++LastRun_)};
    Term_->Commits_.stage(jobs::RunIntended{Run, {WorkerId("w"), 1}});
    Term_->Commits_.stage(jobs::RunEnded{Run, Kind, jobs::Checkpoint()});
  }

  void commitStaged() { runUntilStored(Term_->Commits_); }

  /// Whether the store holds the job.
  bool stored(const jobs::JobId &Id) {
    return load(Store_, Leadership_).find(Id) != nullptr;
  }

  JobState state() const { return Term_->Table_.find(Job)->State_; }

  /// Returns the job's state for a leader that allows \p Attempts when it takes
  /// over.
  JobState stateAfterReplay(std::uint32_t Attempts) {
    Term_->Commits_.whenStored([&](CommitOutcome) { Term_->Commits_.stop(); });
    Term_->Commits_.run([] {});
    jobs::CellTable Table;
    Table.setAttemptLimit([Attempts](const QueueName &) { return Attempts; });
    journal::Journal<FakeStore> Log(Store_, Keys, Leadership_);
    BOOST_REQUIRE(Log.load(Table, TimePoint()).ok());
    return Table.find(Job)->State_;
  }

  FakeStore Store_;
  framework::metrics::Registry Metrics_;
  ZoneEvacuations Evacuations_;
  journal::Leadership<FakeStore> Leadership_{Store_, Keys, journal::Leader()};
  std::optional<Term<FakeStore>> Term_;
  std::uint64_t LastRun_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CommitQueueTest, Fixture)

// Guards against a job that is reported as done, and as failed after a
// takeover. The replay compared two failed runs with the attempt limit of the
// current configuration, which had been lowered since; the journal did not
// record the limit that applied. Under the earlier limit, the same events gave
// the same state.
BOOST_AUTO_TEST_CASE(DoneJobStaysDoneUnderALowerLimit) {
  limitTo(3);
  runTo(EndKind::Failed);
  runTo(EndKind::Failed);
  runTo(EndKind::Done);
  BOOST_TEST((state() == JobState::Done));
  BOOST_TEST((stateAfterReplay(2) == JobState::Done));
}

// Guards against the reverse: a job reported as failed runs again because the
// attempt limit has been raised, or is not known yet, when the journal is
// replayed.
BOOST_AUTO_TEST_CASE(FailedJobStaysFailedUnderAHigherLimit) {
  limitTo(2);
  runTo(EndKind::Failed);
  runTo(EndKind::Failed);
  BOOST_TEST((state() == JobState::Failed));
  BOOST_TEST((stateAfterReplay(3) == JobState::Failed));
}

// Guards against a caller who waits for its whole timeout: an event that was
// staged when the term had just ended was never written and never answered.
BOOST_AUTO_TEST_CASE(EventStagedAfterTheEndIsAnsweredAsUnknown) {
  Term_->Commits_.stop();
  Term_->Commits_.run([] {});
  std::vector<CommitOutcome> Heard;
  const auto Listen = [&](CommitOutcome Outcome) { Heard.push_back(Outcome); };
  Term_->Commits_.stage(jobs::JobCancelled{Job}, Listen);
  Term_->Commits_.whenStored(Listen);
  BOOST_REQUIRE(Heard.size() == 2u);
  BOOST_TEST((Heard[0] == CommitOutcome::Unknown));
  BOOST_TEST((Heard[1] == CommitOutcome::Unknown));
}

// Guards against a successor that knows an end and not the start that followed
// it during an outage: it would start the task again. The intent stands before
// the end in the group, and the end counts as unsent only until a group or a
// snapshot that holds it has been sent.
BOOST_AUTO_TEST_CASE(IntentStandsBeforeTheEndThatItFollows) {
  const jobs::RunName Ended{Task, jobs::RunNumber(1)};
  Term_->Commits_.stage(jobs::RunIntended{Ended, {WorkerId("w"), 1}});
  Term_->Commits_.stage(jobs::RunEnded{Ended, EndKind::Done, {}, 0});
  BOOST_TEST(Term_->Commits_.unsent().Ends_.size() == 1u);
  const jobs::RunName Next{{Job, 0, 1, 0}, jobs::RunNumber(1)};
  Term_->Commits_.stageSentStart({Next, {WorkerId("w"), 1}});
  BOOST_TEST(Term_->Commits_.unsent().Starts_.size() == 1u);
  stateAfterReplay(3);
  BOOST_TEST(Term_->Commits_.unsent().Ends_.empty());
  const auto Log = Store_.range(Keys.logPrefix(), fleet::Revision(0),
                                framework::clock::wallDeadline(Duration(1)));
  const auto Group = jobs::decodeGroup(Log->Items_.front().Value_);
  const auto &Events = Group->Events_;
  const auto *First = std::get_if<jobs::RunIntended>(&Events.front());
  BOOST_REQUIRE(First);
  BOOST_TEST((First->Run_ == Next));
  BOOST_TEST(std::holds_alternative<jobs::RunEnded>(Events.back()));
}

// Guards against a leader that stores nothing any more, since what was staged
// while the store was slow is larger than a value may be.
BOOST_AUTO_TEST_CASE(GroupLargerThanAValueIsStored) {
  Store_.OnRefusedForGood_ = [this] { Leadership_.markLost(); };
  std::vector<CommitOutcome> Heard;
  for (int I = 0; I < 12; ++I) {
    const jobs::JobId Id("job" + std::to_string(I));
    Term_->Commits_.stage(largeJob(Id), [&, Id](CommitOutcome Outcome) {
      Heard.push_back(Outcome);
      BOOST_TEST((Outcome != CommitOutcome::Stored || stored(Id)));
    });
  }
  commitStaged();
  BOOST_TEST(std::ranges::count(Heard, CommitOutcome::Stored) == 12);
  BOOST_TEST(Store_.RefusedForGood_ == 0u);
}

// Guards against a caller who is told that its job is stored, or that it is
// not known, when a group is stored in part.
BOOST_AUTO_TEST_CASE(CallbacksOfAPartlyStoredGroupTellWhatIsStored) {
  std::map<std::string, CommitOutcome> Heard;
  for (int I = 0; I < 12; ++I) {
    const jobs::JobId Id("job" + std::to_string(I));
    Term_->Commits_.stage(largeJob(Id), [&Heard, Id](CommitOutcome Outcome) {
      Heard[Id.str()] = Outcome;
    });
  }
  Store_.BeforeAnswer_ = [this] {
    Store_.Next_ = FakeStore::Fault::Lost;
    Store_.BeforeAnswer_ = [this] { Leadership_.markLost(); };
  };
  Term_->Commits_.run([] {});
  BOOST_TEST(Heard.size() == 12u);
  BOOST_TEST((Heard["job0"] == CommitOutcome::Stored));
  BOOST_TEST((Heard["job11"] == CommitOutcome::Unknown));
  for (const auto &[Id, Outcome] : Heard)
    BOOST_TEST((Outcome == CommitOutcome::Stored) == stored(jobs::JobId(Id)));
}

// Guards against a callback that comes too early, as a start was put before its
// event in the group.
BOOST_AUTO_TEST_CASE(CallbackWaitsForItsEventBehindAnInsertedStart) {
  std::vector<CommitOutcome> Heard;
  const jobs::JobId Last("last");
  for (int I = 0; I < 6; ++I)
    Term_->Commits_.stage(largeJob(jobs::JobId("job" + std::to_string(I))));
  Term_->Commits_.stage(largeJob(Last), [&](CommitOutcome Outcome) {
    Heard.push_back(Outcome);
    BOOST_TEST(stored(Last));
  });
  Term_->Commits_.stageSentStart(
      {{Task, jobs::RunNumber(1)}, {WorkerId("w"), 1}});
  commitStaged();
  BOOST_TEST(Heard.size() == 1u);
}

// Guards against a leader that keeps its lease and stores nothing any more.
BOOST_AUTO_TEST_CASE(WriteThatIsRefusedForGoodEndsTheTermAndIsCounted) {
  Store_.MaxValueBytes_ = 10;
  Store_.OnRefusedForGood_ = [this] {
    if (Store_.RefusedForGood_ == 3)
      Leadership_.markLost();
  };
  std::vector<CommitOutcome> Heard;
  Term_->Commits_.whenStored(
      [&](CommitOutcome Outcome) { Heard.push_back(Outcome); });
  Term_->Commits_.run([] {});
  BOOST_TEST((Heard == std::vector{CommitOutcome::Unknown}));
  BOOST_TEST(Store_.RefusedForGood_ == 1u);
  BOOST_TEST(Metrics_.counter("journal_writes_refused_total").value() == 1u);
}

// Guards against values above the limit of the store, for any sequence of
// events and any limit, and against a callback that precedes its event.
BOOST_AUTO_TEST_CASE(AnyEventsAreStoredWithinTheLimitAndReadBack) {
  BOOST_TEST(rc::check("any events, any limit", [] {
    SmallValuesPlay Play(*rc::gen::inRange<std::size_t>(4096, 16'384));
    const auto Sizes = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(1, 3900));
    std::size_t Heard = 0;
    for (std::size_t I = 0; I < Sizes.size(); ++I) {
      const jobs::JobId Id("job" + std::to_string(I));
      Play.Term_.Commits_.stage(largeJob(Id, Sizes[I]),
                                [&, Id](CommitOutcome Outcome) {
                                  ++Heard;
                                  RC_ASSERT(Outcome == CommitOutcome::Stored);
                                  RC_ASSERT(Play.readStored().contains(Id));
                                });
      Play.Term_.Commits_.stage(jobs::RunIntended{
          {{Id, 0, 0, 0}, jobs::RunNumber(1)}, {WorkerId("w"), 1}});
    }
    runUntilStored(Play.Term_.Commits_);
    RC_ASSERT(Heard == Sizes.size());
    RC_ASSERT(Play.Store_.RefusedForGood_ == 0u);
    const jobs::CellTable Table = load(Play.Store_, Play.Leadership_);
    RC_ASSERT(Table.jobs().size() == Sizes.size());
    for (const auto &[Id, Job] : Table.jobs())
      RC_ASSERT(Job.LiveRuns_ == 1u);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
