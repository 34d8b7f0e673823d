#include "maintenance/waveplanner.h"
#include "maintenance/disruptionbudgets.h"

#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace laburnumspread;
using namespace laburnumspread::maintenance;
using namespace std::chrono_literals;
using fleet::VmPhase;
using fleet::WavePhase;

namespace {

/// A fleet of one pool with its platform. Applies every planned step as the
/// planner service does.
struct Fixture {
  config::FleetTables Tables_;
  VmList List_;
  std::set<std::string> NotDrained_;
  std::set<std::string> FailingProbes_;
  std::map<std::string, int> Reboots_;
  TimePoint Now_{1000h};
  std::uint32_t MaxUnavailable_ = 0;

  Fixture() {
    fleet::Pool Pool;
    Pool.Metadata_.Name_ = "orders";
    Pool.Spec_.Budget_.Pool_ = {4, false};
    Tables_.Pools_["orders"] = Pool;
    for (int I = 0; I < 20; ++I)
      addVm("vm-" + std::to_string(10 + I), "rack-" + std::to_string(I / 4));
  }

  void addVm(const std::string &Name, const std::string &Rack) {
    fleet::Vm Vm;
    Vm.Metadata_.Name_ = Name;
    Vm.Spec_.Pool_ = fleet::PoolName("orders");
    Vm.Spec_.Zone_ = fleet::ZoneName("z1");
    Vm.Spec_.Rack_ = fleet::RackName(Rack);
    Tables_.Vms_[Name] = Vm;
    List_[Name] = {true, "boot-1"};
  }

  fleet::Wave &addWave(const char *Name = "w") {
    fleet::Wave Wave;
    Wave.Metadata_.Name_ = Name;
    Wave.Metadata_.Generation_ = fleet::Generation(1);
    return Tables_.Waves_[Name] = Wave;
  }

  Plan plan() {
    return planWaves(
        Tables_,
        {List_,
         [&](const std::string &Vm) { return !NotDrained_.contains(Vm); },
         [&](const std::string &Vm) {
           return ProbeState{FailingProbes_.contains(Vm) ? 0 : ProbesToPass};
         },
         Now_});
  }

  void apply(const Plan &Steps) {
    for (const VmAction &Step : Steps.Vms_) {
      fleet::Vm &Vm = Tables_.Vms_.at(Step.Vm_);
      BOOST_REQUIRE((Vm.Status_.Phase_ == Step.From_));
      Vm.Status_ = Step.To_;
      if (Step.Kind_ == ActionKind::Reboot &&
          List_.at(Step.Vm_).BootId_ == Vm.Status_.BootIdBeforeReboot_) {
        const int Boots = 1 + ++Reboots_[Step.Vm_];
        List_.at(Step.Vm_).BootId_ = "boot-" + std::to_string(Boots);
      }
    }
    for (const WaveUpdate &Step : Steps.Waves_)
      Tables_.Waves_.at(Step.Wave_).Status_ = Step.To_;
    std::uint32_t Unavailable = 0;
    for (const auto &[Name, Vm] : Tables_.Vms_)
      Unavailable += !isAvailable(Vm, List_);
    MaxUnavailable_ = std::max(MaxUnavailable_, Unavailable);
  }

  /// Runs \p Ticks ticks, one second apart.
  void run(int Ticks = 500) {
    for (int I = 0; I < Ticks; ++I) {
      apply(plan());
      Now_ += 1s;
    }
  }

