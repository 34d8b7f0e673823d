#include "bench/micro/fixtures.h"
#include "entry/entrystate.h"
#include "routing/endpointtable.h"
#include "sharing/poolqueue.h"

#include <benchmark/benchmark.h>

namespace {

using namespace laburnumspread;
using namespace laburnumspread::bench;

/// Selects the team that gets the next slot among range(0) teams with range(1)
/// waiting requests each.
void chooseTeam(benchmark::State &State) {
  const fleet::PoolName Pool("pool-0");
  sharing::FleetUsage Usage;
  sharing::PoolQueue Queue(1'000'000);
  std::uint64_t Next = 0;
  for (std::int64_t T = 0; T < State.range(0); ++T) {
    const fleet::TeamName Team("team-" + std::to_string(T));
    Usage.addRunning(Pool, Team, static_cast<int>(T % 7));
    for (std::int64_t I = 0; I < State.range(1); ++I) {
      Queue
          .push({sharing::TicketId(++Next), Team, fleet::RequestClass::Normal,
                 Start, Start})
          .IgnoreError();
      Usage.addWaiting(Pool, Team, 1);
    }
  }
  const sharing::ShareInputs Inputs{
      Usage,
      Pool,
      100,
      [](const fleet::TeamName &) { return 2U; },
      [](const fleet::TeamName &) { return true; },
      Start};
  for (auto _ : State)
    benchmark::DoNotOptimize(Queue.selectNext(Inputs));
}
BENCHMARK(chooseTeam)
    ->Args({6, 10})
    ->Args({6, 1000})
    ->Args({50, 10})
    ->Args({DesignTeams, 10});

/// Selects an endpoint for one request among range(0) endpoints of one pool.
void chooseEndpoint(benchmark::State &State) {
  const auto Tables = makeFleet(static_cast<int>(State.range(0)), 1, 1);
  limits::UnitLedger Ledger = makeLedger(Tables, 7);
  routing::EndpointTable Table;
  for (const auto &[Name, Vm] : Tables.Vms_)
    Table.addOrUpdate(Vm, *Ledger.find(entry::slotsSubject(Name)));
  const fleet::ZoneName Zone("z1");
  std::mt19937_64 Random(1);
  for (auto _ : State)
    benchmark::DoNotOptimize(Table.selectEndpoint(
        fleet::PoolName("pool-0"),
        {Ledger, Zone, {}, Start + std::chrono::seconds(5), Start, {}},
        Random));
}
BENCHMARK(chooseEndpoint)
    ->Arg(12)
    ->Arg(DesignVms / DesignPools)
    ->Arg(2000)
    ->Arg(DesignVms);

/// Mass cancellation: nine tenths of range(0) waiting requests are cancelled.
void cancellationWave(benchmark::State &State) {
  const std::int64_t Count = State.range(0);
  for (auto _ : State) {
    State.PauseTiming();
    sharing::PoolQueue Queue(1'000'000);
    for (std::int64_t I = 0; I < Count; ++I)
      Queue
          .push({sharing::TicketId(I), fleet::TeamName("t"),
                 fleet::RequestClass::Normal, Start, Start})
          .IgnoreError();
    State.ResumeTiming();
    for (std::int64_t I = 0; I < Count; ++I)
      if (I % 10 != 0)
        Queue.cancel(sharing::TicketId(I));
  }
  State.SetItemsProcessed(State.iterations() * Count);
}
BENCHMARK(cancellationWave)->Arg(1000)->Arg(10'000);

} // namespace
