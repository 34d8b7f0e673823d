#include "cell/cellservice.h"
#include "cell/tests/silentclient.h"
#include "framework/fibers/spawn.h"
#include "jobs/eventcodec.h"
#include "journal/tests/fakestore.h"

#include <boost/test/unit_test.hpp>

// A leader that is told to leave while calls and reports keep its journal busy.

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

const journal::CellKeys Keys("cell/");
const QueueName Queue("q");

/// A store that needs some time for each write and counts those to the journal.
class BusyStore : public journal::FakeStore {
public:
  absl::StatusOr<store::TransactionResult> commit(const store::Transaction &Txn,
                                                  store::TimePoint Deadline) {
    framework::fibers::sleepFor(WriteTime);
    for (const store::Put &Item : Txn.Puts_)
      JournalWrites_ += Item.Key_.starts_with(Keys.logPrefix());
    return FakeStore::commit(Txn, Deadline);
  }

  absl::Status watch(const std::string &, fleet::Revision,
                     const std::function<bool(const store::WatchBatch &)> &) {
    framework::fibers::sleepFor(1h);
    return absl::UnavailableError("no events");
  }

  static constexpr auto WriteTime = 5ms;
  std::size_t JournalWrites_ = 0;
};

struct NoMachines {
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

/// A leader that gets a job each millisecond, and something else to store, as
/// with the reports of workers, which go on while it leaves. Never destroyed:
/// its fibers run until the process exits.
struct BusyLeader {
  BusyLeader() {
    CellConfig Config;
    Config.Version_ = ConfigVersion(1);
    Config.Queues_.emplace_back().Name_ = Queue;
    InForce_.replace(Config);
    Leader_.start("127.0.0.1:1");
    while (!Leader_.leads())
      framework::fibers::sleepFor(1ms);
    framework::fibers::spawn([this] {
      while (!Stopped_) {
        submit(++Submitted_);
        if (Leader_.term())
          Leader_.term()->Commits_.stage(
              jobs::MachineOrdered{MachineId("m"), PoolName()});
        framework::fibers::sleepFor(1ms);
      }
    });
  }

  void submit(std::uint64_t Number) {
    const std::string Digits = std::to_string(Number);
    jobs::JobSpec Spec;
    Spec.Id_ = jobs::JobId(std::string(16 - Digits.size(), '0') + Digits);
    Spec.Queue_ = Queue;
    Spec.Steps_.emplace_back().PerTask_ = {1000, 100, 0};
    peers::JobCall Call;
    Call.Sequence_ = Number;
    Call.Kind_ = peers::JobCallKind::Submit;
    Call.Job_ = Spec.Id_.str();
    Call.Spec_ = jobs::encodeGroup({jobs::JobAccepted{Spec}});
    Leader_.handle(Call, [this](const peers::JobReply &Reply) {
      ++Replies_[Reply.Status_];
      if (Reply.Status_ == peers::JobCallStatus::NotLeader)
        SaidLeaving_ += Reply.Refusal_ == peers::RefusalReason::Leaving;
    });
  }

  void waitForAcceptedJobs() {
    while (Replies_[peers::JobCallStatus::Ok] < 10)
      framework::fibers::sleepFor(1ms);
  }

  BusyStore Store_;
  SilentClient Workers_;
  NoMachines Machines_;
  framework::metrics::Registry Metrics_;
  ConfigInForce InForce_{Duration::zero()};
  CellService<BusyStore, SilentClient, NoMachines> Leader_{
      Store_,
      Workers_,
      Machines_,
      WorkerDirectory{
          "servers/",
          [](const store::KeyValue &) -> std::optional<WorkerRecord> {
            return std::nullopt;
          }},
      WaveStatusCodec{[](WaveNumber) { return std::string("wave"); },
                      [](bool) { return std::string(); }},
      [](const scheduling::StepName &, const std::vector<WorkerId> &)
          -> absl::StatusOr<scheduling::AdviceReply> {
        return absl::UnavailableError("no advisor");
      },
      Candidacy(1),
      Keys,
      journal::Leader(),
      CellBounds(),
      InForce_,
      Metrics_};
  std::map<peers::JobCallStatus, std::size_t> Replies_;
  std::size_t SaidLeaving_ = 0;
  std::uint64_t Submitted_ = 0;
  bool Stopped_ = false;
};

struct Fixture {
  Fixture() {
    Former_.waitForAcceptedJobs();
    WritesBefore_ = Former_.Store_.JournalWrites_;
    Former_.Leader_.handOver();
    Former_.Stopped_ = true;
  }

  BusyLeader &Former_ = *new BusyLeader();
  std::size_t WritesBefore_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HandOverTest, Fixture)

// Guards against a cell without a leader for a second at each planned stop: the
// leader waits for its journal to be idle, and under load it never is.
BOOST_AUTO_TEST_CASE(BusyLeaderReleasesTheCellAfterWhatIsStaged) {
  BOOST_TEST(!Former_.Store_.has(Keys.head()));
  // The group that is being written, and the one that waits for it.
  BOOST_TEST(Former_.Store_.JournalWrites_ - WritesBefore_ <= 2u);
}

// Guards against jobs that are refused, to return a second later all at once,
// although a successor would accept them within their time.
BOOST_AUTO_TEST_CASE(LeavingLeaderPassesCallsOn) {
  BOOST_TEST(Former_.Replies_[peers::JobCallStatus::Refused] == 0u);
  BOOST_TEST(Former_.SaidLeaving_ ==
             Former_.Replies_[peers::JobCallStatus::NotLeader]);
}

// Guards against a caller that is told "unknown" about a job that the store
// holds, because the leader left between the write and its answer.
BOOST_AUTO_TEST_CASE(AcceptedJobsAreAnswered) {
  BOOST_TEST(Former_.Replies_[peers::JobCallStatus::Unknown] == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
