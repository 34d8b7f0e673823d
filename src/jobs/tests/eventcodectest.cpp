#include "jobs/eventcodec.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace laburnumspread::jobs {

namespace {

constexpr std::size_t LeastLimit = 4096;
constexpr std::size_t MostLimit = 16'384;
constexpr std::uint32_t MaxOccurrences = 400;

std::string text(std::size_t MaxBytes) {
  return std::string(*rc::gen::inRange<std::size_t>(0, MaxBytes + 1), 'x');
}

JobSpec anyJob(std::size_t Number, std::size_t Limit) {
  JobSpec Spec;
  Spec.Id_ = JobId("job" + std::to_string(Number));
  Spec.Queue_ = QueueName("q");
  Spec.Workspace_ = WorkspaceName("w");
  Spec.Payload_ = text(Limit / 2);
  Spec.Steps_.resize(*rc::gen::inRange<std::size_t>(1, 4));
  for (StepSpec &Step : Spec.Steps_)
    Step.Image_ = ImageName(text(Limit / 10));
  Spec.Occurrences_ = *rc::gen::inRange<std::uint32_t>(0, MaxOccurrences);
  return Spec;
}

/// Returns a random sequence: accepted jobs, and starts and ends of their
/// tasks. No event is too large for the limit.
std::vector<Event> anyEvents(std::size_t Limit) {
  std::vector<Event> Result;
  const auto Jobs = *rc::gen::inRange<std::size_t>(1, 6);
  for (std::size_t J = 0; J < Jobs; ++J) {
    const JobSpec Spec = anyJob(J, Limit);
    RC_ASSERT(fitsIntoValue(encodeGroup({JobAccepted{Spec}}).size(), Limit));
    Result.emplace_back(JobAccepted{Spec});
    const auto Begun =
        *rc::gen::inRange<std::uint32_t>(0, Spec.occurrenceCount() + 1);
    for (std::uint32_t K = 0; K < Begun; ++K) {
      const RunName Run{{Spec.Id_, K, 0, 0}, RunNumber(1)};
      Result.emplace_back(RunIntended{Run, {WorkerId("worker"), 7}});
      const auto End = *rc::gen::inRange(0, 4);
      if (End > 0)
        Result.emplace_back(RunEnded{
            Run, End == 1 ? EndKind::Done : EndKind::Stopped,
            Checkpoint(End == 3 ? text(maxCheckpointBytes(Limit)) : ""), 3});
    }
    if (*rc::gen::inRange(0, 4) == 0)
      Result.emplace_back(JobCancelled{Spec.Id_});
    Result.emplace_back(MachineOrdered{MachineId(Spec.Id_.str() + text(900)),
                                       fleet::PoolName("pool")});
    Result.emplace_back(
        UpkeepBegun{WaveNumber(1), MachineId(Spec.Id_.str() + text(900))});
  }
  return Result;
}

CellTable tableOf(const std::vector<Event> &Events) {
  CellTable Table;
  for (const Event &Item : Events)
    Table.apply(Item, TimePoint());
  return Table;
}

/// Returns all that the table stores, as one part.
std::string contentOf(const CellTable &Table) {
  constexpr std::size_t Unlimited = 1 << 30;
  const auto Parts = encodeSnapshot(Table, Unlimited, Unlimited);
  return Parts.empty() ? "" : Parts.front();
}

std::size_t anyLimit() { return *rc::gen::inRange(LeastLimit, MostLimit); }

} // namespace

BOOST_AUTO_TEST_SUITE(EventCodecTest)

// Guards against a journal entry that the store refuses for its size.
BOOST_AUTO_TEST_CASE(EntriesKeepTheLimitAndHoldAllEventsInOrder) {
  BOOST_TEST(rc::check("any events, any limit", [] {
    const std::size_t Limit = anyLimit();
    const std::vector<Event> Events = anyEvents(Limit);
    std::vector<Event> Read;
    std::span<const Event> Left(Events);
    while (!Left.empty()) {
      const EncodedGroup Entry = encodeFirst(
          Left, {FencingToken(1ULL << 62), std::chrono::hours(1 << 20)}, Limit);
      RC_ASSERT(Entry.Events_ > 0u);
      RC_ASSERT(Entry.Bytes_.size() <= Limit);
      const auto Group = decodeGroup(Entry.Bytes_);
      RC_ASSERT(Group.ok());
      RC_ASSERT(Group->Events_.size() == Entry.Events_);
      Read.insert(Read.end(), Group->Events_.begin(), Group->Events_.end());
      Left = Left.subspan(Entry.Events_);
    }
    RC_ASSERT(encodeGroup(Read) == encodeGroup(Events));
  }));
}

// Guards against a snapshot's part that the store refuses for its size.
BOOST_AUTO_TEST_CASE(SnapshotPartsKeepTheLimitAndHoldTheTable) {
  BOOST_TEST(rc::check("any table, any limit", [] {
    const std::size_t Limit = anyLimit();
    const CellTable Table = tableOf(anyEvents(Limit));
    CellTable Read;
    for (const std::string &Part : encodeSnapshot(Table, Limit / 4, Limit)) {
      RC_ASSERT(Part.size() <= Limit);
      RC_ASSERT(decodeSnapshot(Part, TimePoint(), Read).ok());
    }
    RC_ASSERT(contentOf(Read) == contentOf(Table));
    RC_ASSERT(Read.waiting(QueueName("q")) == Table.waiting(QueueName("q")));
    RC_ASSERT(Read.open().size() == Table.open().size());
    RC_ASSERT(Read.workers().size() == Table.workers().size());
  }));
}

// Guards against a loop over an event that fits into no entry.
BOOST_AUTO_TEST_CASE(EventThatIsTooLargeIsLeftOut) {
  JobSpec Spec;
  Spec.Payload_ = std::string(LeastLimit, 'x');
  const std::vector<Event> Events{JobCancelled{JobId("a")}, JobAccepted{Spec}};
  BOOST_TEST(encodeFirst(Events, {}, LeastLimit).Events_ == 1u);
  BOOST_TEST(
      encodeFirst(std::span(Events).subspan(1), {}, LeastLimit).Events_ == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::jobs
