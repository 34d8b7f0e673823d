#include "journal/journal.h"
#include "journal/tests/fakestore.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace laburnumspread::journal {

namespace {

using namespace std::chrono_literals;
using jobs::CellTable;
using jobs::Event;
using jobs::JobId;

const CellKeys Keys("cell/");

Leader leader(const char *Name, std::uint64_t Incarnation = 1) {
  Leader Result;
  Result.Entry_ = fleet::EntryName(Name);
  Result.Incarnation_ = fleet::Incarnation(Incarnation);
  return Result;
}

Event accepted(const std::string &Id) {
  jobs::JobAccepted Item;
  Item.Spec_.Id_ = JobId(Id);
  Item.Spec_.Steps_.resize(1);
  return Item;
}

/// One entry with its leadership and journal.
struct Entry {
  Entry(FakeStore &Store, const char *Name, std::uint64_t Incarnation = 1)
      : Store_(Store), Lead_(Store, Keys, leader(Name, Incarnation)) {
    Log_.emplace(Store_, Keys, Lead_);
  }

  /// Campaigns; each leadership has a journal of its own.
  absl::StatusOr<bool> campaign() {
    const auto Won = Lead_.campaign();
    Log_.emplace(Store_, Keys, Lead_);
    return Won;
  }

  FakeStore &Store_;
  Leadership<FakeStore> Lead_;
  std::optional<Journal<FakeStore>> Log_;
};

struct Fixture {
  CellTable loadBy(Entry &Reader) {
    CellTable Table;
    BOOST_REQUIRE(Reader.Log_->load(Table, TimePoint()).ok());
    return Table;
  }

  /// The head as a watch shows it.
  Leader head() {
    const auto Read = Store_.range(Keys.head(), fleet::Revision(0), {});
    BOOST_REQUIRE(Read->Items_.size() == 1u);
    const store::KeyValue &Item = Read->Items_.front();
    return *decodeLeader(Item.Value_, Item.ModRevision_);
  }

