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

/// An entry with its leadership and journal.
struct Entry {
  Entry(FakeStore &Store, const char *Name, std::uint64_t Incarnation = 1)
      : Store_(Store), Leadership_(Store, Keys, leader(Name, Incarnation)) {
    Log_.emplace(Store_, Keys, Leadership_);
  }

  /// Campaigns for leadership. Each leadership has a journal of its own.
  absl::StatusOr<bool> campaign() {
    const auto Won = Leadership_.campaign();
    Log_.emplace(Store_, Keys, Leadership_);
    return Won;
  }

  FakeStore &Store_;
  Leadership<FakeStore> Leadership_;
  std::optional<Journal<FakeStore>> Log_;
};

struct Fixture {
  CellTable loadBy(Entry &Reader) {
    CellTable Table;
    BOOST_REQUIRE(Reader.Log_->load(Table, TimePoint()).ok());
    return Table;
  }

  /// Returns the head key as a watch reports it.
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
  First_.Leadership_.resign();
  BOOST_TEST(*Second_.campaign());
}

BOOST_AUTO_TEST_CASE(TokenGrowsWithEachLeader) {
  BOOST_REQUIRE(*First_.campaign());
  const auto Before = First_.Leadership_.token();
  First_.Leadership_.resign();
  BOOST_REQUIRE(*Second_.campaign());
  BOOST_TEST((Second_.Leadership_.token() > Before));
}

BOOST_AUTO_TEST_CASE(CampaignWithLostAnswerIsDetected) {
  Store_.Next_ = FakeStore::Fault::AnswerLost;
  BOOST_TEST(*First_.campaign());
  BOOST_TEST(First_.Leadership_.held());
}

BOOST_AUTO_TEST_CASE(RestartedEntryReplacesItsFormerProcess) {
  BOOST_REQUIRE(*First_.campaign());
  Entry Again(Store_, "first", 2);
  BOOST_TEST(*Again.Leadership_.takeOverFrom(First_.Leadership_.self()));
  BOOST_TEST(!First_.Log_->append({accepted("a")}).ok());
}

// Guards against a leader that is cut off from the store and answers "no such
// job" for a job that its successor has accepted.
BOOST_AUTO_TEST_CASE(LeaderWithoutTheStoreStopsAnsweringBeforeItsLeaseEnds) {
  BOOST_REQUIRE(*First_.campaign());
  const TimePoint Renewed = First_.Leadership_.confirmedAt();
  BOOST_TEST(First_.Leadership_.leaseValidAt(Renewed + 800ms));
  BOOST_TEST(!First_.Leadership_.leaseValidAt(Renewed + 1s));
  BOOST_TEST(First_.Leadership_.held());
}

