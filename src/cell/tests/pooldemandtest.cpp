#include "cell/pooldemand.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

const TimePoint Start(std::chrono::hours(1));
const PoolName Kitchen("kitchen");
constexpr std::int64_t Each = 500;

/// A cell with one queue, whose jobs are late one hour after their arrival.
struct Fixture {
  Fixture() {
    QueueConfig Queue;
    Queue.Name_ = QueueName("orders");
    Queue.Pool_ = Kitchen;
    Queue.TargetLatency_ = std::chrono::hours(1);
    Config_.Queues_ = {Queue};
  }

  static jobs::StepSpec step(std::uint32_t Count) {
    jobs::StepSpec Result;
    Result.Count_ = Count;
    Result.PerTask_.MilliCpus_ = Each;
    return Result;
  }

  void accept(const std::string &Id, const std::vector<jobs::StepSpec> &Steps,
              const std::string &Queue = "orders") {
    jobs::JobAccepted Item;
    Item.Spec_.Id_ = jobs::JobId(Id);
    Item.Spec_.Queue_ = QueueName(Queue);
    Item.Spec_.Steps_ = Steps;
    Table_.apply(Item, Start);
  }

  capacity::PoolDemand demand(Duration After) {
    return computePoolDemand(Table_, Config_, Estimates_,
                             Start + After)[Kitchen];
  }

  jobs::CellTable Table_;
  CellConfig Config_;
  scheduling::RunTimeEstimator Estimates_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PoolDemandTest, Fixture)

BOOST_AUTO_TEST_CASE(LongRunningAndTimelyWorkAreSeparate) {
  jobs::StepSpec LongRunning = step(3);
  LongRunning.LongRunning_ = true;
  accept("a", {LongRunning});
  accept("b", {step(2)});
  BOOST_TEST(demand(10min).LongRunning_.MilliCpus_ == 3 * Each);
  BOOST_TEST(demand(10min).FeasibleFinite_.MilliCpus_ == 2 * Each);
  BOOST_TEST(demand(24h).LongRunning_.MilliCpus_ == 3 * Each);
  BOOST_TEST(demand(24h).FeasibleFinite_.MilliCpus_ == 0);
}

BOOST_AUTO_TEST_CASE(MemoryDemandIsCounted) {
  jobs::StepSpec LongRunning = step(3);
  LongRunning.LongRunning_ = true;
  LongRunning.PerTask_.MemoryMb_ = 4000;
  accept("a", {LongRunning});
  BOOST_TEST(demand(0s).LongRunning_.MemoryMb_ == 12000);
}

BOOST_AUTO_TEST_CASE(WaitingLongRunningTasksNeedRoomForTheLargest) {
  jobs::StepSpec Wide = step(1), Deep = step(1), Finite = step(1);
  Wide.LongRunning_ = Deep.LongRunning_ = true;
  Wide.PerTask_ = {4000, 100, 0};
  Deep.PerTask_ = {1000, 900, 0};
  Finite.PerTask_ = {9000, 9000, 0};
  accept("a", {Wide});
  accept("b", {Deep});
  accept("c", {Finite});
  const jobs::Resources Both{4000, 900, 0};
  BOOST_TEST((demand(0s).WaitingLongRunning_ == Both));
  jobs::RunIntended Start1;
  Start1.Run_ = {{jobs::JobId("a"), 0, 0, 0}, jobs::RunNumber(1)};
  Start1.Worker_ = {jobs::WorkerId("w"), 1};
  Table_.apply(Start1, Start);
  BOOST_TEST((demand(0s).WaitingLongRunning_ == Deep.PerTask_));
}

BOOST_AUTO_TEST_CASE(FillersAndBlockedStepsCreateNoDemand) {
  jobs::StepSpec Filler = step(7);
  Filler.Filler_ = true;
  jobs::StepSpec Second = step(5);
  Second.After_ = {0};
  accept("a", {step(1), Second, Filler});
  BOOST_TEST(demand(10min).FeasibleFinite_.MilliCpus_ == Each);
}