  FakeStore Store_;
  Entry First_{Store_, "first"};
  Entry Second_{Store_, "second"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JournalTest, Fixture)

BOOST_AUTO_TEST_CASE(OneEntryLeadsAtATime) {
  BOOST_TEST(*First_.campaign());
  BOOST_TEST(!*Second_.campaign());
  First_.Lead_.resign();
  BOOST_TEST(*Second_.campaign());
}

BOOST_AUTO_TEST_CASE(TokensRiseFromHolderToHolder) {
  BOOST_REQUIRE(*First_.campaign());
  const auto Before = First_.Lead_.token();
  First_.Lead_.resign();
  BOOST_REQUIRE(*Second_.campaign());
  BOOST_TEST((Second_.Lead_.token() > Before));
}

BOOST_AUTO_TEST_CASE(CampaignWhoseAnswerWasLostIsFoundOut) {
  Store_.Next_ = FakeStore::Fault::AnswerLost;
  BOOST_TEST(*First_.campaign());
  BOOST_TEST(First_.Lead_.held());
}

BOOST_AUTO_TEST_CASE(RestartedEntryReplacesItsFormerProcess) {
  BOOST_REQUIRE(*First_.campaign());
  Entry Again(Store_, "first", 2);
  BOOST_TEST(*Again.Lead_.takeOverFrom(First_.Lead_.self()));
  BOOST_TEST(!First_.Log_->append({accepted("a")}).ok());
}

// A caller asks a cut-off leader for a job that its successor has taken, and
// is told that there is no such job.
BOOST_AUTO_TEST_CASE(HolderWithoutTheStoreStopsAnsweringBeforeItsLeaseEnds) {
  BOOST_REQUIRE(*First_.campaign());
  const TimePoint Renewed = First_.Lead_.confirmedAt();
  BOOST_TEST(First_.Lead_.leaseValidAt(Renewed + 800ms));
  BOOST_TEST(!First_.Lead_.leaseValidAt(Renewed + 1s));
  BOOST_TEST(First_.Lead_.held());
}

BOOST_AUTO_TEST_CASE(SuccessorReadsWhatWasAcknowledged) {
  BOOST_REQUIRE(*First_.campaign());
  BOOST_REQUIRE(First_.Log_->append({accepted("a")}).ok());
  BOOST_REQUIRE(First_.Log_->append({accepted("b")}).ok());
  First_.Lead_.resign();
  BOOST_REQUIRE(*Second_.campaign());
  const CellTable Table = loadBy(Second_);
  BOOST_TEST(Table.find(JobId("a")));
  BOOST_TEST(Table.find(JobId("b")));
}

BOOST_AUTO_TEST_CASE(EntryWhoseAnswerWasLostIsWrittenOnce) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.Next_ = FakeStore::Fault::AnswerLost;
  BOOST_TEST(First_.Log_->append({accepted("a")}).ok());
  BOOST_TEST(First_.Log_->append({accepted("b")}).ok());
  BOOST_TEST(Store_.has(Keys.log(1)));
  BOOST_TEST(Store_.has(Keys.log(2)));
  BOOST_TEST(!Store_.has(Keys.log(3)));
}

// A caller was told that the outcome is unknown and its job must not appear
// after a successor has said that there is none: the write of the former
// leader reaches the store only after the takeover.
BOOST_AUTO_TEST_CASE(LateWriteOfAFormerHolderDoesNothing) {
  BOOST_REQUIRE(*First_.campaign());
  store::Transaction Late;
  Late.Compares_ = {
      {Keys.head(), fleet::Revision(First_.Lead_.token().value())},
      {Keys.log(1), fleet::Revision(0)}};
  Late.Puts_ = {{Keys.log(1), jobs::encodeGroup({accepted("a")}), 0}};
  Store_.Next_ = FakeStore::Fault::Late;
  BOOST_TEST(!Store_.commit(Late, {}).ok());
  Store_.endLease(1);
  BOOST_REQUIRE(*Second_.campaign());
  BOOST_TEST(!loadBy(Second_).find(JobId("a")));
  Store_.carryOutDelayed();
  BOOST_TEST(!Store_.has(Keys.log(1)));
}

// A caller is told that its job is stored, and the cell does not know the job.
// The process loses its leadership while an entry is on its way, and wins the
// next one. The former term sent its entry again under the new token: it was
// stored behind the back of the new term, whose own first entry then failed.
// Proof: the entry is in the store, and the new term's table lacks its job.
BOOST_AUTO_TEST_CASE(EntryOfAFormerTermIsNotSentUnderTheNextOne) {
  BOOST_REQUIRE(*First_.campaign());
  std::optional<Journal<FakeStore>> Next;
  CellTable Table;
  Store_.Next_ = FakeStore::Fault::Lost;
  Store_.BeforeAnswer_ = [&] {
    Store_.endLease(1);
    First_.Lead_.markLost();
    BOOST_TEST(*First_.Lead_.campaign());
    Next.emplace(Store_, Keys, First_.Lead_);
    BOOST_TEST(Next->load(Table, TimePoint()).ok());
  };
  BOOST_TEST(absl::IsAborted(First_.Log_->append({accepted("a")})));
  BOOST_REQUIRE(Next);
  BOOST_TEST(!Store_.has(Keys.log(1)));
  BOOST_TEST(Next->append({accepted("b")}).ok());
}

// The leader was frozen while its lease ended. On waking it must not tell a
// caller that the job is stored.
BOOST_AUTO_TEST_CASE(FormerHolderLearnsThatItMayNotWrite) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.endLease(1);
  BOOST_REQUIRE(*Second_.campaign());
  BOOST_TEST(absl::IsAborted(First_.Log_->append({accepted("a")})));
}

// Two entries answer callers for one cell: a peer means to take up an offer of
// the leadership, its write is late, and meanwhile the leader goes on.
BOOST_AUTO_TEST_CASE(HeadThatWasWrittenAnewIsNotTakenOver) {
  BOOST_REQUIRE(*First_.campaign());
  const Leader Offered = First_.Lead_.self();
  BOOST_REQUIRE(First_.Log_->append({accepted("a")}).ok());
  BOOST_TEST(*First_.Lead_.rewriteHead());
  BOOST_TEST((First_.Lead_.token() > Offered.Token_));
  BOOST_TEST(!*Second_.Lead_.takeOverFrom(Offered));
  BOOST_TEST(First_.Log_->append({accepted("b")}).ok());
}

// Callers wait for seconds: the store is slow, a leader that has written its
// head anew hears no answer, takes its own write for a peer's and steps down,
// though nobody else leads.
BOOST_AUTO_TEST_CASE(RewriteWhoseAnswerWasLostIsFoundOut) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.Next_ = FakeStore::Fault::AnswerLost;
  BOOST_TEST(!First_.Lead_.rewriteHead().ok());
  BOOST_TEST(*First_.Lead_.rewriteHead());
  BOOST_TEST(First_.Log_->append({accepted("a")}).ok());
}