BOOST_AUTO_TEST_CASE(SuccessorReadsAcknowledgedEntries) {
  BOOST_REQUIRE(*First_.campaign());
  BOOST_REQUIRE(First_.Log_->append({accepted("a")}).ok());
  BOOST_REQUIRE(First_.Log_->append({accepted("b")}).ok());
  First_.Leadership_.resign();
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

// A write of the former leader reaches the store only after the takeover. The
// job, whose caller was told that the outcome is unknown, must not appear after
// the new leader has reported that it does not exist.
BOOST_AUTO_TEST_CASE(LateWriteOfAFormerLeaderHasNoEffect) {
  BOOST_REQUIRE(*First_.campaign());
  store::Transaction Late;
  Late.Compares_ = {
      {Keys.head(), fleet::Revision(First_.Leadership_.token().value())},
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

// Guards against a job that is acknowledged but unknown to the cell. The
// process loses its leadership while an entry is being written and wins the
// next term. The former term sent its entry again under the new token: it was
// stored, but the new term's table lacked its job, and the new term's own first
// entry then failed.
BOOST_AUTO_TEST_CASE(EntryOfAFormerTermIsNotSentUnderTheNextOne) {
  BOOST_REQUIRE(*First_.campaign());
  std::optional<Journal<FakeStore>> Next;
  CellTable Table;
  Store_.Next_ = FakeStore::Fault::Lost;
  Store_.BeforeAnswer_ = [&] {
    Store_.endLease(1);
    First_.Leadership_.markLost();
    BOOST_TEST(*First_.Leadership_.campaign());
    Next.emplace(Store_, Keys, First_.Leadership_);
    BOOST_TEST(Next->load(Table, TimePoint()).ok());
  };
  BOOST_TEST(absl::IsAborted(First_.Log_->append({accepted("a")})));
  BOOST_REQUIRE(Next);
  BOOST_TEST(!Store_.has(Keys.log(1)));
  BOOST_TEST(Next->append({accepted("b")}).ok());
}

// Guards against a leader that loses its lease by loading the journal: the
// renewals waited until the whole journal was read.
BOOST_AUTO_TEST_CASE(OtherFibersRunWhileALongJournalIsLoaded) {
  constexpr int Entries = 300, JobsPerEntry = 100;
  BOOST_REQUIRE(*First_.campaign());
  for (int I = 0; I < Entries; ++I) {
    std::vector<Event> Group;
    for (int J = 0; J < JobsPerEntry; ++J)
      Group.push_back(accepted(std::to_string(I * JobsPerEntry + J)));
    BOOST_REQUIRE(First_.Log_->append(Group).ok());
  }
  bool Loaded = false;
  int Turns = 0;
  boost::fibers::fiber Other([&] {
    while (!Loaded) {
      ++Turns;
      boost::this_fiber::yield();
    }
  });
  const CellTable Table = loadBy(First_);
  Loaded = true;
  Other.join();
  BOOST_TEST(Table.jobs().size() == 0u + Entries * JobsPerEntry);
  BOOST_TEST(Turns > 1);
}

// Guards against entries that lost their leadership and spend their processor
// time on its journal, while the next one needs it.
BOOST_AUTO_TEST_CASE(LoadEndsOnceItIsGivenUp) {
  BOOST_REQUIRE(*First_.campaign());
  BOOST_REQUIRE(First_.Log_->append({accepted("a")}).ok());
  Store_.BeforeList_ = [&] { First_.Leadership_.markLost(); };
  CellTable Table;
  const absl::Status Read = First_.Log_->load(
      Table, TimePoint(), [&] { return !First_.Leadership_.held(); });
  BOOST_TEST(absl::IsAborted(Read));
  BOOST_TEST(!Table.find(JobId("a")));
}

// A leader was paused while its lease expired. After resuming it must not
// acknowledge a job.
BOOST_AUTO_TEST_CASE(FormerLeaderCannotAppend) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.endLease(1);
  BOOST_REQUIRE(*Second_.campaign());
  BOOST_TEST(absl::IsAborted(First_.Log_->append({accepted("a")})));
}

// Guards against two leaders of one cell: a peer accepts an offer of the
// leadership, but its write is delayed and the leader has continued meanwhile.
BOOST_AUTO_TEST_CASE(RewrittenHeadIsNotTakenOver) {
  BOOST_REQUIRE(*First_.campaign());
  const Leader Offered = First_.Leadership_.self();
  BOOST_REQUIRE(First_.Log_->append({accepted("a")}).ok());
  BOOST_TEST(*First_.Leadership_.rewriteHead());
  BOOST_TEST((First_.Leadership_.token() > Offered.Token_));
  BOOST_TEST(!*Second_.Leadership_.takeOverFrom(Offered));
  BOOST_TEST(First_.Log_->append({accepted("b")}).ok());
}

// Guards against seconds without a leader: with a slow store, a leader got no
// answer to a rewrite of its head key, mistook its own write for a peer's and
// stepped down.
BOOST_AUTO_TEST_CASE(RewriteWithLostAnswerIsDetected) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.Next_ = FakeStore::Fault::AnswerLost;
  BOOST_TEST(!First_.Leadership_.rewriteHead().ok());
  BOOST_TEST(*First_.Leadership_.rewriteHead());
  BOOST_TEST(First_.Log_->append({accepted("a")}).ok());
}

// The answer to a rewrite of the head key is lost, and the condition of the
// next entry fails before the leader has found the new head key. It must not
// step down, or callers wait for a lease to expire although no other process
// leads.
BOOST_AUTO_TEST_CASE(EntryWaitsForARewriteWithoutAnswer) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.Next_ = FakeStore::Fault::AnswerLost;
  BOOST_REQUIRE(!First_.Leadership_.rewriteHead().ok());
  boost::fibers::fiber Later(
      [&] { BOOST_TEST(*First_.Leadership_.rewriteHead()); });
  BOOST_TEST(First_.Log_->append({accepted("a")}).ok());
  Later.join();
  BOOST_TEST(Store_.has(Keys.log(1)));
}

// Guards against a won leadership being given up, after which callers wait for
// its lease to expire. The watch reports the entry's own head key before the
// answer to its write, and the entry renews the lease to adopt it. Then the
// answer arrives and the term starts; the renewal, which times out, used to end
// this term.
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
      BOOST_TEST(!First_.Leadership_.adoptOwnHead(head()).ok());
    });
  };
  BOOST_TEST(*First_.campaign());
  Answered = true;
  Watch.join();
  BOOST_TEST(First_.Leadership_.held());
  BOOST_TEST(First_.Log_->append({accepted("a")}).ok());
}

