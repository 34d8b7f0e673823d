#include "pools/moveplanner.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace laburnumspread;
using namespace laburnumspread::pools;
using namespace std::chrono_literals;
using fleet::PoolName;

namespace {

struct Fixture {
  config::FleetTables Tables_;
  maintenance::VmList List_;
  std::map<PoolName, Demand> Work_;
  std::map<std::string, std::uint32_t> Running_;
  TimePoint Now_{1000h};
  MovePlanner Planner_{MoveWeights()};

  Fixture() {
    addPool("orders", 4, 2, false);
    addPool("menus", 4, 2, false);
    addPool("spare", 3, 1, true);
  }

  void addPool(const std::string &Name, int Vms, std::uint32_t Minimum,
               bool Spare) {
    fleet::Pool Pool;
    Pool.Metadata_.Name_ = Name;
    Pool.Spec_.MinimumVms_ = Minimum;
    Pool.Spec_.Spare_ = Spare;
    Tables_.Pools_[Name] = Pool;
    for (int I = 0; I < Vms; ++I) {
      fleet::Vm Vm;
      Vm.Metadata_.Name_ = Name + "-" + std::to_string(I);
      Vm.Spec_.Pool_ = PoolName(Name);
      Vm.Spec_.Zone_ = fleet::ZoneName("z" + std::to_string(I % 2));
      Tables_.Vms_[Vm.Metadata_.Name_] = Vm;
      List_[Vm.Metadata_.Name_] = {true, "b"};
    }
  }

  std::vector<Move> tick(Duration After = 1s) {
    Now_ += After;
    std::vector<Move> Moves = Planner_.plan(
        {Tables_, List_, [&](const PoolName &P) { return Work_[P]; },
         [&](const std::string &Vm) { return Running_[Vm]; }, Now_});
    for (const Move &Item : Moves) {
      auto &Status = Tables_.Vms_.at(Item.Vm_).Status_;
      Status.LentTo_ = Item.ToDeclaredPool_ ? PoolName() : Item.To_;
    }
    return Moves;
  }

  int vmsIn(const char *Pool) {
    return static_cast<int>(std::count_if(
        Tables_.Vms_.begin(), Tables_.Vms_.end(), [&](const auto &Row) {
          return fleet::currentPool(Row.second) == PoolName(Pool);
        }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(OverloadedPoolIsLentSpareVms, Fixture) {
  Work_[PoolName("orders")] = {32, 10};
  BOOST_TEST(tick().empty());
  BOOST_TEST(tick().size() == 2u);
  BOOST_TEST(vmsIn("orders") == 6);
  BOOST_TEST(vmsIn("spare") == 1);
  BOOST_TEST(tick().empty());
}

BOOST_FIXTURE_TEST_CASE(MomentaryPeakMovesNothing, Fixture) {
  for (int I = 0; I < 20; ++I) {
    Work_[PoolName("orders")] = I % 2 ? Demand{32, 10} : Demand{20, 0};
    BOOST_TEST(tick(300ms).empty());
  }
}

BOOST_FIXTURE_TEST_CASE(LentVmsReturnOnlyAfterTheReturnDelay, Fixture) {
  Work_[PoolName("orders")] = {32, 10};
  tick();
  tick();
  Work_[PoolName("orders")] = {2, 0};
  BOOST_TEST(tick().empty());
  BOOST_TEST(tick(Planner_.returnDelay() - 2s).empty());
  BOOST_TEST(tick(3s).size() == 2u);
  BOOST_TEST(vmsIn("spare") == 3);
}

BOOST_FIXTURE_TEST_CASE(IdleVmIsLentBeforeABusyOne, Fixture) {
  Running_["spare-0"] = 3;
  Running_["spare-1"] = 1;
  Work_[PoolName("orders")] = {32, 1};
  tick();
  const std::vector<Move> Moves = tick();
  BOOST_REQUIRE(Moves.size() == 1u);
  BOOST_TEST(Moves[0].Vm_ == "spare-2");
}

BOOST_FIXTURE_TEST_CASE(DonorsKeepTheirMinimum, Fixture) {
  Work_[PoolName("orders")] = {100, 400};
  for (int I = 0; I < 20; ++I)
    tick();
  BOOST_TEST(vmsIn("spare") == 1);
  BOOST_TEST(vmsIn("menus") == 2);
}

// A wave is running in the pool. Moving VMs would change the totals from which
// its disruption budget is computed.
BOOST_FIXTURE_TEST_CASE(NothingMovesDuringAWave, Fixture) {
  fleet::Wave Wave;
  Wave.Status_.Phase_ = fleet::WavePhase::Running;
  Tables_.Waves_["w"] = Wave;
  Work_[PoolName("orders")] = {32, 10};
  for (int I = 0; I < 10; ++I)
    BOOST_TEST(tick().empty());
}

BOOST_AUTO_TEST_CASE(WeightsChangeTheDelays) {
  const MovePlanner Lunch({2, 1, 1});
  const MovePlanner Print({1, 2, 2});
  BOOST_TEST((Lunch.lendDelay() < Print.lendDelay()));
}
