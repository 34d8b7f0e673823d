#include "bench/micro/fiberthread.h"
#include "bench/micro/leaderfixture.h"

#include <benchmark/benchmark.h>

// Processor time of the leader for each task, from the submission of its job to
// its stored end: accept, plan, journal entry, start, report, end. The calls of
// store and workers, log lines and the network are not included.

namespace {

using namespace laburnumspread;
using namespace std::chrono_literals;

constexpr auto WarmUp = 1500ms;
constexpr auto Measured = 3000ms;

/// A leader of range(0) workers with range(1) waiting tasks.
void leadTasks(benchmark::State &State) {
  bench::useFibers();
  static std::vector<std::unique_ptr<bench::LeaderFixture>> Leaders;
  Leaders.push_back(
      std::make_unique<bench::LeaderFixture>(static_cast<int>(State.range(0))));
  bench::LeaderFixture &Leader = *Leaders.back();
  const auto Waiting = static_cast<std::uint64_t>(State.range(1));
  Leader.run(WarmUp, Waiting);
  for (auto _ : State) {
    const double Before = bench::threadSeconds();
    const std::uint64_t Tasks = Leader.run(Measured, Waiting);
    const double Used = bench::threadSeconds() - Before;
    State.SetIterationTime(Tasks == 0 ? 0 : Used / static_cast<double>(Tasks));
    State.counters["tasksPerSecond"] =
        static_cast<double>(Tasks) /
        std::chrono::duration<double>(Measured).count();
    State.counters["cores"] =
        Used / std::chrono::duration<double>(Measured).count();
  }
  Leader.stop();
}
BENCHMARK(leadTasks)
    ->ArgNames({"workers", "waiting"})
    ->Args({12, 500})
    ->Args({350, 500})
    ->Args({350, 5'000})
    ->Args({1'100, 500})
    ->Args({1'100, 5'000})
    ->Args({1'100, 50'000})
    ->Args({11'000, 5'000})
    ->UseManualTime()
    ->Iterations(1)
    ->Unit(benchmark::kMicrosecond);

} // namespace