  const fleet::WaveStatus &status(const char *Name = "w") {
    return Tables_.Waves_.at(Name).Status_;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(WaveRebootsEachVmOnceWithinTheBudget, Fixture) {
  addWave();
  run();
  BOOST_TEST((status().Phase_ == WavePhase::Complete));
  BOOST_TEST(status().Done_ == 20u);
  BOOST_TEST(MaxUnavailable_ == 4u);
  for (const auto &[Name, Vm] : Tables_.Vms_)
    BOOST_TEST(Reboots_[Name] == 1);
  BOOST_TEST(plan().empty());
}

BOOST_FIXTURE_TEST_CASE(FirstBatchIsACanaryAndBatchesDouble, Fixture) {
  addWave();
  apply(plan());
  BOOST_TEST(status().InProgress_ == 1u);
  run(6);
  BOOST_TEST(status().Batch_ >= 2u);
}

// A rack failure uses up the whole budget. The wave must not start with another
// VM and must report the reason.
BOOST_FIXTURE_TEST_CASE(VmsDownForOtherReasonsCount, Fixture) {
  for (int I = 0; I < 4; ++I)
    List_["vm-" + std::to_string(10 + I)].Live_ = false;
  addWave();
  run(20);
  BOOST_TEST(status().InProgress_ == 0u);
  BOOST_TEST(MaxUnavailable_ == 4u);
  const fleet::Condition &Progressing = status().Conditions_.at(0);
  BOOST_TEST(Progressing.Reason_ == "BudgetUsedUp");
  BOOST_TEST(Progressing.Message_ ==
             "pool orders: 4 of 20 VMs are unavailable, the budget allows 4");
  for (int I = 0; I < 4; ++I)
    List_["vm-" + std::to_string(10 + I)].Live_ = true;
  run();
  BOOST_TEST((status().Phase_ == WavePhase::Complete));
}

// Two waves run over the same VMs at once. Together they must stay within the
// budget and both must complete.
BOOST_FIXTURE_TEST_CASE(TwoWavesShareOneBudget, Fixture) {
  addWave("w");
  addWave("x");
  run();
  BOOST_TEST(MaxUnavailable_ <= 4u);
  BOOST_TEST((status("w").Phase_ == WavePhase::Complete));
  BOOST_TEST((status("x").Phase_ == WavePhase::Complete));
}

BOOST_FIXTURE_TEST_CASE(BudgetLoweredMidWaveStopsNewStarts, Fixture) {
  addWave().Spec_.FirstBatch_ = 4;
  apply(plan());
  BOOST_TEST(status().InProgress_ == 4u);
  Tables_.Pools_["orders"].Spec_.Budget_.Pool_ = {1, false};
  for (int I = 0; I < 60; ++I) {
    const Plan Next = plan();
    std::uint32_t Unavailable = 0;
    for (const auto &[Name, Vm] : Tables_.Vms_)
      Unavailable += !isAvailable(Vm, List_);
    if (Unavailable >= 1)
      for (const VmAction &Step : Next.Vms_)
        BOOST_TEST((Step.Kind_ != ActionKind::Leave));
    apply(Next);
    Now_ += 1s;
  }
}

BOOST_FIXTURE_TEST_CASE(ZoneAndRackBudgetsBindToo, Fixture) {
  Tables_.Pools_["orders"].Spec_.Budget_.Rack_ =
      fleet::CountOrPercent{1, false};
  addWave().Spec_.FirstBatch_ = 8;
  apply(plan());
  std::map<std::string, int> InRack;
  for (const auto &[Name, Vm] : Tables_.Vms_)
    InRack[Vm.Spec_.Rack_.str()] += Vm.Status_.Phase_ == VmPhase::Leaving;
  for (const auto &[Rack, Count] : InRack)
    BOOST_TEST(Count <= 1);
  BOOST_TEST(status().InProgress_ == 4u);
}

// The wave rolls out a broken image: the canary reboots and fails every probe.
// The wave must halt after this one VM.
BOOST_FIXTURE_TEST_CASE(FailedCanaryHaltsTheWaveAtOnce, Fixture) {
  for (const auto &[Name, Vm] : Tables_.Vms_)
    FailingProbes_.insert(Name);
  addWave();
  run(100);
  BOOST_TEST((status().Phase_ == WavePhase::Halted));
  BOOST_TEST(status().Failed_ == 1u);
  BOOST_TEST(Reboots_.size() == 1u);
  BOOST_TEST(status().Conditions_.at(0).Message_ ==
             "1 VMs failed; raise spec.acceptedFailures to 1 to continue, or "
             "cancel the wave");
  FailingProbes_.clear();
  Tables_.Waves_["w"].Spec_.AcceptedFailures_ = 1;
  run();
  BOOST_TEST((status().Phase_ == WavePhase::Complete));
  BOOST_TEST(status().Done_ == 19u);
}

// A rebooted VM fails every request. It must stay on probation, where it gets
// no work and does not count as available.
BOOST_FIXTURE_TEST_CASE(FailingVmStaysOnProbation, Fixture) {
  FailingProbes_.insert("vm-10");
  addWave();
  run(8);
  BOOST_TEST((Tables_.Vms_["vm-10"].Status_.Phase_ == VmPhase::Probation));
  BOOST_TEST(!isAvailable(Tables_.Vms_["vm-10"], List_));
}

// The list still shows the old boot after the reboot was requested, so the
// planner requests it again. The VM must reboot only once.
BOOST_FIXTURE_TEST_CASE(LaggingListRepeatsNoReboot, Fixture) {
  addWave();
  run(2);
  fleet::Vm &Vm = Tables_.Vms_["vm-10"];
  BOOST_REQUIRE((Vm.Status_.Phase_ == VmPhase::Rebooting));
  const Plan First = plan();
  const Plan Second = plan();
  BOOST_TEST((First.Vms_.at(0).Kind_ == ActionKind::Reboot));
  BOOST_TEST((Second.Vms_.at(0).Kind_ == ActionKind::Reboot));
  apply(First);
  for (const VmAction &Step : Second.Vms_)
    if (List_[Step.Vm_].BootId_ == Step.To_.BootIdBeforeReboot_)
      BOOST_ERROR("would reboot twice");
  BOOST_TEST(Reboots_["vm-10"] == 1);
}

// An unreachable entry may still use the VM, so the VM counts as not drained.
BOOST_FIXTURE_TEST_CASE(UndrainedVmIsNotRebooted, Fixture) {
  for (const auto &[Name, Vm] : Tables_.Vms_)
    NotDrained_.insert(Name);
  addWave();
  run(50);
  BOOST_TEST(Reboots_.empty());
  BOOST_TEST(status().InProgress_ == 1u);
}

// The planner crashes after each single step. The next one must continue from
// the stored state without repeating a reboot.
BOOST_FIXTURE_TEST_CASE(AnotherPlannerResumesAtAnyStep, Fixture) {
  addWave();
  for (int I = 0; I < 2000 && status().Phase_ != WavePhase::Complete; ++I) {
    Plan Next = plan();
    if (Next.Vms_.size() > 1)
      Next.Vms_.resize(1);
    if (!Next.Vms_.empty())
      Next.Waves_.clear();
    apply(Next);
    Now_ += 100ms;
  }
  BOOST_TEST((status().Phase_ == WavePhase::Complete));
  for (const auto &[Name, Count] : Reboots_)
    BOOST_TEST(Count == 1);
}

BOOST_FIXTURE_TEST_CASE(CancelledWaveReactivatesVmsThatDidNotReboot, Fixture) {
  fleet::Wave &Wave = addWave();
  Wave.Spec_.FirstBatch_ = 2;
  for (const auto &[Name, Vm] : Tables_.Vms_)
    NotDrained_.insert(Name);
  apply(plan());
  Wave.Spec_.Command_ = fleet::WaveCommand::Cancel;
  run(5);
  BOOST_TEST((status().Phase_ == WavePhase::Cancelled));
  BOOST_TEST(Reboots_.empty());
  for (const auto &[Name, Vm] : Tables_.Vms_)
    BOOST_TEST((Vm.Status_.Phase_ == VmPhase::Active));
}
