#include "cell/machinemanager.h"
#include "cell/tests/silentclient.h"
#include "journal/tests/fakestore.h"

#include <boost/test/unit_test.hpp>

#include <deque>

namespace laburnumspread::cell {

namespace {

using journal::FakeStore;

const journal::CellKeys Keys("cell/");
const MachineId Machine("m1");

/// Returns the list as of the time of the request.
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
    if (!UpkeepResults_.empty()) {
      const MachineResult Next = UpkeepResults_.front();
      UpkeepResults_.pop_front();
      return Next;
    }
    const auto Meanwhile = std::exchange(BeforeUpkeep_, nullptr);
    if (!Meanwhile)
      return MachineResult::Done;
    Meanwhile();
    return LostUpkeep_ ? MachineResult::Unknown : MachineResult::Done;
  }

  std::vector<MachineRecord> Machines_;
  /// Called between the next list request and its reply.
  std::function<void()> BeforeList_;
  /// Called between the next upkeep request and its reply, which may be lost.
  std::function<void()> BeforeUpkeep_;
  bool LostUpkeep_ = true;
  /// Results of the next upkeep requests.
  std::deque<MachineResult> UpkeepResults_;
  std::uint32_t Lists_ = 0;
  std::uint32_t Upkeeps_ = 0;
};

using TestedManager = MachineManager<FakeStore, SilentClient, FakeMachines>;

/// A leader, and a machine that is listed as down.
struct Fixture {
  Fixture() {
    BOOST_REQUIRE(*Leadership_.campaign());
    Term_ = std::make_shared<Term<FakeStore>>(Store_, Keys, Leadership_,
                                              Metrics_, bounds(), Evacuations_);
    Sessions_ = std::make_shared<WorkerSessions<FakeStore, SilentClient>>(
        Term_, Client_);
    Manager_ = std::make_shared<TestedManager>(Term_, Sessions_, Store_, Api_,
                                               reports());
    MachineRecord Down;
    Down.Id_ = Machine;
    Api_.Machines_ = {Down};
  }

  static WaveStatusCodec reports() {
    return {[](WaveNumber) { return std::string("wave"); },
            [](bool) { return std::string("told"); }};
  }

  /// No earlier leader has ordered the machine.
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
    // The loops use members of this fixture.
    while (Manager_.use_count() > 1 || Sessions_.use_count() > 2)
      framework::fibers::sleepFor(TestedManager::PlanInterval);
  }

  /// The machine's worker is listed, and its first reply is lost.
  void listWorker() {
    Row_->Record_.Incarnation_ = {WorkerId("w1"), 1};
    Row_->Record_.Machine_ = Machine;
    Row_->ListedAt_ = Term<FakeStore>::now();
    Row_->Unanswered_ = 1;
    Term_->Workers_[Row_->Record_.Incarnation_] = Row_;
    Manager_->recordWorker(Row_->Record_);
  }

  /// Starts a task on the worker.
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

  /// A wave requests the machine's upkeep, and orders may be sent.
  void beginUpkeep(std::vector<MachineId> Machines = {Machine}) {
    Api_.Machines_.front().State_ = MachineState::Up;
    Term_->JournalLoaded_ = true;
    Commits_ = boost::fibers::fiber([this] { Term_->Commits_.run([] {}); });
    WaveRecord Wave;
    Wave.Number_ = WaveNumber(7);
    Wave.Machines_ = std::move(Machines);
    Manager_->setWaves({{Wave.Number_, Wave}});
    Manager_->start();
  }

  std::uint64_t orders(const std::string &Result) {
    return Metrics_.counter("machine_orders_total{result=\"" + Result + "\"}")
        .value();
  }

  FakeStore Store_;
  SilentClient Client_;
  FakeMachines Api_;
  framework::metrics::Registry Metrics_;
  ZoneEvacuations Evacuations_;
  journal::Leadership<FakeStore> Leadership_{Store_, Keys, journal::Leader()};
  std::shared_ptr<Term<FakeStore>> Term_;
  std::shared_ptr<WorkerSessions<FakeStore, SilentClient>> Sessions_;
  std::shared_ptr<TestedManager> Manager_;
  WorkerRowPtr Row_ = std::make_shared<WorkerRow>();
  boost::fibers::fiber Commits_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MachineManagerTest, Fixture)

// Guards against tasks that start a second time while they run, on a worker
// that then gets no more. A list request took longer than MaxListLag; the
// worker came up after the request, and the reply still showed its machine as
// down. The list's age was counted from the reply, by when the worker had been
// silent for long enough.
BOOST_AUTO_TEST_CASE(ListAgeCountsFromTheRequest) {
  Api_.BeforeList_ = [&] {
    listWorker();
    while (
        !Row_->silentSince(Term<FakeStore>::now() - TestedManager::MaxListLag))
      framework::fibers::sleepFor(TestedManager::PlanInterval);
  };
  Manager_->start();
  while (Api_.Lists_ == 0)
    framework::fibers::sleepFor(TestedManager::PlanInterval);
  BOOST_TEST(!Row_->Ended_);
}

// Guards against losing healthy tasks with their machine. An order was not
// executed and got no reply; the worker restarted by itself, which settled the
// order, and received tasks. The order was then repeated regardless of them.
BOOST_AUTO_TEST_CASE(OrderIsNotRepeatedOnceNewTasksHaveStarted) {
  Api_.BeforeUpkeep_ = [&] {
    listWorker();
    startTask();
  };
  beginUpkeep();
  while (Api_.Upkeeps_ < 2 && orders("given_up") == 0)
    framework::fibers::sleepFor(TestedManager::PlanInterval);
  BOOST_TEST(Api_.Upkeeps_ == 1u);
}

// Guards against a worker that gets no tasks after an upkeep. The
// acknowledgement arrived when the machine was back and its new worker had a
// task, and was taken to end the incarnation on the machine at that time. The
// test waits for three more lists, which would end the worker.
BOOST_AUTO_TEST_CASE(LateAcknowledgementDoesNotEndTheNewWorker) {
  Api_.LostUpkeep_ = false;
  Api_.BeforeUpkeep_ = [&] {
    listWorker();
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

// Guards against more machines of a wave in upkeep than it allows: an order is
// executed without an answer, its repetition finds the machine busy, and the
// list does not show that yet.
BOOST_AUTO_TEST_CASE(BusyMachineCountsAsDownAfterAnUnansweredUpkeep) {
  MachineRecord Other = Api_.Machines_.front();
  Other.Id_ = MachineId("m2");
  Other.State_ = MachineState::Up;
  Api_.Machines_.push_back(Other);
  Api_.UpkeepResults_ = {MachineResult::Unknown, MachineResult::Busy};
  beginUpkeep({Machine, Other.Id_});
  while (orders("busy") == 0)
    framework::fibers::sleepFor(TestedManager::PlanInterval);
  framework::fibers::sleepFor(4 * TestedManager::PlanInterval);
  BOOST_TEST(Api_.Upkeeps_ == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