// The answer to a rewrite of the head is lost, and the next entry's condition
// fails before the leader has found out: it must not step down for that, or
// callers wait for a lease to run out that nobody else wants.
BOOST_AUTO_TEST_CASE(EntryWaitsForARewriteWithoutAnswer) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.Next_ = FakeStore::Fault::AnswerLost;
  BOOST_REQUIRE(!First_.Lead_.rewriteHead().ok());
  boost::fibers::fiber Later([&] { BOOST_TEST(*First_.Lead_.rewriteHead()); });
  BOOST_TEST(First_.Log_->append({accepted("a")}).ok());
  Later.join();
  BOOST_TEST(Store_.has(Keys.log(1)));
}

// Callers wait for a lease to run out though an entry has won the cell. The
// watch shows it its own new head before the answer to its write, and it renews
// the lease to take the head up; the answer comes and a term begins. The
// renewal stays without answer, and gave up the leadership that was not its
// own.
BOOST_AUTO_TEST_CASE(RenewalWithoutAnswerLeavesAWonLeadership) {
  bool Answered = false;
  boost::fibers::fiber Watch;
  Store_.Renewal_ = [&] {
    while (!Answered)
      boost::this_fiber::yield();
    return absl::DeadlineExceededError("no answer");
  };
  Store_.BeforeAnswer_ = [&] {
    Watch = boost::fibers::fiber(boost::fibers::launch::dispatch, [&] {
      BOOST_TEST(!First_.Lead_.adoptOwnHead(head()).ok());
    });
  };
  BOOST_TEST(*First_.campaign());
  Answered = true;
  Watch.join();
  BOOST_TEST(First_.Lead_.held());
  BOOST_TEST(First_.Log_->append({accepted("a")}).ok());
}

// A cell has a leader that does nothing: it renews its lease and schedules no
// job until its process ends. The answer to a rewrite of the head was lost, and
// while the leader looked for it its term ended. What it found made it lead
// again, without a term: its own head is passed over while it leads.
BOOST_AUTO_TEST_CASE(RewriteThatIsFoundOutTooLateBeginsNothing) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.Next_ = FakeStore::Fault::AnswerLost;
  BOOST_REQUIRE(!First_.Lead_.rewriteHead().ok());
  Store_.BeforeList_ = [&] { First_.Lead_.markLost(); };
  BOOST_TEST(!First_.Lead_.rewriteHead().ok());
  BOOST_TEST(!First_.Lead_.held());
}

// Callers wait for the lease of an entry that is gone. It hands the cell over
// when it leaves, but its delete is lost; the watch shows it its own head,
// which it took up again, renewed, and left behind when its process ended.
BOOST_AUTO_TEST_CASE(LeavingEntryDoesNotTakeItsHeadUpAgain) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.Next_ = FakeStore::Fault::Lost;
  First_.Lead_.resign();
  BOOST_TEST(!*First_.Lead_.adoptOwnHead(head()));
  BOOST_TEST(!First_.Lead_.held());
  BOOST_TEST(!Store_.has(Keys.head()));
}

// The same when it leaves while its write of the head is on its way.
BOOST_AUTO_TEST_CASE(LeavingEntryGivesBackAHeadThatItWinsMeanwhile) {
  Store_.BeforeAnswer_ = [&] { First_.Lead_.resign(); };
  BOOST_TEST(!*First_.campaign());
  BOOST_TEST(!First_.Lead_.held());
  BOOST_TEST(!Store_.has(Keys.head()));
}

BOOST_AUTO_TEST_CASE(HolderThatWasReplacedCannotGoOn) {
  BOOST_REQUIRE(*First_.campaign());
  BOOST_TEST(*Second_.Lead_.takeOverFrom(First_.Lead_.self()));
  BOOST_TEST(!*First_.Lead_.rewriteHead());
  BOOST_TEST(absl::IsAborted(First_.Log_->append({accepted("a")})));
}

BOOST_AUTO_TEST_CASE(AgeCountsEachHoldersOwnTime) {
  JournalClock Age;
  const auto At = [&](std::uint64_t Token, Duration Since) {
    return Age.advance({jobs::FencingToken(Token), Since});
  };
  BOOST_TEST((At(4, 900ms) == 0ms));
  BOOST_TEST((At(4, 1500ms) == 600ms));
  BOOST_TEST((At(9, 200ms) == 200ms));
  BOOST_TEST((At(9, 150ms) == 0ms));
}

