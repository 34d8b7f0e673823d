#include "cell/taskplanner.h"
#include "cell/tests/silentclient.h"
#include "journal/tests/fakestore.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using journal::FakeStore;

const journal::CellKeys Keys("cell/");
const ZoneName Zone("z1");
const MachineId Machine("m1");
const PoolName Pool("pool");

/// A machine service that is not asked anything here.
struct UnusedMachines {
  absl::StatusOr<std::vector<MachineRecord>> list() {
    return absl::UnavailableError("not needed");
  }
  MachineResult move(const MachineId &, const PoolName &, jobs::FencingToken) {
    return MachineResult::Refused;
  }
  MachineResult upkeep(const MachineId &, WaveNumber, jobs::FencingToken) {
    return MachineResult::Refused;
  }
};

using Manager = MachineManager<FakeStore, SilentClient, UnusedMachines>;
using Planner = TaskPlanner<FakeStore, SilentClient, UnusedMachines>;

/// A leader with a waiting task and one worker.
struct Fixture {
  Fixture() {
    BOOST_REQUIRE(*Leadership_.campaign());
    Term_ = std::make_shared<Term<FakeStore>>(
        Store_, Keys, Leadership_, Metrics_, CellBounds(), Evacuations_);
    Sessions_ = std::make_shared<WorkerSessions<FakeStore, SilentClient>>(
        Term_, Client_);
    Machines_ = std::make_shared<Manager>(
        Term_, Sessions_, Store_, Api_,
        WaveStatusCodec{[](WaveNumber) { return std::string(); },
                        [](bool) { return std::string(); }});
    Planner_ =
        std::make_shared<Planner>(Term_, Sessions_, Machines_, AskAdvisor());
    QueueConfig Queue;
    Queue.Name_ = QueueName("q");
    Queue.Pool_ = Pool;
    Term_->Config_.Queues_ = {Queue};
    Row_->Record_.Incarnation_ = {WorkerId("w1"), 1};
    Row_->Record_.Pool_ = Pool;
    Row_->Record_.Machine_ = Machine;
    Row_->Record_.Zone_ = Zone;
    Row_->Record_.Capacity_ = {1000, 1000, 0};
    Row_->Synced_ = true;
    Row_->HasSession_ = true;
    Term_->Workers_[Row_->Record_.Incarnation_] = Row_;
    Machines_->recordWorker(Row_->Record_);
    jobs::JobAccepted Job;
    Job.Spec_.Id_ = jobs::JobId("0123456789abcdef");
    Job.Spec_.Queue_ = QueueName("q");
    Job.Spec_.Steps_.resize(1);
    Term_->Commits_.stage(Job);
  }

  ~Fixture() { Term_->Ended_ = true; }

  bool hasRun() const {
    return Term_->Table_.usageOf(Row_->Record_.Incarnation_);
  }

  /// Whether the worker counts as restricted by \p Reason and nothing else, and
  /// a pass starts nothing on it.
  bool restrictedBy(WorkerRestriction Reason) {
    framework::fibers::sleepFor(PauseAfterPass);
    Planner_->runPass();
    return Planner_->countWorkers().of(Reason) == 1 && !hasRun();
  }

  /// Longer than the pause after a short pass.
  static constexpr Duration PauseAfterPass = std::chrono::milliseconds(10);

  FakeStore Store_;
  SilentClient Client_;
  UnusedMachines Api_;
  framework::metrics::Registry Metrics_;
  ZoneEvacuations Evacuations_;
  journal::Leadership<FakeStore> Leadership_{Store_, Keys, journal::Leader()};
  std::shared_ptr<Term<FakeStore>> Term_;
  std::shared_ptr<WorkerSessions<FakeStore, SilentClient>> Sessions_;
  std::shared_ptr<Manager> Machines_;
  std::shared_ptr<Planner> Planner_;
  WorkerRowPtr Row_ = std::make_shared<WorkerRow>();
};

} // namespace

// Guards against a count that differs from what the passes go by.
BOOST_FIXTURE_TEST_SUITE(WorkerRestrictionTest, Fixture)

BOOST_AUTO_TEST_CASE(RestrictedWorkerIsCountedAndGetsNoTask) {
  const WorkerRow Usable = *Row_;
  const std::pair<WorkerRestriction, std::function<void()>> Cases[] = {
      {WorkerRestriction::Unlisted, [&] { Row_->Listed_ = false; }},
      {WorkerRestriction::Ended, [&] { Row_->Ended_ = true; }},
      {WorkerRestriction::StaleStarts,
       [&] { Row_->MayRunStaleStarts_ = true; }},
      {WorkerRestriction::Draining, [&] { Row_->Record_.Draining_ = true; }},
      {WorkerRestriction::Silent,
       [&] { Row_->Unanswered_ = MaxUnansweredInUse + 1; }},
      {WorkerRestriction::EvacuatedZone, [&] { Evacuations_.add(Zone); }}};
  for (const auto &[Reason, Restrict] : Cases) {
    *Row_ = Usable;
    Restrict();
    BOOST_TEST(restrictedBy(Reason), nameOf(Reason));
  }
}

BOOST_AUTO_TEST_CASE(WorkerIsUsableAfterOneLostReply) {
  Row_->Unanswered_ = MaxUnansweredInUse;
  BOOST_TEST(Planner_->countWorkers().of(WorkerRestriction::None) == 1u);
  Planner_->runPass();
  BOOST_TEST(hasRun());
}

BOOST_AUTO_TEST_CASE(UnreadEnds) {
  WorkerRow Former = *Row_;
  Former.EndsStored_ = 1;
  Former.recordHold(Former.nextPoll(Duration::zero()), Term_->now());
  Term_->History_.recordEnd(Former);
  Row_->markSynced(Term_->now(), CellBounds().MaxLease_);
  BOOST_TEST(restrictedBy(WorkerRestriction::UnreadEnds));
}

BOOST_AUTO_TEST_CASE(OrdersUnansweredThenOnTrial) {
  for (std::uint32_t I = 0; I < OrderHealth::MaxUnanswered; ++I)
    Row_->Orders_.recordStart(OrderResult::Unknown, Term_->now(), 1);
  BOOST_TEST(restrictedBy(WorkerRestriction::OrdersUnanswered));
  framework::fibers::sleepFor(OrderHealth::FirstPause);
  BOOST_TEST(Planner_->countWorkers().of(WorkerRestriction::OnTrial) == 1u);
  Planner_->runPass();
  BOOST_TEST(hasRun());
}

BOOST_AUTO_TEST_CASE(FirstReply) {
  Planner_->runPass();
  Row_->Synced_ = false;
  BOOST_TEST(Planner_->countWorkers().of(WorkerRestriction::FirstReply) == 1u);
  BOOST_TEST(!Term_->acceptsTasks(*Row_));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(MachineRestrictionTest)

BOOST_AUTO_TEST_CASE(OpenOrderThenCordon) {
  MachineTable Table{Duration::zero()};
  const TimePoint Now = framework::clock::SteadyClock().now();
  Table.orderSent(Machine, MachineOrderKind::Move, Duration::zero(), Now);
  BOOST_TEST(nameOf(Table.restrictionOf(Machine)) == "machine_order");
  Table.orderRefused(Machine, Now);
  MachineRecord Listed;
  Listed.Id_ = Machine;
  Table.updateFromList({Listed}, Now);
  BOOST_TEST(nameOf(Table.restrictionOf(Machine)) == "usable");
  Table.findView(Machine)->Cordoned_ = true;
  BOOST_TEST(nameOf(Table.restrictionOf(Machine)) == "cordoned");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
