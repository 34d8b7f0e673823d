#include "journal/journal.h"
#include "journal/tests/fakestore.h"

#include <benchmark/benchmark.h>

// Time a new leader spends on decoding the stored jobs before it can serve. The
// time of the store and the network is not included.

namespace {

using namespace laburnumspread;

const journal::CellKeys Keys("cell/");
constexpr std::uint32_t TasksPerJob = 8;
/// An eighth of the platform's limit for a job's payload.
constexpr std::size_t PayloadBytes = 500;
/// Approximate size of one page of the store's range responses.
constexpr double PageBytes = 1'000'000;

jobs::Event makeJob(int Number) {
  jobs::JobAccepted Item;
  Item.Spec_.Id_ = jobs::JobId("job-" + std::to_string(Number));
  Item.Spec_.Queue_ = jobs::QueueName("queue-" + std::to_string(Number % 54));
  Item.Spec_.Workspace_ =
      jobs::WorkspaceName("team-" + std::to_string(Number % 430));
  Item.Spec_.Payload_ = std::string(PayloadBytes, 'x');
  Item.Spec_.Steps_.resize(1);
  Item.Spec_.Steps_[0].Count_ = TasksPerJob;
  Item.Spec_.Steps_[0].PerTask_ = {1000, 256, 0};
  return Item;
}

jobs::Event makeRun(int Number, std::uint32_t Task) {
  jobs::RunIntended Item;
  Item.Run_ = {{jobs::JobId("job-" + std::to_string(Number)), 0, 0, Task},
               jobs::RunNumber(1)};
  Item.Worker_ = {jobs::WorkerId("i-" + std::to_string(Number % 11'000)), 1};
  return Item;
}

/// A table of open jobs with all their tasks running.
jobs::CellTable makeTable(int Jobs) {
  jobs::CellTable Table;
  for (int Number = 0; Number < Jobs; ++Number) {
    Table.apply(makeJob(Number), {});
    for (std::uint32_t Task = 0; Task < TasksPerJob; ++Task)
      Table.apply(makeRun(Number, Task), {});
  }
  return Table;
}

/// Decodes a snapshot of range(0) open jobs, as after a takeover.
void recoverJobs(benchmark::State &State) {
  const jobs::CellTable Table = makeTable(static_cast<int>(State.range(0)));
  const auto Parts = jobs::encodeSnapshot(
      Table, journal::Journal<journal::FakeStore>::SnapshotPartBytes,
      store::DefaultMaxValueBytes);
  std::size_t Bytes = 0;
  for (const std::string &Part : Parts)
    Bytes += Part.size();
  for (auto _ : State) {
    jobs::CellTable Into;
    for (const std::string &Part : Parts)
      if (!jobs::decodeSnapshot(Part, {}, Into).ok())
        State.SkipWithError("the snapshot cannot be read");
    benchmark::DoNotOptimize(Into);
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
  State.counters["pages"] = std::ceil(static_cast<double>(Bytes) / PageBytes);
}
BENCHMARK(recoverJobs)
    ->Arg(100)
    ->Arg(1'000)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Unit(benchmark::kMillisecond);

/// Decodes and applies range(0) journal entries of one job each, as after a
/// burst of submits.
void recoverEntries(benchmark::State &State) {
  std::vector<std::string> Entries;
  std::size_t Bytes = 0;
  for (int Number = 0; Number < State.range(0); ++Number) {
    std::vector<jobs::Event> Group{makeJob(Number)};
    for (std::uint32_t Task = 0; Task < TasksPerJob; ++Task)
      Group.push_back(makeRun(Number, Task));
    Entries.push_back(jobs::encodeGroup(Group, {}));
    Bytes += Entries.back().size();
  }
  for (auto _ : State) {
    jobs::CellTable Into;
    for (const std::string &Entry : Entries) {
      const auto Group = jobs::decodeGroup(Entry);
      if (!Group.ok())
        State.SkipWithError("the entry cannot be read");
      for (const jobs::Event &Event : Group->Events_)
        Into.apply(Event, {});
    }
    benchmark::DoNotOptimize(Into);
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(recoverEntries)->Arg(300)->Unit(benchmark::kMillisecond);

} // namespace
