#include "cell/workerfollower.h"
#include "cell/tests/silentclient.h"
#include "journal/tests/fakestore.h"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>

namespace laburnumspread::cell {

namespace {

using journal::FakeStore;

const journal::CellKeys Keys("cell/");
const std::string Prefix = "workers/";

/// A machine service that is not asked anything here.
struct UnusedMachines {
  absl::StatusOr<std::vector<MachineRecord>> list() {
    return std::vector<MachineRecord>();
  }
  MachineResult move(const MachineId &, const PoolName &, jobs::FencingToken) {
    return MachineResult::Refused;
  }
  MachineResult upkeep(const MachineId &, WaveNumber, jobs::FencingToken) {
    return MachineResult::Refused;
  }
};

using Manager = MachineManager<FakeStore, SilentClient, UnusedMachines>;
using Follower = WorkerFollower<FakeStore, SilentClient, UnusedMachines>;

const PoolName Pool("pool");
const PoolName OtherPool("other");

/// Reads an entry whose value is "MACHINE STARTED_MS POOL".
std::optional<WorkerRecord> readEntry(const store::KeyValue &Item) {
  std::istringstream Value(Item.Value_);
  std::string Machine, Pool;
  std::int64_t StartedMs = 0;
  Value >> Machine >> StartedMs >> Pool;
  WorkerRecord Record;
  Record.Incarnation_ = {WorkerId(Item.Key_.substr(Prefix.size())), StartedMs};
  Record.Machine_ = MachineId(Machine);
  Record.Pool_ = PoolName(Pool);
  return Record;
}

/// A new leader that reads the list of workers.
struct Fixture {
  Fixture() {
    BOOST_REQUIRE(*Leadership_.campaign());
    Term_ = std::make_shared<Term<FakeStore>>(
        Store_, Keys, Leadership_, Metrics_, CellBounds(), Evacuations_);
    Term_->Config_.Pools_[Pool] = PoolConfig{Pool};
    Sessions_ = std::make_shared<WorkerSessions<FakeStore, SilentClient>>(
        Term_, Client_);
    Machines_ = std::make_shared<Manager>(
        Term_, Sessions_, Store_, Api_,
        WaveStatusCodec{[](WaveNumber) { return std::string(); },
                        [](bool) { return std::string(); }});
    Follower_ =
        std::make_shared<Follower>(Store_, WorkerDirectory{Prefix, readEntry},
                                   Term_, Sessions_, Machines_);
  }

  ~Fixture() {
    Term_->Ended_ = true;
    // The sessions use members of this fixture.
    while (Sessions_.use_count() > 3 || Follower_.use_count() > 1)
      framework::fibers::sleepFor(Follower::RetryPause);
  }

  void list(const std::string &Worker, const std::string &Machine,
            std::int64_t StartedMs, const PoolName &Of = Pool) {
    store::Transaction Txn;
    Txn.Puts_ = {{Prefix + Worker,
                  Machine + " " + std::to_string(StartedMs) + " " + Of.str(),
                  0}};
    BOOST_REQUIRE(Store_.commit(Txn, {}).ok());
  }

  void listMany() {
    for (std::size_t I = 0; I < ManyWorkers; ++I)
      list("w" + std::to_string(I), "m" + std::to_string(I), 1);
  }

  void follow() {
    framework::fibers::spawn([Self = Follower_] { Self->follow(); });
  }

  /// Lets the other fibers run until the condition holds.
  template <typename Condition> void runUntil(const Condition &Holds) {
    while (!Holds())
      boost::this_fiber::yield();
  }

  /// Number of workers that the leader has taken in.
  std::size_t taken() const { return Term_->Workers_.size(); }

  static constexpr std::size_t ManyWorkers = 2000;