// Two holders take turns on one machine within the platform's lease time: the
// later one knows only from the journal how long ago the order left. It leaves
// after its entry is stored, so time counts from the entry after it.
BOOST_AUTO_TEST_CASE(JournalTellsHowLongAgoAMachineWasOrdered) {
  BOOST_REQUIRE(*First_.campaign());
  const jobs::MachineId Early("m1"), Last("m2");
  const auto Put = [&](std::uint64_t Index, std::vector<Event> Events,
                       Duration Since) {
    store::Transaction Txn;
    const jobs::GroupStamp Stamp{First_.Lead_.token(), Since};
    Txn.Puts_ = {{Keys.log(Index), jobs::encodeGroup(Events, Stamp), 0}};
    BOOST_REQUIRE(Store_.commit(Txn, {}).ok());
  };
  Put(1, {jobs::MachineOrdered{Early, fleet::PoolName("off")}}, 1s);
  Put(2, {accepted("a")}, 4s);
  Put(3, {jobs::MachineOrdered{Last, fleet::PoolName("on")}}, 6s);
  Store_.endLease(1);
  BOOST_REQUIRE(*Second_.campaign());
  const CellTable Loaded = loadBy(Second_);
  BOOST_REQUIRE(Loaded.machineOrders().size() == 2u);
  BOOST_TEST((Loaded.machineOrders().at(Early).SinceLastOrder_ == 2s));
  BOOST_TEST((Loaded.machineOrders().at(Last).SinceLastOrder_ == 0s));
  BOOST_TEST(Loaded.machineOrders().at(Early).HomePool_ ==
             fleet::PoolName("off"));
}

BOOST_AUTO_TEST_CASE(SnapshotKeepsOrdersOfMachines) {
  BOOST_REQUIRE(*First_.campaign());
  CellTable Table;
  const Event Item =
      jobs::MachineOrdered{jobs::MachineId("m1"), fleet::PoolName("off")};
  Table.apply(Item, TimePoint());
  BOOST_REQUIRE(First_.Log_->append({Item}).ok());
  BOOST_REQUIRE(First_.Log_->writeSnapshot(Table).ok());
  First_.Lead_.resign();
  BOOST_REQUIRE(*Second_.campaign());
  const CellTable Loaded = loadBy(Second_);
  BOOST_REQUIRE(Loaded.machineOrders().size() == 1u);
  BOOST_TEST(Loaded.machineOrders().begin()->second.HomePool_ ==
             fleet::PoolName("off"));
}

BOOST_AUTO_TEST_CASE(SnapshotTakesThePlaceOfTheEntries) {
  BOOST_REQUIRE(*First_.campaign());
  CellTable Table;
  for (int I = 0; I < 40; ++I) {
    const Event Item = accepted("job" + std::to_string(I));
    Table.apply(Item, TimePoint());
    BOOST_REQUIRE(First_.Log_->append({Item}).ok());
  }
  BOOST_REQUIRE(First_.Log_->writeSnapshot(Table).ok());
  BOOST_TEST(!Store_.has(Keys.log(1)));
  BOOST_TEST(!Store_.has(Keys.log(40)));
  BOOST_REQUIRE(First_.Log_->append({accepted("after")}).ok());
  First_.Lead_.resign();
  BOOST_REQUIRE(*Second_.campaign());
  const CellTable Loaded = loadBy(Second_);
  BOOST_TEST(Loaded.jobs().size() == 41u);
  BOOST_TEST(Loaded.find(JobId("after")));
}

// Every job of the cell is gone for its successor: a base whose answer was
// lost is written again by the store seconds later, over a newer one, and the
// entries that it counts on have been removed.
BOOST_AUTO_TEST_CASE(LateBaseDoesNotTakeThePlaceOfANewerOne) {
  BOOST_REQUIRE(*First_.campaign());
  CellTable Table;
  const auto Append = [&](const std::string &Id) {
    Table.apply(accepted(Id), TimePoint());
    BOOST_REQUIRE(First_.Log_->append({accepted(Id)}).ok());
  };
  Append("a");
  BOOST_REQUIRE(First_.Log_->writeSnapshot(Table).ok());
  Append("b");
  // The part is written, the base is kept back and written by a second try.
  Store_.Next_ = FakeStore::Fault::Late;
  Store_.PassFirst_ = 1;
  BOOST_REQUIRE(First_.Log_->writeSnapshot(Table).ok());
  Append("c");
  BOOST_REQUIRE(First_.Log_->writeSnapshot(Table).ok());
  Store_.carryOutDelayed();
  First_.Lead_.resign();
  BOOST_REQUIRE(*Second_.campaign());
  BOOST_TEST(loadBy(Second_).jobs().size() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::journal
