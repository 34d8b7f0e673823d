#include "bench/policy/policytypes.h"

#include "maintenance/disruptionbudgets.h"
#include "maintenance/waveplanner.h"

namespace laburnumspread::bench {

namespace {

using namespace std::chrono_literals;
using framework::clock::Duration;
using framework::clock::TimePoint;

constexpr Duration Tick = 500ms;
constexpr Duration DrainTime = 4s;
constexpr Duration BootTime = 60s;
/// Three probes, one per tick.
constexpr Duration ProbeTime = 1500ms;
constexpr int Vms = 50;
constexpr int Pools = 5;
constexpr std::uint32_t BudgetPercent = 20;
constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Duration MaxSimulatedTime = std::chrono::hours(3);

/// Simulates the platform's response to the planner's steps. Returns seconds
/// and the largest number of VMs out of service at once.
boost::json::object runWave(std::uint32_t MaximumBatch) {
  config::FleetTables Tables;
  maintenance::VmList List;
  for (int P = 0; P < Pools; ++P) {
    fleet::Pool Pool;
    Pool.Metadata_.Name_ = "pool-" + std::to_string(P);
    Pool.Spec_.Budget_.Pool_ = {BudgetPercent, true};
    Tables.Pools_[Pool.Metadata_.Name_] = Pool;
  }
  for (int I = 0; I < Vms; ++I) {
    fleet::Vm Vm;
    Vm.Metadata_.Name_ = "vm-" + std::to_string(100 + I);
    Vm.Spec_.Pool_ = fleet::PoolName("pool-" + std::to_string(I % Pools));
    Vm.Spec_.Rack_ = fleet::RackName("rack-" + std::to_string(I / 4));
    Tables.Vms_[Vm.Metadata_.Name_] = Vm;
    List[Vm.Metadata_.Name_] = {true, "boot-1"};
  }
  fleet::Wave Wave;
  Wave.Metadata_.Name_ = "w";
  Wave.Spec_.MaximumBatch_ = MaximumBatch;
  Tables.Waves_["w"] = Wave;
  std::map<std::string, TimePoint> RebootEnds;
  std::uint32_t MaxDown = 0;
  boost::json::array Series;
  TimePoint Now = Start;
  for (; Now < Start + MaxSimulatedTime; Now += Tick) {
    for (auto &[Name, At] : RebootEnds)
      if (At <= Now)
        List[Name].BootId_ = "boot-2";
    auto SinceOf = [&](const std::string &Name) {
      return Now - Tables.Vms_.at(Name).Status_.Since_;
    };
    const maintenance::Plan Steps = maintenance::planWaves(
        Tables,
        {List,
         [&](const std::string &Name) { return SinceOf(Name) >= DrainTime; },
         [&](const std::string &Name) {
           return maintenance::ProbeState{
               SinceOf(Name) >= ProbeTime ? maintenance::ProbesToPass : 0};
         },
         Now});
    for (const auto &Step : Steps.Vms_) {
      Tables.Vms_.at(Step.Vm_).Status_ = Step.To_;
      if (Step.Kind_ == maintenance::ActionKind::Reboot)
        RebootEnds.try_emplace(Step.Vm_, Now + BootTime);
    }
    for (const auto &Step : Steps.Waves_)
      Tables.Waves_.at(Step.Wave_).Status_ = Step.To_;
    std::uint32_t Down = 0;
    for (const auto &[Name, Vm] : Tables.Vms_)
      Down += !maintenance::isAvailable(Vm, List);
    MaxDown = std::max(MaxDown, Down);
    if ((Now - Start) % 5s == 0s)
      Series.push_back(
          boost::json::array{std::chrono::duration<double>(Now - Start).count(),
                             Down, Tables.Waves_["w"].Status_.Done_});
    if (Tables.Waves_["w"].Status_.Phase_ == fleet::WavePhase::Complete)
      break;
  }
  return {{"seconds", std::chrono::duration<double>(Now - Start).count()},
          {"mostDown", MaxDown},
          {"series", std::move(Series)}};
}

} // namespace

boost::json::object simulateWave() {
  const double Concurrent = Vms * BudgetPercent / 100.0;
  const double Bound =
      Vms * std::chrono::duration<double>(DrainTime + BootTime).count() /
      Concurrent;
  return {{"ours", runWave(1000)},
          {"oneAtATime", runWave(1)},
          {"lowerBoundSeconds", Bound}};
}

} // namespace laburnumspread::bench