// Guards against a leader that renews its lease but schedules no jobs until its
// process ends. The answer to a rewrite of the head key was lost, and the term
// ended while the leader read the key back. Adopting it then restored the
// leadership without a term, and while a process leads it ignores its own head
// key.
BOOST_AUTO_TEST_CASE(RewriteDetectedAfterTheTermEndedStartsNoTerm) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.Next_ = FakeStore::Fault::AnswerLost;
  BOOST_REQUIRE(!First_.Leadership_.rewriteHead().ok());
  Store_.BeforeList_ = [&] { First_.Leadership_.markLost(); };
  BOOST_TEST(!First_.Leadership_.rewriteHead().ok());
  BOOST_TEST(!First_.Leadership_.held());
}

// Guards against waiting for the lease of an entry that has shut down. The
// delete of its head key was lost when it resigned. The watch then reported the
// entry's own head key, which it adopted and renewed, and left behind when its
// process ended.
BOOST_AUTO_TEST_CASE(LeavingEntryDoesNotAdoptItsHead) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.Next_ = FakeStore::Fault::Lost;
  First_.Leadership_.resign();
  BOOST_TEST(!*First_.Leadership_.adoptOwnHead(head()));
  BOOST_TEST(!First_.Leadership_.held());
  BOOST_TEST(!Store_.has(Keys.head()));
}

// The same if it resigns while its write of the head key is pending.
BOOST_AUTO_TEST_CASE(ResignedEntryRemovesAHeadThatItWins) {
  Store_.BeforeAnswer_ = [&] { First_.Leadership_.resign(); };
  BOOST_TEST(!*First_.campaign());
  BOOST_TEST(!First_.Leadership_.held());
  BOOST_TEST(!Store_.has(Keys.head()));
}

BOOST_AUTO_TEST_CASE(ReplacedLeaderCannotContinue) {
  BOOST_REQUIRE(*First_.campaign());
  BOOST_TEST(*Second_.Leadership_.takeOverFrom(First_.Leadership_.self()));
  BOOST_TEST(!*First_.Leadership_.rewriteHead());
  BOOST_TEST(absl::IsAborted(First_.Log_->append({accepted("a")})));
}

BOOST_AUTO_TEST_CASE(ClockCountsEachLeadersOwnTime) {
  JournalClock Age;
  const auto At = [&](std::uint64_t Token, Duration Since) {
    return Age.advance({jobs::FencingToken(Token), Since});
  };
  BOOST_TEST((At(4, 900ms) == 0ms));
  BOOST_TEST((At(4, 1500ms) == 600ms));
  BOOST_TEST((At(9, 200ms) == 200ms));
  BOOST_TEST((At(9, 150ms) == 0ms));
}

// Two leaders may order the same machine within the platform's lease time. The
// later one knows only from the journal how long ago the order was sent. An
// order is sent after its entry is stored, so time counts from the next entry.
BOOST_AUTO_TEST_CASE(JournalTellsHowLongAgoAMachineWasOrdered) {
  BOOST_REQUIRE(*First_.campaign());
  const jobs::MachineId FirstOrdered("m1"), LastOrdered("m2");
  const auto Put = [&](std::uint64_t Index, std::vector<Event> Events,
                       Duration Since) {
    store::Transaction Txn;
    const jobs::GroupStamp Stamp{First_.Leadership_.token(), Since};
    Txn.Puts_ = {{Keys.log(Index), jobs::encodeGroup(Events, Stamp), 0}};
    BOOST_REQUIRE(Store_.commit(Txn, {}).ok());
  };
  Put(1, {jobs::MachineOrdered{FirstOrdered, fleet::PoolName("off")}}, 1s);
  Put(2, {accepted("a")}, 4s);
  Put(3, {jobs::MachineOrdered{LastOrdered, fleet::PoolName("on")}}, 6s);
  Store_.endLease(1);
  BOOST_REQUIRE(*Second_.campaign());
  const CellTable Loaded = loadBy(Second_);
  BOOST_REQUIRE(Loaded.machineOrders().size() == 2u);
  BOOST_TEST((Loaded.machineOrders().at(FirstOrdered).SinceLastOrder_ == 2s));
  BOOST_TEST((Loaded.machineOrders().at(LastOrdered).SinceLastOrder_ == 0s));
  BOOST_TEST(Loaded.machineOrders().at(FirstOrdered).HomePool_ ==
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
  First_.Leadership_.resign();
  BOOST_REQUIRE(*Second_.campaign());
  const CellTable Loaded = loadBy(Second_);
  BOOST_REQUIRE(Loaded.machineOrders().size() == 1u);
  BOOST_TEST(Loaded.machineOrders().begin()->second.HomePool_ ==
             fleet::PoolName("off"));
}

BOOST_AUTO_TEST_CASE(SnapshotReplacesEntries) {
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
  First_.Leadership_.resign();
  BOOST_REQUIRE(*Second_.campaign());
  const CellTable Loaded = loadBy(Second_);
  BOOST_TEST(Loaded.jobs().size() == 41u);
  BOOST_TEST(Loaded.find(JobId("after")));
}

// Guards against a leader that repeats a write for ever that can never succeed.
BOOST_AUTO_TEST_CASE(WriteThatIsRefusedForGoodIsNotRepeated) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.MaxValueBytes_ = 10;
  Store_.OnRefusedForGood_ = [this] {
    if (Store_.RefusedForGood_ == 3)
      First_.Leadership_.markLost();
  };
  BOOST_TEST(absl::IsInvalidArgument(First_.Log_->append({accepted("a")})));
  BOOST_TEST(Store_.RefusedForGood_ == 1u);
}

