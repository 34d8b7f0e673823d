#include "jobs/queuerecords.h"

#include "jobs/eventcodec.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::jobs {

namespace {

using namespace std::chrono_literals;

const TimePoint Start(1h);
const QueueName Name("q");
const JobId Job("0123456789abcdef");

QueueConfig queue(const char *Pool = "pool") {
  QueueConfig Result;
  Result.Name_ = Name;
  Result.Host_ = "jobs.example";
  Result.PathPrefix_ = "/q/";
  Result.Pool_ = PoolName(Pool);
  Result.Priority_ = 2;
  Result.MaxAttempts_ = 5;
  Result.Stretch_ = 1.6;
  Result.TargetLatency_ = 600ms;
  Result.Public_ = true;
  Result.Advice_ = AdviceTerms{20ms, 300us, 2s};
  return Result;
}

/// A configuration in force that has only the given queue, if any.
CellConfig configOf(const std::optional<QueueConfig> &Queue = std::nullopt) {
  CellConfig Result;
  Result.Version_ = ConfigVersion(4);
  if (Queue)
    Result.Queues_.push_back(*Queue);
  return Result;
}

/// A recorded queue with one job.
struct Fixture {
  Fixture() {
    Table_.apply(QueueRecorded{queue()}, Start);
    accept(Table_, Job);
  }

  static void accept(CellTable &Table, const JobId &Id) {
    JobSpec Spec;
    Spec.Id_ = Id;
    Spec.Queue_ = Name;
    Spec.Steps_.resize(1);
    Table.apply(JobAccepted{Spec}, Start);
  }
  void endJob() { Table_.apply(JobCancelled{Job}, Start); }

  /// Returns the table of a leader that reads a snapshot of this one.
  static constexpr std::size_t MaxBytes = 1 << 20;

  CellTable restored(std::size_t PartBytes = MaxBytes) const {
    CellTable Result;
    for (const std::string &Part : encodeSnapshot(Table_, PartBytes, MaxBytes))
      BOOST_REQUIRE(decodeSnapshot(Part, Start, Result).ok());
    return Result;
  }

