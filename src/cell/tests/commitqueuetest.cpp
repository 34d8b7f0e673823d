#include "cell/term.h"
#include "journal/tests/fakestore.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using jobs::EndKind;
using jobs::JobState;
using journal::FakeStore;

const journal::CellKeys Keys("cell/");
const jobs::JobId Job("0123456789abcdef");
const jobs::TaskName Task{Job, 0, 0, 0};

/// A holder with a job of one task.
struct Fixture {
  Fixture() {
    BOOST_REQUIRE(*Leadership_.campaign());
    Term_.emplace(Store_, Keys, Leadership_, Metrics_, CellBounds());
    jobs::JobAccepted Item;
    Item.Spec_.Id_ = Job;
    Item.Spec_.Steps_.resize(1);
    Term_->Commits_.stage(Item);
  }

  void limitTo(std::uint32_t Attempts) {
    Term_->Table_.setAttemptLimit(
        [Attempts](const QueueName &) { return Attempts; });
  }

  /// Runs the task once.
  void runTo(EndKind Kind) {
    const jobs::RunName Run{Task, jobs::RunNumber(++LastRun_)};
    Term_->Commits_.stage(jobs::RunIntended{Run, {WorkerId("w"), 1}});
    Term_->Commits_.stage(jobs::RunEnded{Run, Kind, jobs::Checkpoint()});
  }

  JobState state() const { return Term_->Table_.find(Job)->State_; }

  /// The job's state for a holder that allows \p Attempts when it takes over.
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
  journal::Leadership<FakeStore> Leadership_{Store_, Keys, journal::Leader()};
  std::optional<Term<FakeStore>> Term_;
  std::uint64_t LastRun_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CommitQueueTest, Fixture)

// A caller hears that its job is done, and after a takeover that it has failed.
// The replay held two failed ends against the bound of the configuration at
// that time, which had been lowered since; the journal did not tell by which
// bound they counted. Proof: the same events under the former bound agree.
BOOST_AUTO_TEST_CASE(DoneJobStaysDoneUnderALowerLimit) {
  limitTo(3);
  runTo(EndKind::Failed);
  runTo(EndKind::Failed);
  runTo(EndKind::Done);
  BOOST_TEST((state() == JobState::Done));
  BOOST_TEST((stateAfterReplay(2) == JobState::Done));
}

// The other way round: a job that was told as failed runs again, since the
// bound has been raised, or is not known yet, when the journal is read.
BOOST_AUTO_TEST_CASE(FailedJobStaysFailedUnderAHigherLimit) {
  limitTo(2);
  runTo(EndKind::Failed);
  runTo(EndKind::Failed);
  BOOST_TEST((state() == JobState::Failed));
  BOOST_TEST((stateAfterReplay(3) == JobState::Failed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