// Guards against a snapshot that the store refuses, as a job has many tasks.
BOOST_AUTO_TEST_CASE(JobLargerThanAValueIsStoredInSeveralParts) {
  BOOST_REQUIRE(*First_.campaign());
  Store_.OnRefusedForGood_ = [this] { First_.Leadership_.markLost(); };
  jobs::JobAccepted Large;
  Large.Spec_.Id_ = JobId("large");
  Large.Spec_.Occurrences_ = 100'000;
  Large.Spec_.Steps_.resize(1);
  CellTable Table;
  Table.apply(Large, TimePoint());
  for (std::uint32_t K = 0; K < Large.Spec_.Occurrences_; ++K) {
    const jobs::RunName Run{{Large.Spec_.Id_, K, 0, 0}, jobs::RunNumber(1)};
    Table.apply(jobs::RunIntended{Run, {jobs::WorkerId("w"), 1}}, TimePoint());
    if (K % 2 == 0)
      Table.apply(jobs::RunEnded{Run, jobs::EndKind::Done, {}, 1}, TimePoint());
  }
  BOOST_REQUIRE(First_.Log_->append({Large}).ok());
  BOOST_REQUIRE(First_.Log_->writeSnapshot(Table).ok());
  First_.Leadership_.resign();
  BOOST_REQUIRE(*Second_.campaign());
  const CellTable Loaded = loadBy(Second_);
  const jobs::JobRow *Job = Loaded.find(Large.Spec_.Id_);
  BOOST_REQUIRE(Job);
  BOOST_TEST(Job->LiveRuns_ == 50'000u);
  BOOST_TEST(Job->OccurrencesDone_ == 50'000u);
  BOOST_TEST((Job->State_ == jobs::JobState::Running));
}

// Guards against the loss of all jobs of a cell after a takeover: a delayed
// write of an older base was applied over a newer one, although the entries
// that follow the older base had been removed.
BOOST_AUTO_TEST_CASE(LateBaseDoesNotReplaceANewerOne) {
  BOOST_REQUIRE(*First_.campaign());
  CellTable Table;
  const auto Append = [&](const std::string &Id) {
    Table.apply(accepted(Id), TimePoint());
    BOOST_REQUIRE(First_.Log_->append({accepted(Id)}).ok());
  };
  Append("a");
  BOOST_REQUIRE(First_.Log_->writeSnapshot(Table).ok());
  Append("b");
  // The part is written; the base write is delayed and succeeds on a retry.
  Store_.Next_ = FakeStore::Fault::Late;
  Store_.PassFirst_ = 1;
  BOOST_REQUIRE(First_.Log_->writeSnapshot(Table).ok());
  Append("c");
  BOOST_REQUIRE(First_.Log_->writeSnapshot(Table).ok());
  Store_.carryOutDelayed();
  First_.Leadership_.resign();
  BOOST_REQUIRE(*Second_.campaign());
  BOOST_TEST(loadBy(Second_).jobs().size() == 3u);
}

// Guards against a process that ends at a stored number out of range.
BOOST_AUTO_TEST_CASE(StoredValueWithANumberOutOfRangeIsUnreadable) {
  BOOST_TEST(!decodeBase(R"({"index":-1,"parts":1})").has_value());
  BOOST_TEST(!decodeBase(R"({"index":1,"parts":1e300})").has_value());
  BOOST_TEST(!decodeLeader(R"({"entry":"e","peer":"","incarnation":-1,
                               "attempt":1})",
                           fleet::Revision(1))
                  .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::journal
