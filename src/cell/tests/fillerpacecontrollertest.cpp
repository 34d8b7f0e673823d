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
constexpr std::int64_t FarBelow = 10;
constexpr std::int64_t Over = 200;

/// Notes the paces that it is sent.
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

  std::vector<int> Sent_;
  OrderResult Answer_ = OrderResult::Done;
};

static_assert(WorkerClient<PaceClient>);

/// A holder with a worker on which a filling and a serving task run.
struct Fixture {
  Fixture()
      : Leadership_(Store_, Keys, journal::Leader()),
        Term_(std::make_shared<Term<FakeStore>>(Store_, Keys, Leadership_,
                                                Metrics_, CellBounds())),
        Fillers_(Term_, Client_) {
    jobs::JobAccepted Job;
    Job.Spec_.Id_ = Filler.Task_.Job_;
    Job.Spec_.Steps_.resize(2);
    Job.Spec_.Steps_[0].Filler_ = true;
    Job.Spec_.Steps_[1].TargetMs_ = TargetMs;
    Term_->Table_.apply(Job, TimePoint());
  }

  /// A report comes, and what it calls for is sent.
  void report(std::int64_t TailMs) {
    HoldReply Reply;
    Reply.Running_ = {{Filler, jobs::Checkpoint(), 100, 0},
                      {Serving, jobs::Checkpoint(), 100, TailMs}};
    Fillers_.handleReport(Row_, Reply);
    boost::this_fiber::yield();
  }

  FakeStore Store_;
  framework::metrics::Registry Metrics_;
  journal::Leadership<FakeStore> Leadership_;
  std::shared_ptr<Term<FakeStore>> Term_;
  PaceClient Client_;
  FillerPaceController<FakeStore, PaceClient> Fillers_;
  WorkerRow Row_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FillerPaceControllerTest, Fixture)

// A filling task works slowly for good: a holder had cut its pace and was
// followed by another while the tasks beside it were well again. The new one
// took a pace that it did not know for the full one, and sent nothing.
BOOST_AUTO_TEST_CASE(PaceThatAFormerHolderSetIsSetAnew) {
  report(FarBelow);
  BOOST_TEST(Client_.Sent_ == std::vector<int>{scheduling::Pacer::FullPercent});
  report(FarBelow);
  BOOST_TEST(Client_.Sent_.size() == 1u);
}

// The same without a takeover: the answer to the last raise is lost, and the
// pacer says the full pace by then. The raise may not have come through.
BOOST_AUTO_TEST_CASE(LastRaiseIsSentUntilItIsAnswered) {
  report(Over);
  Client_.Answer_ = OrderResult::Unknown;
  for (int Percent = scheduling::Pacer::FullPercent / 2;
       Percent < scheduling::Pacer::FullPercent;
       Percent += scheduling::Pacer::RaisePercent)
    report(FarBelow);
  Client_.Answer_ = OrderResult::Done;
  Client_.Sent_.clear();
  report(FarBelow);
  BOOST_TEST(Client_.Sent_ == std::vector<int>{scheduling::Pacer::FullPercent});
}

/// Each order is paid for: a run of this holder's own begins at the full pace
/// and needs none until the pace changes.
BOOST_AUTO_TEST_CASE(OwnRunIsPacedOnlyWhenThePaceChanges) {
  Fillers_.started(Filler);
  report(FarBelow);
  BOOST_TEST(Client_.Sent_.empty());
  report(Over);
  BOOST_TEST(Client_.Sent_ ==
             std::vector<int>{scheduling::Pacer::FullPercent / 2});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