  CellTable Table_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QueueRecordsTest, Fixture)

// Guards against a removed queue whose jobs cannot go on because its settings
// are not all stored.
BOOST_AUTO_TEST_CASE(RecordKeepsAllSettings) {
  const auto Group = decodeGroup(encodeGroup({QueueRecorded{queue()}}));
  BOOST_REQUIRE(Group.ok());
  BOOST_REQUIRE(Group->Events_.size() == 1u);
  const auto *Record = std::get_if<QueueRecorded>(&Group->Events_.front());
  BOOST_REQUIRE(Record);
  BOOST_TEST((Record->Queue_ == queue()));
  QueueConfig Plain = queue();
  Plain.Advice_.reset();
  const auto Other = decodeGroup(encodeGroup({QueueRecorded{Plain}}));
  const auto &Read = std::get<QueueRecorded>(Other->Events_.front());
  BOOST_TEST((Read.Queue_ == Plain));
}

// Guards against a removed queue that a leader forgets once the entries of the
// journal have been replaced by a snapshot.
BOOST_AUTO_TEST_CASE(SnapshotKeepsRecords) {
  const CellConfig Adopted = withRecordedQueues(configOf(), restored());
  BOOST_REQUIRE(Adopted.find(Name));
  BOOST_TEST((*Adopted.find(Name) == queue()));
}

// Guards against a part of a snapshot that the store refuses for its size.
BOOST_AUTO_TEST_CASE(ManyRecordsAreSplitIntoParts) {
  constexpr std::size_t PartBytes = 1000;
  for (int I = 0; I < 100; ++I) {
    QueueConfig More = queue();
    More.Name_ = QueueName("more" + std::to_string(I));
    Table_.apply(QueueRecorded{More}, Start);
  }
  for (const std::string &Part : encodeSnapshot(Table_, PartBytes, MaxBytes))
    BOOST_TEST(Part.size() < 2 * PartBytes);
  BOOST_TEST(restored(PartBytes).queueRecords().size() == 101u);
}

// Guards against settings of a record that override those in force.
BOOST_AUTO_TEST_CASE(SettingsInForceWin) {
  const CellConfig Adopted =
      withRecordedQueues(configOf(queue("other")), Table_);
  BOOST_REQUIRE(Adopted.Queues_.size() == 1u);
  BOOST_TEST(Adopted.Queues_.front().Pool_.str() == "other");
}

// Guards against starts without the limits of workspaces, by a leader that has
// not received a configuration.
BOOST_AUTO_TEST_CASE(EmptyConfigurationGetsNoQueues) {
  BOOST_TEST(withRecordedQueues(CellConfig(), Table_).Queues_.empty());
}

// Guards against removed queues that accumulate.
BOOST_AUTO_TEST_CASE(RemovedQueueIsForgottenWithItsLastJob) {
  Table_.forgetQueues(configOf());
  BOOST_TEST(Table_.queueRecords().size() == 1u);
  endJob();
  BOOST_TEST(withRecordedQueues(configOf(), Table_).Queues_.empty());
  BOOST_TEST(withRecordedQueues(configOf(), restored()).Queues_.empty());
  Table_.forgetQueues(configOf());
  BOOST_TEST(Table_.queueRecords().empty());
}

// Guards against a record for each job of a queue that is idle in between.
BOOST_AUTO_TEST_CASE(RecordOfAQueueInForceOutlastsItsJobs) {
  endJob();
  Table_.forgetQueues(configOf(queue()));
  BOOST_TEST(!needsRecord(queue(), Table_));
}

// Guards against a queue that is removed, added again with other settings and
// removed once more, and is then kept with the first ones or not at all.
BOOST_AUTO_TEST_CASE(QueueThatIsAddedAgainIsRecordedAgain) {
  endJob();
  Table_.forgetQueues(configOf());
  BOOST_TEST(needsRecord(queue("other"), Table_));
  Table_.apply(QueueRecorded{queue("other")}, Start);
  accept(Table_, JobId("fedcba9876543210"));
  const CellConfig Adopted = withRecordedQueues(configOf(), restored());
  BOOST_REQUIRE(Adopted.find(Name));
  BOOST_TEST(Adopted.find(Name)->Pool_.str() == "other");
}

// Guards against a queue that is kept with settings that were changed between
// its last job and its removal.
BOOST_AUTO_TEST_CASE(ChangedSettingsAreRecordedWhileJobsAreOpen) {
  BOOST_TEST(findUnrecordedQueues(configOf(queue()), Table_).empty());
  const auto Changed = findUnrecordedQueues(configOf(queue("other")), Table_);
  BOOST_REQUIRE(Changed.size() == 1u);
  BOOST_TEST(Changed.front().Pool_.str() == "other");
  endJob();
  BOOST_TEST(findUnrecordedQueues(configOf(queue("other")), Table_).empty());
}

// Guards against jobs of a release without records that are lost at the second
// takeover: the first leader of this one records their queue.
BOOST_AUTO_TEST_CASE(QueueOfAnEarlierReleasesJobIsRecorded) {
  CellTable Earlier;
  accept(Earlier, Job);
  BOOST_TEST(withRecordedQueues(configOf(), Earlier).Queues_.empty());
  const auto Missing = findUnrecordedQueues(configOf(queue()), Earlier);
  BOOST_REQUIRE(Missing.size() == 1u);
  BOOST_TEST((Missing.front() == queue()));
}

// Guards against a queue that is taken for one without jobs after a takeover.
BOOST_AUTO_TEST_CASE(OpenJobsAreCountedByQueue) {
  const JobId Second("fedcba9876543210");
  accept(Table_, Second);
  BOOST_TEST(restored().openByQueue().at(Name) == 2u);
  endJob();
  BOOST_TEST(restored().openByQueue().at(Name) == 1u);
  Table_.apply(JobCancelled{Second}, Start);
  BOOST_TEST(Table_.openByQueue().empty());
  BOOST_TEST(restored().openByQueue().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::jobs
