#include "cell/machines.h"
#include "journal/tests/fakestore.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using journal::FakeStore;

const journal::CellKeys Keys("cell/");
const MachineId Machine("m1");

/// Answers nothing: workers' sessions are not opened here.
struct SilentClient {
  OrderReply start(const WorkerRecord &, const StartOrder &, Duration) {
    return {};
  }
  OrderReply stop(const WorkerRecord &, const jobs::RunName &,
                  jobs::FencingToken, Duration) {
    return {};
  }
  HoldReply hold(const WorkerRecord &, const HoldOrder &, Duration) {
    return {};
  }
  OrderReply pace(const WorkerRecord &, const jobs::RunName &, int,
                  jobs::FencingToken, Duration) {
    return {};
  }
  void forget(const WorkerRecord &) {}
};

/// Lists what it knew when it was asked.
struct FakeMachines {
  absl::StatusOr<std::vector<MachineRecord>> list() {
    const std::vector<MachineRecord> Known = Machines_;
    if (const auto Meanwhile = std::exchange(BeforeList_, nullptr))
      Meanwhile();
    ++Lists_;
    return Known;
  }
  MachineResult move(const MachineId &, const PoolName &, jobs::FencingToken) {
    return MachineResult::Done;
  }
  MachineResult upkeep(const MachineId &, WaveNumber, jobs::FencingToken) {
    return MachineResult::Done;
  }

  std::vector<MachineRecord> Machines_;
  /// Happens between the next list and its answer.
  std::function<void()> BeforeList_;
  std::uint32_t Lists_ = 0;
};

using TestedMachines = Machines<FakeStore, SilentClient, FakeMachines>;

/// A holder, and a machine that is listed as down.
struct Fixture {
  Fixture() {
    BOOST_REQUIRE(*Lead_.campaign());
    Term_ = std::make_shared<Term<FakeStore>>(Store_, Keys, Lead_, Metrics_,
                                              CellBounds());
    Talks_ =
        std::make_shared<Sessions<FakeStore, SilentClient>>(Term_, Client_);
    Tested_ = std::make_shared<TestedMachines>(Term_, Talks_, Store_, Api_,
                                               WaveReports());
    MachineRecord Down;
    Down.Id_ = Machine;
    Api_.Machines_ = {Down};
  }

  ~Fixture() {
    Term_->Over_ = true;
    // Its loops use what goes with this fixture.
    while (Tested_.use_count() > 1)
      framework::fibers::sleepFor(TestedMachines::PlanEvery);
  }

  /// The machine's worker comes up, and its first answer is lost.
  void comeUp() {
    Row_->Record_.Life_ = {WorkerId("w1"), 1};
    Row_->Record_.Machine_ = Machine;
    Row_->ListedAt_ = Term<FakeStore>::now();
    Row_->Unanswered_ = 1;
    Term_->Workers_[Row_->Record_.Life_] = Row_;
  }

  FakeStore Store_;
  SilentClient Client_;
  FakeMachines Api_;
  framework::metrics::Registry Metrics_;
  journal::Leadership<FakeStore> Lead_{Store_, Keys, journal::Holder()};
  std::shared_ptr<Term<FakeStore>> Term_;
  std::shared_ptr<Sessions<FakeStore, SilentClient>> Talks_;
  std::shared_ptr<TestedMachines> Tested_;
  WorkerRowPtr Row_ = std::make_shared<WorkerRow>();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MachinesTest, Fixture)

// Tasks start a second time while they work, and a new worker gets no more. A
// list of machines takes longer than it may be old; the worker comes up after
// it was asked for, and it still shows the machine as down. Its age was counted
// from its answer, so by then the worker had been silent for long enough.
BOOST_AUTO_TEST_CASE(ListIsAsOldAsItsQuestion) {
  Api_.BeforeList_ = [&] {
    comeUp();
    while (!Row_->silentSince(Term<FakeStore>::now() - TestedMachines::ListLag))
      framework::fibers::sleepFor(TestedMachines::PlanEvery);
  };
  Tested_->start();
  while (Api_.Lists_ == 0)
    framework::fibers::sleepFor(TestedMachines::PlanEvery);
  BOOST_TEST(!Row_->Over_);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
