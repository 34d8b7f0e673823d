#include "cell/jobcallhandler.h"
#include "cell/tests/silentclient.h"
#include "jobs/eventcodec.h"
#include "journal/tests/fakestore.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;
using journal::FakeStore;
using peers::JobCallStatus;
using peers::RefusalReason;

const journal::CellKeys Keys("cell/");
const QueueName Queue("q");
const PoolName Pool("pool");
const jobs::WorkspaceName Workspace("w");

/// A term whose pool of one core has work for an hour.
struct Fixture {
  Fixture() {
    BOOST_REQUIRE(*Leadership_.campaign());
    Term_ = std::make_shared<Term<FakeStore>>(
        Store_, Keys, Leadership_, Metrics_, CellBounds(), Evacuations_);
    Term_->Config_.Queues_.emplace_back().Name_ = Queue;
    Term_->Config_.Queues_.back().Pool_ = Pool;
    Handler_ = std::make_unique<JobCallHandler<FakeStore, SilentClient>>(
        Term_, nullptr);
  }

  ~Fixture() { Term_->Ended_ = true; }

  void fillPool() const {
    scheduling::PoolBacklog Item;
    Item.Pool_ = Pool;
    Item.At_ = Term_->now();
    Item.Capacity_.add({1000, 1000, 0});
    Item.Workspaces_[Workspace].Parts_[{false, 0}].Begun_ = {3.6e12, 0};
    Item.Workspaces_[Workspace].Parts_[{false, 0}].All_ = {3.6e12, 0};
    Term_->Admission_.rebuild({Item});
  }

  static jobs::JobSpec job(const char *Id) {
    jobs::JobSpec Spec;
    Spec.Id_ = jobs::JobId(Id);
    Spec.Queue_ = Queue;
    Spec.Workspace_ = Workspace;
    Spec.Steps_.emplace_back().PerTask_ = {1000, 100, 0};
    Spec.Steps_.back().Estimate_ = 1s;
    return Spec;
  }

  /// Returns the reply, or nullopt if it waits for the store.
  std::optional<peers::JobReply> submit(const jobs::JobSpec &Spec,
                                        bool Leaving = false) {
    peers::JobCall Call;
    Call.Kind_ = peers::JobCallKind::Submit;
    Call.Job_ = Spec.Id_.str();
    Call.Spec_ = jobs::encodeGroup({jobs::JobAccepted{Spec}});
    std::optional<peers::JobReply> Result;
    Handler_->handle(Call, Leaving,
                     [&](const peers::JobReply &Reply) { Result = Reply; });
    return Result;
  }

  bool known(const jobs::JobSpec &Spec) const {
    return Term_->Table_.find(Spec.Id_) != nullptr;
  }

  void checkRefused(const std::optional<peers::JobReply> &Reply,
                    RefusalReason Reason) const {
    BOOST_REQUIRE(Reply);
    BOOST_TEST((Reply->Status_ == JobCallStatus::Refused));
    BOOST_TEST((Reply->Refusal_ == Reason));
  }

  FakeStore Store_;
  framework::metrics::Registry Metrics_;
  ZoneEvacuations Evacuations_;
  journal::Leadership<FakeStore> Leadership_{Store_, Keys, journal::Leader()};
  std::shared_ptr<Term<FakeStore>> Term_;
  std::unique_ptr<JobCallHandler<FakeStore, SilentClient>> Handler_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobCallHandlerTest, Fixture)

// Guards against a refused job that is stored all the same and runs later, and
// against a new leader that refuses before it has planned.
BOOST_AUTO_TEST_CASE(JobOfAFullPoolIsRefusedAndNotStored) {
  submit(job("0000000000000001"));
  BOOST_TEST(known(job("0000000000000001")));
  fillPool();
  const jobs::JobSpec Refused = job("0000000000000002");
  const auto Reply = submit(Refused);
  checkRefused(Reply, RefusalReason::PoolFull);
  BOOST_TEST(Reply->RetryAfterMs_ == 10'000u);
  BOOST_TEST(!known(Refused));
  BOOST_TEST(
      Metrics_.counter("jobs_refused_total{reason=\"pool_full\"}").value() ==
      1u);
}

// Guards against refusing a job that was accepted: a caller that lost the
// answer sends it again.
BOOST_AUTO_TEST_CASE(KnownJobIsNeverRefused) {
  const jobs::JobSpec Known = job("0000000000000001");
  submit(Known);
  fillPool();
  const auto Reply = submit(Known);
  BOOST_TEST((!Reply || Reply->Status_ == JobCallStatus::Ok));
}

// Guards against retries that are not told from new jobs.
BOOST_AUTO_TEST_CASE(RetriesAreCounted) {
  fillPool();
  const jobs::JobSpec Job = job("0000000000000001");
  submit(Job);
  submit(Job);
  Term_->Admission_.rebuild({});
  submit(Job);
  BOOST_TEST(known(Job));
  const auto Count = [&](const char *Name) {
    return Metrics_.counter(Name).value();
  };
  BOOST_TEST(Count("jobs_retried_total{result=\"refused\"}") == 1u);
  BOOST_TEST(Count("jobs_retried_total{result=\"accepted\"}") == 1u);
  BOOST_TEST(Metrics_.histogram("refused_retry_seconds").count() == 2u);
}

// Guards against an operator who looks for an outage of the store while the
// entry is only leaving.
BOOST_AUTO_TEST_CASE(LeavingEntrySaysThatItLeavesAlsoDuringAnOutage) {
  checkRefused(submit(job("0000000000000001"), true), RefusalReason::Leaving);
  Term_->Ended_ = true;
  checkRefused(submit(job("0000000000000001"), true), RefusalReason::Leaving);
}

// Guards against callers that all return in the same moment after an outage.
BOOST_AUTO_TEST_CASE(OutageDelaysAreSpread) {
  Term_->Ended_ = true;
  std::set<std::uint64_t> Delays;
  for (char Digit = '0'; Digit <= '9'; ++Digit) {
    const std::string Id = std::string("000000000000000") + Digit;
    const auto Reply = submit(job(Id.c_str()));
    checkRefused(Reply, RefusalReason::StoreUnavailable);
    BOOST_TEST(Reply->RetryAfterMs_ >= 1000u);
    BOOST_TEST(Reply->RetryAfterMs_ <= 2000u);
    Delays.insert(Reply->RetryAfterMs_);
  }
  BOOST_TEST(Delays.size() > 5u);
}

// Guards against a job that is accepted and ends long after it is of use, since
// the leader is too slow to start what waits already.
BOOST_AUTO_TEST_CASE(SlowLeaderRefusesWhatItCannotStartInTime) {
  Term_->Config_.Queues_.back().Stretch_ = 2;
  for (int I = 0; I < 10; ++I)
    Term_->Load_.record(300ms, Term_->now());
  Term_->Load_.recordPass(10, 0, Term_->now());
  BOOST_TEST(!submit(job("0000000000000001")).has_value());
  Term_->Load_.recordPass(0, 100'000, Term_->now());
  const auto Reply = submit(job("0000000000000002"));
  checkRefused(Reply, RefusalReason::LeaderBusy);
  BOOST_TEST(Reply->RetryAfterMs_ >= 1000u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
