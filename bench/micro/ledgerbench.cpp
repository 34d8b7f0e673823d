#include "bench/micro/fixtures.h"
#include "entry/entrystate.h"
#include "idempotency/replicatable.h"

#include <benchmark/benchmark.h>

namespace {

using namespace laburnumspread;
using namespace laburnumspread::bench;

/// Acquires and releases one permit on a ledger with range(0) teams.
void acquireRelease(benchmark::State &State) {
  const auto Tables = makeFleet(0, 1, static_cast<int>(State.range(0)));
  limits::UnitLedger Ledger = makeLedger(Tables, 7);
  const auto Subject = *Ledger.find(entry::teamSubject("team-0"));
  for (auto _ : State) {
    const auto Got =
        Ledger.acquire(Subject, Start + std::chrono::seconds(5), Start);
    Ledger.release(*Got);
  }
}
BENCHMARK(acquireRelease)->Arg(6)->Arg(DesignTeams);

/// Adopts a view with one more member, which recomputes the owner of every
/// unit. Arguments: VMs, members.
void adoptView(benchmark::State &State) {
  const auto Vms = static_cast<int>(State.range(0));
  const auto Members = static_cast<int>(State.range(1));
  const auto Tables = makeFleet(Vms, 1, DesignTeams * Vms / DesignVms + 1);
  for (auto _ : State) {
    State.PauseTiming();
    limits::UnitLedger Ledger = makeLedger(Tables, Members);
    membership::Member Joiner = makeView(Members + 1).Members_.back();
    const auto Next = *membership::withJoined(makeView(Members), Joiner);
    State.ResumeTiming();
    Ledger.adoptView(Next, Start);
  }
}
BENCHMARK(adoptView)
    ->Args({50, 7})
    ->Args({2000, 7})
    ->Args({DesignVms, 7})
    ->Args({DesignVms, 20})
    ->Args({DesignVms, 40})
    ->Unit(benchmark::kMillisecond);

/// Reserves one key at a home that holds range(0) others.
void reserveKey(benchmark::State &State) {
  idempotency::ReplicaTable Homes(makeMemberId(0));
  const membership::View View = makeView(1);
  Homes.adoptView(View, Start);
  idempotency::ReserveRequest Request;
  Request.MintedAt_ = Start;
  Request.View_ = View.Number_;
  Request.LeaseUntil_ = Start + std::chrono::seconds(5);
  std::uint64_t Next = 0;
  auto Reserve = [&] {
    Request.Name_ = idempotency::RecordName("team-1/" + std::to_string(++Next));
    Request.Attempt_ = {makeMemberId(1), Next};
    benchmark::DoNotOptimize(Homes.reserve(Request, Start));
  };
  for (std::int64_t I = 0; I < State.range(0); ++I)
    Reserve();
  for (auto _ : State)
    Reserve();
}
BENCHMARK(reserveKey)->Arg(1000)->Arg(100'000)->Iterations(50'000);

} // namespace