BOOST_AUTO_TEST_CASE(JobsOfARemovedQueueCreateNoDemand) {
  accept("a", {step(4)}, "removed");
  BOOST_TEST(computePoolDemand(Table_, Config_, Estimates_, Start).empty());
}

// A single large job predicts nothing: only many small jobs count as an arrival
// rate, and only while they are recent.
BOOST_AUTO_TEST_CASE(ArrivalRateCountsRecentJobsOnly) {
  for (int I = 0; I < 50; ++I) {
    jobs::StepSpec Small = step(1);
    Small.Estimate_ = 1s;
    accept("j" + std::to_string(I), {Small});
  }
  BOOST_TEST(demand(0s).RecentArrivals_.MilliCpus_.lowerEstimate() > 0);
  BOOST_TEST(demand(0s).PriorArrivals_.MilliCpus_.lowerEstimate() == 0);
  BOOST_TEST(demand(ArrivalWindow).RecentArrivals_.MilliCpus_.lowerEstimate() ==
             0);
  BOOST_TEST(demand(ArrivalWindow).PriorArrivals_.MilliCpus_.lowerEstimate() >
             0);
  BOOST_TEST(
      demand(2 * ArrivalWindow).PriorArrivals_.MilliCpus_.lowerEstimate() == 0);
}

// Short jobs that end before the next planning step still count towards the
// arrival rate; cancelled ones do not.
BOOST_AUTO_TEST_CASE(ArrivalRateIncludesFinishedJobs) {
  jobs::StepSpec Small = step(1);
  Small.Estimate_ = 1s;
  const auto End = [&](const std::string &Id, jobs::EndKind Kind) {
    jobs::RunEnded Item;
    Item.Run_ = {{jobs::JobId(Id), 0, 0, 0}, jobs::RunNumber(1)};
    Item.Kind_ = Kind;
    Table_.apply(jobs::RunIntended{Item.Run_, {jobs::WorkerId("w"), 1}}, Start);
    Table_.apply(Item, Start);
  };
  for (int I = 0; I < 50; ++I) {
    accept("j" + std::to_string(I), {Small});
    End("j" + std::to_string(I), jobs::EndKind::Done);
  }
  BOOST_TEST(Table_.open().empty());
  const std::int64_t Done =
      demand(0s).RecentArrivals_.MilliCpus_.lowerEstimate();
  BOOST_TEST(Done > 0);
  accept("c", {Small});
  Table_.apply(jobs::JobCancelled{jobs::JobId("c")}, Start);
  BOOST_TEST(demand(0s).RecentArrivals_.MilliCpus_.lowerEstimate() == Done);
}

// Guards against accepted jobs that never run: all jobs of a pool without
// machines were late, late jobs count as no demand, and no machine came.
BOOST_AUTO_TEST_CASE(PoolWithoutMachinesGetsOneForLateJobs) {
  accept("a", {step(2)});
  std::map<MachineId, capacity::MachineView> Machines;
  for (const char *Name : {"m1", "m2", "m3", "m4"}) {
    capacity::MachineView &View = Machines[MachineId(Name)];
    View.Record_.Id_ = MachineId(Name);
    View.Record_.Pool_ = PoolName("other");
    View.Record_.State_ = MachineState::Up;
    View.Record_.Capacity_ = {16000, 32768, 0};
    View.Usable_ = true;
  }
  const auto Moves = [&](Duration After) {
    return capacity::PoolPlanner().plan(Machines, {{Kitchen, demand(After)}},
                                        {}, {}, Start + After);
  };
  BOOST_TEST(Moves(10min).size() == 1u);
  BOOST_REQUIRE(Moves(24h).size() == 1u);
  // The one that it has is enough.
  Machines[Moves(24h).front().Machine_].Record_.Pool_ = Kitchen;
  BOOST_TEST(Moves(24h).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
