#include "bench/micro/fixtures.h"
#include "config/configtable.h"
#include "config/shards.h"
#include "fleet/resourcejson.h"
#include "maintenance/waveplanner.h"
#include "peers/messagecodec.h"
#include "pools/moveplanner.h"

#include <benchmark/benchmark.h>
#include <boost/json/serialize.hpp>

namespace {

using namespace laburnumspread;
using namespace laburnumspread::bench;

/// One tick of the wave planner during a wave over range(0) VMs.
void waveTick(benchmark::State &State) {
  auto Tables = makeFleet(static_cast<int>(State.range(0)), DesignPools, 1);
  fleet::Wave Wave;
  Wave.Metadata_.Name_ = "w";
  Tables.Waves_["w"] = Wave;
  const auto List = makeVmList(Tables);
  for (auto _ : State)
    benchmark::DoNotOptimize(maintenance::planWaves(
        Tables, {List, [](const std::string &) { return false; },
                 [](const std::string &) { return maintenance::ProbeState(); },
                 Start}));
}
BENCHMARK(waveTick)->Arg(50)->Arg(2000)->Arg(DesignVms)->Unit(
    benchmark::kMicrosecond);

/// One tick of the wave planner without a wave.
void idleTick(benchmark::State &State) {
  const auto Tables =
      makeFleet(static_cast<int>(State.range(0)), DesignPools, 1);
  const auto List = makeVmList(Tables);
  for (auto _ : State)
    benchmark::DoNotOptimize(maintenance::planWaves(
        Tables, {List, [](const std::string &) { return false; },
                 [](const std::string &) { return maintenance::ProbeState(); },
                 Start}));
}
BENCHMARK(idleTick)->Arg(50)->Arg(DesignVms)->Unit(benchmark::kMicrosecond);

/// One tick of the move planner over range(0) VMs, with high demand in some
/// pools and low demand in the others.
void moveTick(benchmark::State &State) {
  const auto Tables =
      makeFleet(static_cast<int>(State.range(0)), DesignPools, 1);
  const auto List = makeVmList(Tables);
  pools::MovePlanner Planner({});
  for (auto _ : State)
    benchmark::DoNotOptimize(
        Planner.plan({Tables, List,
                      [](const fleet::PoolName &Pool) {
                        return Pool.str().size() % 2 ? pools::Demand{100, 0}
                                                     : pools::Demand{1, 0};
                      },
                      [](const std::string &) { return 0U; }, Start}));
}
BENCHMARK(moveTick)->Arg(50)->Arg(DesignVms)->Unit(benchmark::kMicrosecond);

/// Applies one changed value to a configuration of range(0) VMs.
void applyChange(benchmark::State &State) {
  const auto Tables =
      makeFleet(static_cast<int>(State.range(0)), DesignPools, 1);
  std::map<std::string, boost::json::object> Shards;
  for (const auto &[Name, Vm] : Tables.Vms_)
    Shards[config::shardKey("/l/", fleet::Kind::Vms, Name)][Name] =
        fleet::toStored(Vm);
  std::vector<store::KeyValue> Items;
  std::uint64_t Revision = 1;
  for (auto &[Key, Objects] : Shards) {
    boost::json::object Whole;
    Whole["items"] = Objects;
    Items.push_back(
        {Key, boost::json::serialize(Whole), fleet::Revision(++Revision)});
  }
  config::ConfigTable Table("/l/");
  Table.apply(Items, fleet::Revision(Revision));
  std::size_t Bytes = 0;
  for (const auto &Item : Items)
    Bytes += Item.Value_.size();
  for (auto _ : State) {
    store::KeyValue Item = Items[Revision % Items.size()];
    Item.ModRevision_ = fleet::Revision(++Revision);
    benchmark::DoNotOptimize(Table.apply({Item}, Item.ModRevision_));
  }
  State.counters["snapshotBytes"] = static_cast<double>(Bytes);
  State.counters["valueBytes"] =
      static_cast<double>(Bytes) / static_cast<double>(Items.size());
}
BENCHMARK(applyChange)
    ->Arg(50)
    ->Arg(2000)
    ->Arg(DesignVms)
    ->Unit(benchmark::kMicrosecond);

/// Encodes and decodes a heartbeat with range(0) rows of pool usage.
void heartbeat(benchmark::State &State) {
  peers::Heartbeat Beat;
  for (std::int64_t I = 0; I < State.range(0); ++I)
    Beat.PoolUsage_.push_back(
        {fleet::PoolName("pool-" + std::to_string(I % 54)),
         fleet::TeamName("team-" + std::to_string(I)), 3, 1});
  peers::Envelope Envelope;
  Envelope.From_.Id_ = makeMemberId(0);
  Envelope.From_.Address_ = "10.0.0.1:7000";
  Envelope.To_ = makeMemberId(1);
  Envelope.Message_ = Beat;
  std::size_t Bytes = 0;
  for (auto _ : State) {
    const std::string Text = peers::encode(Envelope);
    Bytes = Text.size();
    benchmark::DoNotOptimize(peers::decode(Text));
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(heartbeat)->Arg(0)->Arg(6)->Arg(54)->Arg(DesignTeams);

} // namespace
