#include "bench/policy/policytypes.h"

#include "pools/moveplanner.h"

namespace laburnumspread::bench {

namespace {

using namespace std::chrono_literals;
using fleet::PoolName;
using framework::clock::Duration;
using framework::clock::TimePoint;

constexpr Duration Tick = 100ms;
constexpr Duration SimulatedTime = 240s;
/// Length of the per-second series that is reported for plots.
constexpr Duration SeriesTime = 60s;
constexpr Duration RotationPeriod = 6s;
constexpr double PeakFactor = 5;
constexpr double TroughFactor = 0.05;
constexpr std::uint32_t SlotsPerVm = 8;
/// Mean demand of each pool in slots; the peak exceeds the slots of its own
/// VMs.
constexpr double MeanSlots = 26;
constexpr int WorkPoolCount = 4;
constexpr int VmsPerPool = 10;
constexpr int SpareVms = 10;
constexpr TimePoint Start{std::chrono::hours(1)};

std::string poolName(int Index) { return "pool-" + std::to_string(Index); }

struct Fleet {
  config::FleetTables Tables_;
  maintenance::VmList List_;

  Fleet() {
    for (int P = 0; P <= WorkPoolCount; ++P) {
      fleet::Pool Pool;
      Pool.Metadata_.Name_ = poolName(P);
      Pool.Spec_.MinimumVms_ = P == WorkPoolCount ? 1 : 4;
      Pool.Spec_.Spare_ = P == WorkPoolCount;
      Tables_.Pools_[Pool.Metadata_.Name_] = Pool;
      for (int I = 0; I < (P == WorkPoolCount ? SpareVms : VmsPerPool); ++I)
        addVm(poolName(P), I);
    }
  }

  void addVm(const std::string &Pool, int Index) {
    fleet::Vm Vm;
    Vm.Metadata_.Name_ = Pool + "-vm-" + std::to_string(Index);
    Vm.Spec_.Pool_ = PoolName(Pool);
    Vm.Spec_.Zone_ = fleet::ZoneName("z" + std::to_string(Index % 4));
    Vm.Spec_.Slots_ = fleet::Slots(SlotsPerVm);
    Tables_.Vms_[Vm.Metadata_.Name_] = Vm;
    List_[Vm.Metadata_.Name_] = {true, "b"};
  }

  std::uint32_t slots(const std::string &Pool) const {
    std::uint32_t Sum = 0;
    for (const auto &[Name, Vm] : Tables_.Vms_)
      if (fleet::currentPool(Vm).str() == Pool)
        Sum += SlotsPerVm;
    return Sum;
  }

  void apply(const pools::Move &Step) {
    auto &Status = Tables_.Vms_.at(Step.Vm_).Status_;
    Status.LentTo_ = Step.ToDeclaredPool_ ? PoolName() : Step.To_;
  }
};

/// Demand of a pool at a point in time, in slots.
double demandAt(int Pool, TimePoint Now) {
  const auto Peak = ((Now - Start) / RotationPeriod) % WorkPoolCount;
  return MeanSlots * (Pool == Peak ? PeakFactor : TroughFactor);
}

/// Simulates a policy; \p Plan returns the moves for one tick.
template <typename Policy> boost::json::object run(Policy &&Plan) {
  Fleet Vms;
  double Served = 0, Wanted = 0, Buffer = 0;
  std::uint64_t Moves = 0;
  boost::json::array Series;
  for (TimePoint Now = Start; Now < Start + SimulatedTime; Now += Tick) {
    std::map<PoolName, pools::Demand> Work;
    for (int P = 0; P < WorkPoolCount; ++P) {
      const double Slots = Vms.slots(poolName(P));
      const double Need = demandAt(P, Now);
      Served += std::min(Need, Slots);
      Wanted += Need;
      Work[PoolName(poolName(P))] = {
          static_cast<std::uint32_t>(std::min(Need, Slots)),
          static_cast<std::uint32_t>(std::max(0.0, Need - Slots))};
    }
    if ((Now - Start) % 1s == 0s && Now < Start + SeriesTime) {
      boost::json::array Row{
          std::chrono::duration<double>(Now - Start).count()};
      for (int P = 0; P <= WorkPoolCount; ++P)
        Row.emplace_back(Vms.slots(poolName(P)));
      Row.emplace_back(demandAt(0, Now));
      Series.push_back(std::move(Row));
    }
    Buffer += Vms.slots(poolName(WorkPoolCount)) *
              std::chrono::duration<double>(Tick).count();
    for (const pools::Move &Step : Plan(
             pools::MoveInputs{Vms.Tables_, Vms.List_,
                               [&](const PoolName &Pool) { return Work[Pool]; },
                               [](const std::string &) { return 0U; }, Now})) {
      Vms.apply(Step);
      ++Moves;
    }
  }
  return {{"servedPercent", 100 * Served / Wanted},
          {"moves", Moves},
          {"bufferSlotSeconds", Buffer},
          {"series", std::move(Series)}};
}

/// Baseline without hysteresis: lends and returns VMs immediately.
std::vector<pools::Move> reactive(const pools::MoveInputs &Seen) {
  std::vector<pools::Move> Result;
  std::map<std::string, int> Slots;
  for (const auto &[Name, Vm] : Seen.Tables_.Vms_)
    Slots[fleet::currentPool(Vm).str()] += SlotsPerVm;
  const PoolName Spare(poolName(WorkPoolCount));
  for (const auto &[Name, Vm] : Seen.Tables_.Vms_) {
    const PoolName &Now = fleet::currentPool(Vm);
    const auto Work = Seen.Demand_(Now);
    if (!Vm.Status_.LentTo_.empty() &&
        static_cast<int>(Work.Running_ + SlotsPerVm) <= Slots[Now.str()]) {
      Slots[Now.str()] -= SlotsPerVm;
      Result.push_back({Name, Now, Vm.Spec_.Pool_, true, ""});
      continue;
    }
    if (Now != Spare)
      continue;
    for (int P = 0; P < WorkPoolCount; ++P) {
      const PoolName To(poolName(P));
      const auto Need = Seen.Demand_(To);
      if (static_cast<int>(Need.Running_ + Need.Waiting_) <= Slots[To.str()])
        continue;
      Slots[To.str()] += SlotsPerVm;
      Result.push_back({Name, Now, To, false, ""});
      break;
    }
  }
  return Result;
}

} // namespace

boost::json::object simulateMoves() {
  pools::MovePlanner ClosenessWeighted({2, 1, 1});
  pools::MovePlanner CostWeighted({1, 2, 2});
  pools::MovePlanner OneAtATime({2, 1, 1});
  return {{"static", run([](const pools::MoveInputs &) {
             return std::vector<pools::Move>();
           })},
          {"reactive", run(reactive)},
          {"oneAtATime", run([&](const pools::MoveInputs &Seen) {
             auto Moves = OneAtATime.plan(Seen);
             Moves.resize(std::min<std::size_t>(Moves.size(), 1));
             return Moves;
           })},
          {"ours", run([&](const pools::MoveInputs &Seen) {
             return ClosenessWeighted.plan(Seen);
           })},
          {"oursFolhaComum", run([&](const pools::MoveInputs &Seen) {
             return CostWeighted.plan(Seen);
           })}};
}

} // namespace laburnumspread::bench