  FakeStore Store_;
  SilentClient Client_;
  UnusedMachines Api_;
  framework::metrics::Registry Metrics_;
  ZoneEvacuations Evacuations_;
  journal::Leadership<FakeStore> Leadership_{Store_, Keys, journal::Leader()};
  std::shared_ptr<Term<FakeStore>> Term_;
  std::shared_ptr<WorkerSessions<FakeStore, SilentClient>> Sessions_;
  std::shared_ptr<Manager> Machines_;
  std::shared_ptr<Follower> Follower_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerFollowerTest, Fixture)

// Guards against a new leader of thousands of workers that opens all sessions
// at once: its renewals waited behind them until its lease had expired.
BOOST_AUTO_TEST_CASE(OtherFibersRunWhileALongListIsTakenIn) {
  listMany();
  follow();
  std::size_t Before = 0, MostAtOnce = 0;
  runUntil([&] {
    MostAtOnce = std::max(MostAtOnce, taken() - Before);
    Before = taken();
    return Before == ManyWorkers;
  });
  BOOST_TEST(MostAtOnce <= Follower::ListBatch);
}

BOOST_AUTO_TEST_CASE(WorkersInUseAreTakenInFirst) {
  listMany();
  const WorkerIncarnation InUse{WorkerId("w999"), 1};
  jobs::JobAccepted Job;
  Job.Spec_.Id_ = jobs::JobId("0123456789abcdef");
  Job.Spec_.Steps_.resize(1);
  Term_->Commits_.stage(Job);
  Term_->Commits_.stage(
      jobs::RunIntended{{{Job.Spec_.Id_, 0, 0, 0}, jobs::RunNumber(1)}, InUse});
  follow();
  runUntil([&] { return taken() > 0; });
  BOOST_TEST(taken() < ManyWorkers);
  BOOST_TEST(Term_->Workers_.contains(InUse));
}

BOOST_AUTO_TEST_CASE(WorkerReplacesTheFormerOneOnItsMachine) {
  list("w1", "m1", 1);
  list("w2", "m2", 1);
  follow();
  runUntil([&] { return taken() == 2; });
  const WorkerRowPtr Former = Term_->Workers_.at({WorkerId("w1"), 1});
  const WorkerRowPtr Other = Term_->Workers_.at({WorkerId("w2"), 1});
  list("w3", "m1", 2);
  runUntil([&] { return Former->Ended_; });
  BOOST_TEST(!Other->Ended_);
}

BOOST_AUTO_TEST_CASE(IncarnationReplacesTheFormerOneOfItsId) {
  list("w1", "m1", 1);
  list("w10", "m2", 1);
  follow();
  runUntil([&] { return taken() == 2; });
  const WorkerRowPtr Former = Term_->Workers_.at({WorkerId("w1"), 1});
  const WorkerRowPtr Other = Term_->Workers_.at({WorkerId("w10"), 1});
  list("w1", "m1", 2);
  runUntil([&] { return Former->Ended_; });
  BOOST_TEST(!Other->Ended_);
}

// Guards against tasks that run twice because an agent of another team is
// listed on their worker's machine, or under its id.
BOOST_AUTO_TEST_CASE(WorkerOfAnUnknownPoolReplacesNone) {
  list("w1", "m1", 1);
  list("w2", "m2", 1);
  follow();
  runUntil([&] { return taken() == 2; });
  list("agent", "m1", 2, OtherPool);
  list("w2", "m2", 2, OtherPool);
  list("w3", "m3", 1);
  runUntil([&] { return taken() >= 3; });
  for (const auto &[Incarnation, Row] : Term_->Workers_)
    BOOST_TEST(!Row->Ended_);
}

// Guards against workers of a new pool that are never used, as they were listed
// before the leader had its configuration.
BOOST_AUTO_TEST_CASE(WorkerIsTakenInOnceItsPoolIsConfigured) {
  list("w1", "m1", 1, OtherPool);
  list("w2", "m2", 1);
  follow();
  runUntil([&] { return taken() >= 1; });
  Follower_->takeInConfiguredWorkers();
  BOOST_TEST(taken() == 1u);
  Term_->Config_.Pools_[OtherPool] = PoolConfig{OtherPool};
  Follower_->takeInConfiguredWorkers();
  BOOST_TEST(taken() == 2u);
}

// Guards against runs whose leases are not renewed by a new leader, as their
// pool was removed from the configuration.
BOOST_AUTO_TEST_CASE(WorkerInUseIsKeptThoughItsPoolWasRemoved) {
  const WorkerIncarnation InUse{WorkerId("w1"), 1};
  jobs::JobAccepted Job;
  Job.Spec_.Id_ = jobs::JobId("0123456789abcdef");
  Job.Spec_.Steps_.resize(1);
  Term_->Commits_.stage(Job);
  Term_->Commits_.stage(
      jobs::RunIntended{{{Job.Spec_.Id_, 0, 0, 0}, jobs::RunNumber(1)}, InUse});
  list("w1", "m1", 1, OtherPool);
  list("w2", "m2", 1);
  follow();
  // Workers in use are taken in first.
  runUntil([&] { return Term_->Workers_.contains({WorkerId("w2"), 1}); });
  BOOST_TEST(Term_->Workers_.contains(InUse));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
