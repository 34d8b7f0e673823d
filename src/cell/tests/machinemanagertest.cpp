#include "cell/machinemanager.h"
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
    ++Upkeeps_;
    const auto Meanwhile = std::exchange(BeforeUpkeep_, nullptr);
    if (!Meanwhile)
      return MachineResult::Done;
    Meanwhile();
    return LostUpkeep_ ? MachineResult::Unknown : MachineResult::Done;
  }

  std::vector<MachineRecord> Machines_;
  /// Happens between the next list and its answer.
  std::function<void()> BeforeList_;
  /// Happens between the next upkeep and its answer, which may be lost.
  std::function<void()> BeforeUpkeep_;
  bool LostUpkeep_ = true;
  std::uint32_t Lists_ = 0;
  std::uint32_t Upkeeps_ = 0;
};

using TestedManager = MachineManager<FakeStore, SilentClient, FakeMachines>;

/// A holder, and a machine that is listed as down.
struct Fixture {
  Fixture() {
    BOOST_REQUIRE(*Leadership_.campaign());
    Term_ = std::make_shared<Term<FakeStore>>(Store_, Keys, Leadership_,
                                              Metrics_, bounds());
    Sessions_ = std::make_shared<WorkerSessions<FakeStore, SilentClient>>(
        Term_, Client_);
    Tested_ = std::make_shared<TestedManager>(Term_, Sessions_, Store_, Api_,
                                              reports());
    MachineRecord Down;
    Down.Id_ = Machine;
    Api_.Machines_ = {Down};
  }

  static WaveStatusCodec reports() {
    return {[](WaveNumber) { return std::string("wave"); },
            [](bool) { return std::string("told"); }};
  }

  /// Nobody has ordered the machine before.
  static CellBounds bounds() {
    CellBounds Result;
    Result.MachineOrderLease_ = Duration::zero();
    return Result;
  }

  ~Fixture() {
    Term_->Ended_ = true;
    Term_->Commits_.stop();
    if (Commits_.joinable())
      Commits_.join();
    // Its loops use what goes with this fixture.
    while (Tested_.use_count() > 1 || Sessions_.use_count() > 2)
      framework::fibers::sleepFor(TestedManager::PlanInterval);
  }

  /// The machine's worker comes up, and its first answer is lost.
  void comeUp() {
    Row_->Record_.Incarnation_ = {WorkerId("w1"), 1};
    Row_->Record_.Machine_ = Machine;
    Row_->ListedAt_ = Term<FakeStore>::now();
    Row_->Unanswered_ = 1;
    Term_->Workers_[Row_->Record_.Incarnation_] = Row_;
    Tested_->recordWorker(Row_->Record_);
  }

  /// A task starts on the worker.
  void startTask() {
    jobs::JobAccepted Job;
    Job.Spec_.Id_ = jobs::JobId("0123456789abcdef");
    Job.Spec_.Steps_.resize(1);
    Term_->Commits_.stage(Job);
    jobs::RunIntended Start;
    Start.Run_ = {{Job.Spec_.Id_, 0, 0, 0}, jobs::RunNumber(1)};
    Start.Worker_ = Row_->Record_.Incarnation_;
    Term_->Commits_.stage(Start);
  }

  /// A wave asks for the machine's upkeep, and orders may leave.
  void beginUpkeep() {
    Api_.Machines_.front().State_ = MachineState::Up;
    Term_->JournalLoaded_ = true;
    Commits_ = boost::fibers::fiber([this] { Term_->Commits_.run([] {}); });
    WaveRecord Wave;
    Wave.Number_ = WaveNumber(7);
    Wave.Machines_ = {Machine};
    Tested_->setWaves({{Wave.Number_, Wave}});
    Tested_->start();
  }

  std::uint64_t orders(const std::string &Result) {
    return Metrics_.counter("machine_orders_total{result=\"" + Result + "\"}")
        .value();
  }

  FakeStore Store_;
  SilentClient Client_;
  FakeMachines Api_;
  framework::metrics::Registry Metrics_;
  journal::Leadership<FakeStore> Leadership_{Store_, Keys, journal::Leader()};
  std::shared_ptr<Term<FakeStore>> Term_;
  std::shared_ptr<WorkerSessions<FakeStore, SilentClient>> Sessions_;
  std::shared_ptr<TestedManager> Tested_;
  WorkerRowPtr Row_ = std::make_shared<WorkerRow>();
  boost::fibers::fiber Commits_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MachineManagerTest, Fixture)

// Tasks start a second time while they work, and a new worker gets no more. A
// list of machines takes longer than it may be old; the worker comes up after
// it was asked for, and it still shows the machine as down. Its age was counted
// from its answer, so by then the worker had been silent for long enough.
BOOST_AUTO_TEST_CASE(ListIsAsOldAsItsQuestion) {
  Api_.BeforeList_ = [&] {
    comeUp();
    while (
        !Row_->silentSince(Term<FakeStore>::now() - TestedManager::MaxListLag))
      framework::fibers::sleepFor(TestedManager::PlanInterval);
  };
  Tested_->start();
  while (Api_.Lists_ == 0)
    framework::fibers::sleepFor(TestedManager::PlanInterval);
  BOOST_TEST(!Row_->Ended_);
}

// Tasks are lost with their machine while nothing is wrong with them. An order
// has no answer and was not carried out; the machine's worker starts again by
// itself, which settles the order, and is given tasks. The order was said again
// without a look at them.
BOOST_AUTO_TEST_CASE(OrderIsNotRepeatedOverTasksThatHaveStartedSince) {
  Api_.BeforeUpkeep_ = [&] {
    comeUp();
    startTask();
  };
  beginUpkeep();
  while (Api_.Upkeeps_ < 2 && orders("given_up") == 0)
    framework::fibers::sleepFor(TestedManager::PlanInterval);
  BOOST_TEST(Api_.Upkeeps_ == 1u);
}

// A worker after an upkeep gets no work: the answer comes when the machine is
// back and its new worker has been given a task, and was taken for word of
// whatever life is on the machine then. Lists are read until one would tell.
BOOST_AUTO_TEST_CASE(AnswerThatComesAfterTheNewWorkerSparesIt) {
  Api_.LostUpkeep_ = false;
  Api_.BeforeUpkeep_ = [&] {
    comeUp();
    startTask();
  };
  beginUpkeep();
  while (orders("done") == 0)
    framework::fibers::sleepFor(TestedManager::PlanInterval);
  const std::uint32_t Before = Api_.Lists_;
  while (Api_.Lists_ < Before + 3)
    framework::fibers::sleepFor(TestedManager::PlanInterval);
  BOOST_TEST(!Row_->Ended_);
  BOOST_TEST(Term_->Table_.usageOf(Row_->Record_.Incarnation_));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
