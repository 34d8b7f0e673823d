#include "cell/fillerpacecontroller.h"
#include "journal/tests/fakestore.h"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using journal::FakeStore;

const journal::CellKeys Keys("cell/");
const jobs::RunName Filler{{jobs::JobId("f"), 0, 0, 0}, jobs::RunNumber(1)};
const jobs::RunName Serving{{jobs::JobId("f"), 0, 1, 0}, jobs::RunNumber(1)};
constexpr std::int64_t TargetMs = 100;
constexpr std::int64_t WellBelowTargetMs = 10;
constexpr std::int64_t AboveTargetMs = 200;

/// Records the paces that are sent.
struct PaceClient {
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
  OrderReply pace(const WorkerRecord &, const jobs::RunName &, int Percent,
                  jobs::FencingToken, Duration) {
    Sent_.push_back(Percent);
    return {Answer_, 1};
  }
  void forget(const WorkerRecord &) {}
  bool awaitConnection(const WorkerRecord &, Duration) { return true; }

  std::vector<int> Sent_;
  OrderResult Answer_ = OrderResult::Done;
};

static_assert(WorkerClient<PaceClient>);

/// A leader with a worker that runs a filler task and a serving task.
struct Fixture {
  Fixture()
      : Leadership_(Store_, Keys, journal::Leader()), Term_(beginTerm()),
        Fillers_(Term_, Client_) {
    jobs::JobAccepted Job;
    Job.Spec_.Id_ = Filler.Task_.Job_;
    Job.Spec_.Steps_.resize(2);
    Job.Spec_.Steps_[0].Filler_ = true;
    Job.Spec_.Steps_[1].TargetMs_ = TargetMs;
    Term_->Table_.apply(Job, TimePoint());
  }

  std::shared_ptr<Term<FakeStore>> beginTerm() {
    BOOST_REQUIRE(*Leadership_.campaign());
    return std::make_shared<Term<FakeStore>>(
        Store_, Keys, Leadership_, Metrics_, CellBounds(), Evacuations_);
  }

  /// Delivers a report and lets the resulting orders be sent.
  void report(std::int64_t TailMs) {
    HoldReply Reply;
    Reply.Running_ = {{Filler, jobs::Checkpoint(), 100, 0},
                      {Serving, jobs::Checkpoint(), 100, TailMs}};
    Fillers_.handleReport(Row_, Reply);
    boost::this_fiber::yield();
  }

  FakeStore Store_;
  framework::metrics::Registry Metrics_;
  ZoneEvacuations Evacuations_;
  journal::Leadership<FakeStore> Leadership_;
  std::shared_ptr<Term<FakeStore>> Term_;
  PaceClient Client_;
  FillerPaceController<FakeStore, PaceClient> Fillers_;
  WorkerRow Row_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FillerPaceControllerTest, Fixture)

// Guards against a filler task that stays slow forever: an earlier leader had
// reduced its pace, and the serving tasks had recovered when the next leader
// took over. That one assumed that an unknown pace was the full one and sent
// nothing.
BOOST_AUTO_TEST_CASE(PaceSetByAnEarlierLeaderIsSentAgain) {
  report(WellBelowTargetMs);
  BOOST_TEST(Client_.Sent_ == std::vector<int>{scheduling::Pacer::FullPercent});
  report(WellBelowTargetMs);
  BOOST_TEST(Client_.Sent_.size() == 1u);
}

// The same without a takeover: the reply to the last increase is lost, so it
// may not have been executed, while the pacer is already at full pace.
BOOST_AUTO_TEST_CASE(LastIncreaseIsRepeatedUntilAnswered) {
  report(AboveTargetMs);
  Client_.Answer_ = OrderResult::Unknown;
  for (int Percent = scheduling::Pacer::FullPercent / 2;
       Percent < scheduling::Pacer::FullPercent;
       Percent += scheduling::Pacer::RaisePercent)
    report(WellBelowTargetMs);
  Client_.Answer_ = OrderResult::Done;
  Client_.Sent_.clear();
  report(WellBelowTargetMs);
  BOOST_TEST(Client_.Sent_ == std::vector<int>{scheduling::Pacer::FullPercent});
}

/// Guards against needless orders, since each is billed: a run started by this
/// leader begins at full pace and needs no order until the pace changes.
BOOST_AUTO_TEST_CASE(OwnRunIsPacedOnlyWhenThePaceChanges) {
  Fillers_.started(Filler);
  report(WellBelowTargetMs);
  BOOST_TEST(Client_.Sent_.empty());
  report(AboveTargetMs);
  BOOST_TEST(Client_.Sent_ ==
             std::vector<int>{scheduling::Pacer::FullPercent / 2});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
