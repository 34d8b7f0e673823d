#include "cell/termconfig.h"
#include "journal/tests/fakestore.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using journal::FakeStore;

const journal::CellKeys Keys("cell/");
const QueueName Queue("q");
const jobs::JobId Job("0123456789abcdef");

/// A configuration in force whose only queue has the given pool.
CellConfig configOf(std::uint64_t Version, const char *Pool) {
  CellConfig Result;
  Result.Version_ = jobs::ConfigVersion(Version);
  Result.Queues_.emplace_back().Name_ = Queue;
  Result.Queues_.back().Pool_ = PoolName(Pool);
  return Result;
}

/// A configuration in force without queues.
CellConfig emptyConfig(std::uint64_t Version) {
  CellConfig Result;
  Result.Version_ = jobs::ConfigVersion(Version);
  return Result;
}

/// A term with an open job.
struct Fixture {
  Fixture() {
    BOOST_REQUIRE(*Leadership_.campaign());
    Term_.emplace(Store_, Keys, Leadership_, Metrics_, CellBounds(),
                  Evacuations_);
    Term_->Config_ = configOf(3, "first");
    jobs::JobAccepted Item;
    Item.Spec_.Id_ = Job;
    Item.Spec_.Queue_ = Queue;
    Item.Spec_.Steps_.resize(1);
    Term_->Commits_.stage(Item);
  }

  /// Writes what is staged and begins another term, which reads it.
  void takeOver(const CellConfig &InForce) {
    Term_->Commits_.whenStored([&](CommitOutcome) { Term_->Commits_.stop(); });
    Term_->Commits_.run([] {});
    Term_.emplace(Store_, Keys, Leadership_, Metrics_, CellBounds(),
                  Evacuations_);
    BOOST_REQUIRE(Term_->Log_.load(Term_->Table_, TimePoint()).ok());
    Term_->Config_ = InForce;
    recordQueues(*Term_);
    adoptConfig(*Term_, InForce);
  }

  /// Returns the pool of the queue by the term's configuration; empty if the
  /// term does not know the queue.
  std::string pool() const {
    const QueueConfig *Found = Term_->Config_.find(Queue);
    return Found ? Found->Pool_.str() : "";
  }

  FakeStore Store_;
  framework::metrics::Registry Metrics_;
  ZoneEvacuations Evacuations_;
  journal::Leadership<FakeStore> Leadership_{Store_, Keys, journal::Leader()};
  std::optional<Term<FakeStore>> Term_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TermConfigTest, Fixture)

// Guards against a removed queue that a later term does not know, or knows with
// settings that were changed before the removal.
BOOST_AUTO_TEST_CASE(RemovedQueueOutlastsTermsWithItsLastSettings) {
  adoptConfig(*Term_, configOf(3, "first"));
  adoptConfig(*Term_, configOf(4, "second"));
  adoptConfig(*Term_, emptyConfig(5));
  BOOST_TEST(pool() == "second");
  takeOver(emptyConfig(5));
  BOOST_TEST(pool() == "second");
  takeOver(emptyConfig(6));
  BOOST_TEST(pool() == "second");
}

// Guards against jobs of a release without records that are lost when their
// queue is removed after the first takeover.
BOOST_AUTO_TEST_CASE(QueueOfAnEarlierReleasesJobOutlastsTerms) {
  takeOver(configOf(3, "first"));
  adoptConfig(*Term_, emptyConfig(4));
  takeOver(emptyConfig(4));
  BOOST_TEST(pool() == "first");
}

// Guards against a removed queue whose old settings return with it.
BOOST_AUTO_TEST_CASE(SettingsOfAQueueThatIsAddedAgainWin) {
  adoptConfig(*Term_, configOf(3, "first"));
  adoptConfig(*Term_, emptyConfig(4));
  adoptConfig(*Term_, configOf(5, "second"));
  BOOST_TEST(Term_->Config_.Queues_.size() == 1u);
  BOOST_TEST(pool() == "second");
  takeOver(emptyConfig(6));
  BOOST_TEST(pool() == "second");
}

// Guards against removed queues that accumulate in a term and its successors.
BOOST_AUTO_TEST_CASE(RemovedQueueIsForgottenWithItsLastJob) {
  adoptConfig(*Term_, configOf(3, "first"));
  adoptConfig(*Term_, emptyConfig(4));
  forgetRemovedQueues(*Term_, emptyConfig(4));
  BOOST_TEST(pool() == "first");
  Term_->Commits_.stage(jobs::JobCancelled{Job});
  forgetRemovedQueues(*Term_, emptyConfig(4));
  BOOST_TEST(pool().empty());
  BOOST_TEST(Term_->Table_.queueRecords().empty());
  takeOver(emptyConfig(4));
  BOOST_TEST(pool().empty());
  BOOST_TEST(Term_->Table_.queueRecords().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
