#include "scheduling/scheduler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace laburnumspread::scheduling {

namespace {

using namespace std::chrono_literals;
using jobs::JobId;
using jobs::JobSpec;
using jobs::StepSpec;

const TimePoint Start(std::chrono::hours(1));
const jobs::PoolName Pool("pool");
const jobs::QueueName Queue("q");

StepSpec step(std::uint32_t Count, std::int64_t Cpu) {
  StepSpec Result;
  Result.Count_ = Count;
  Result.PerTask_ = {Cpu, 100, 0};
  Result.Estimate_ = 1000ms;
  return Result;
}

struct Fixture {
  Fixture() {
    jobs::QueueConfig Item;
    Item.Name_ = Queue;
    Item.Pool_ = Pool;
    Item.Stretch_ = 1.6;
    Item.TargetLatency_ = 600ms;
    Config_.Queues_ = {Item};
  }

  void job(const std::string &Id, std::vector<StepSpec> Steps,
           Duration Age = 0ms, const std::string &Workspace = "ws") {
    JobSpec Spec;
    Spec.Id_ = JobId(Id);
    Spec.Queue_ = Queue;
    Spec.Workspace_ = jobs::WorkspaceName(Workspace);
    Spec.Steps_ = std::move(Steps);
    Table_.apply(jobs::JobAccepted{Spec}, Start - Age);
  }

  void worker(const std::string &Id, std::int64_t Cpu,
              std::vector<jobs::Label> Labels = {}) {
    Records_.emplace_back();
    workers::WorkerRecord &Record = Records_.back();
    Record.Incarnation_ = {jobs::WorkerId(Id), 1};
    Record.Pool_ = Pool;
    Record.Capacity_ = {Cpu, 100000, 8};
    Record.Labels_ = std::move(Labels);
  }

  std::vector<jobs::RunIntended>
  plan(TimePoint Now = Start, std::size_t MaxStarts = Scheduler::NoLimit) {
    return pass(Now, MaxStarts).Starts_;
  }

  /// Whether a pass leaves \p Count tasks waiting, all for \p Reason.
  bool allWaitFor(WaitReason Reason, std::size_t Count,
                  std::size_t MaxStarts = Scheduler::NoLimit) {
    const WaitCounts Waiting = pass(Start, MaxStarts).Waiting_;
    return Waiting.of(Reason) == Count && Waiting.total() == Count;
  }

  Plan pass(TimePoint Now, std::size_t MaxStarts) {
    std::vector<Candidate> Workers;
    for (const workers::WorkerRecord &Record : Records_)
      Workers.push_back(
          {&Record, Record.Capacity_, 0, false, false,
           std::find(OnTrial_.begin(), OnTrial_.end(),
                     Record.Incarnation_.Id_.str()) != OnTrial_.end()});
    return Scheduler(Table_, Config_, Estimator_, Advised_, {})
        .plan(std::move(Workers), {Now, 1'000'000}, MaxStarts);
  }

  static std::size_t startsOf(const std::vector<jobs::RunIntended> &Starts,
                              const std::string &Id) {
    return static_cast<std::size_t>(
        std::count_if(Starts.begin(), Starts.end(), [&](const auto &Item) {
          return Item.Run_.Task_.Job_.str() == Id;
        }));
  }

  CellTable Table_;
  CellConfig Config_;
  RunTimeEstimator Estimator_;
  AdviceTable Advised_;
  std::deque<workers::WorkerRecord> Records_;
  /// Ids of the workers that did not reply to the last orders.
  std::vector<std::string> OnTrial_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SchedulerTest, Fixture)

BOOST_AUTO_TEST_CASE(StepsWaitForTheirDependencies) {
  worker("w", 10000);
  StepSpec Second = step(3, 100);
  Second.After_ = {0};
  job("a", {step(2, 100), Second});
  BOOST_TEST(plan().size() == 2u);
}

BOOST_AUTO_TEST_CASE(WorkersAreNotOverallocated) {
  worker("w", 1000);
  worker("v", 500);
  job("a", {step(9, 400)});
  BOOST_TEST(plan().size() == 3u);
}

// Guards against a step that is planned as a whole on a worker that replies to
// no start.
BOOST_AUTO_TEST_CASE(WorkerOnTrialGetsOneTask) {
  worker("w", 1000);
  OnTrial_ = {"w"};
  job("a", {step(5, 100)});
  BOOST_TEST(plan().size() == 1u);
}

// Guards against a trial while there is room elsewhere.
BOOST_AUTO_TEST_CASE(WorkerOnTrialComesLast) {
  worker("w", 1000);
  worker("v", 1000);
  OnTrial_ = {"w"};
  job("a", {step(10, 100)});
  for (const jobs::RunIntended &Item : plan())
    BOOST_TEST(Item.Worker_.Id_.str() == "v");
}

// Guards against large jobs becoming late at the start of a peak while small
// jobs that have just arrived, and could wait for machines being moved, run
// first.
BOOST_AUTO_TEST_CASE(JobWithLeastSlackGoesFirst) {
  worker("w", 1000);
  job("large", {step(5, 200)}, 1000ms);
  job("small", {step(2, 200)});
  const auto Starts = plan();
  BOOST_TEST(startsOf(Starts, "large") == 5u);
  BOOST_TEST(startsOf(Starts, "small") == 0u);
}

// A job with several remaining steps can have a later deadline but less slack
// than a job with one step. The order must follow slack, not the deadline.
BOOST_AUTO_TEST_CASE(SlackCountsNotTheDeadline) {
  worker("w", 1000);
  StepSpec Second = step(1, 1000), Third = step(1, 1000);
  Second.After_ = {0};
  Third.After_ = {1};
  job("long", {step(1, 1000), Second, Third}, 1900ms);
  job("short", {step(1, 1000)}, 100ms);
  const auto Starts = plan();
  BOOST_TEST(startsOf(Starts, "long") == 1u);
  BOOST_TEST(startsOf(Starts, "short") == 0u);
}

// Both jobs are late: running the larger one first would only delay the smaller
// one.
BOOST_AUTO_TEST_CASE(SmallestLateJobGoesFirst) {
  worker("w", 1000);
  job("large", {step(10, 200)}, 20s);
  job("small", {step(2, 200)}, 10s);
  const auto Starts = plan();
  BOOST_TEST(startsOf(Starts, "small") == 2u);
  BOOST_TEST(startsOf(Starts, "large") == 3u);
}

// Under overload, strict slack order would start every job just before it
// becomes late, so that all miss their deadlines. Jobs that can no longer meet
// theirs must yield to jobs that can.
BOOST_AUTO_TEST_CASE(InfeasibleJobYieldsToFeasibleOnes) {
  worker("w", 1000);
  job("hopeless", {step(1, 1000)}, 2s);
  job("fresh", {step(5, 200)});
  const auto Starts = plan();
  BOOST_TEST(startsOf(Starts, "fresh") == 5u);
  BOOST_TEST(startsOf(Starts, "hopeless") == 0u);
}

BOOST_AUTO_TEST_CASE(LateJobsGetRemainingCapacity) {
  worker("w", 1000);
  job("late", {step(1, 300)}, 10s);
  job("fresh", {step(1, 300)});
  BOOST_TEST(plan().size() == 2u);
}

BOOST_AUTO_TEST_CASE(LongRunningTasksComeFirst) {
  worker("w", 1000);
  job("work", {step(2, 500)});
  StepSpec Service = step(1, 1000);
  Service.LongRunning_ = true;
  job("service", {Service});
  const auto Starts = plan();
  BOOST_TEST(startsOf(Starts, "service") == 1u);
}

BOOST_AUTO_TEST_CASE(WorkspaceStaysWithinItsUpperLimit) {
  worker("w", 10000);
  Config_.Workspaces_[jobs::WorkspaceName("ws")].MaxAllowed_ = {1000, 0, 0};
  job("a", {step(9, 400)});
  BOOST_TEST(plan().size() == 2u);
}

// Guards against an accepted job that is never finished: its workspace's limit
// was lowered below the size of one of its tasks.
BOOST_AUTO_TEST_CASE(TaskLargerThanItsWorkspaceLimitStarts) {
  worker("w", 10000);
  Config_.Workspaces_[jobs::WorkspaceName("ws")].MaxAllowed_ = {1500, 0, 0};
  job("a", {step(2, 2000)});
  BOOST_TEST(plan().size() == 1u);
  BOOST_TEST(allWaitFor(WaitReason::WorkspaceLimit, 1));
}

// Guards against half a gang, or one that its workspace's limit holds back for
// ever: the whole gang may exceed the limit by one task.
BOOST_AUTO_TEST_CASE(GangMayExceedItsWorkspaceLimitByOneTask) {
  worker("w", 10000);
  jobs::Resources &Limit =
      Config_.Workspaces_[jobs::WorkspaceName("ws")].MaxAllowed_;
  StepSpec Gang = step(3, 1000);
  Gang.Gang_ = true;
  job("gang", {Gang});
  Limit = {1999, 0, 0};
  BOOST_TEST(plan().empty());
  Limit = {2000, 0, 0};
  BOOST_TEST(plan().size() == 3u);
}

BOOST_AUTO_TEST_CASE(AntiAffinityLabelsAndGangs) {
  worker("w", 10000, {jobs::Label("gpu")});
  worker("v", 10000);
  StepSpec Spread = step(5, 100);
  Spread.AntiAffinity_ = 1;
  job("apart", {Spread});
  StepSpec Labelled = step(2, 100);
  Labelled.Requirement_ = jobs::Label("gpu");
  job("labelled", {Labelled});
  StepSpec Gang = step(30, 1000);
  Gang.Gang_ = true;
  job("gang", {Gang});
  const auto Starts = plan();
  BOOST_TEST(startsOf(Starts, "apart") == 2u);
  BOOST_TEST(startsOf(Starts, "labelled") == 2u);
  // Only a part of the gang fits, so none of it starts.
  BOOST_TEST(startsOf(Starts, "gang") == 0u);
}

BOOST_AUTO_TEST_CASE(GangStartsUnderOneRunNumber) {
  worker("w", 10000);
  StepSpec Gang = step(4, 1000);
  Gang.Gang_ = true;
  job("gang", {Gang});
  const auto Starts = plan();
  BOOST_REQUIRE(Starts.size() == 4u);
  for (const auto &Item : Starts)
    BOOST_TEST(Item.Run_.Run_ == jobs::RunNumber(1));
}

BOOST_AUTO_TEST_CASE(AdvisedQueueStartsOnlyWithATicket) {
  worker("w", 10000);
  worker("v", 10000);
  Config_.Queues_[0].Advice_ = jobs::AdviceTerms{};
  job("a", {step(2, 100)});
  BOOST_TEST(plan().empty());
  const StepName Step{JobId("a"), 0, 0};
  const jobs::WorkerIncarnation Worker = Records_.back().Incarnation_;
  Advised_.recordAnswer({Step, {Worker}}, {{{jobs::WorkerId("v"), "t"}}, 3s},
                        Start);
  const auto Starts = plan();
  BOOST_REQUIRE(Starts.size() == 2u);
  BOOST_TEST(Starts[0].Worker_.Id_ == jobs::WorkerId("v"));
}

BOOST_AUTO_TEST_CASE(FillersAllocateNoCpu) {
  worker("w", 1000);
  StepSpec Filler = step(3, 5000);
  Filler.Filler_ = true;
  job("fill", {Filler});
  BOOST_TEST(plan().size() == 3u);
}

// Guards against a leader that plans more than it can send: what is urgent
// later would wait behind it.
BOOST_AUTO_TEST_CASE(LimitedPassStartsTheMostUrgentTasks) {
  worker("w1", 16'000);
  job("young", {step(4, 1000)});
  job("urgent", {step(4, 1000)}, 400ms);
  const auto Starts = plan(Start, 5);
  BOOST_TEST(Starts.size() == 5u);
  BOOST_TEST(startsOf(Starts, "urgent") == 4u);
}

// Guards against half a gang, which would hold its workers and never run.
BOOST_AUTO_TEST_CASE(LimitDoesNotSplitAGang) {
  worker("w1", 16'000);
  StepSpec Gang = step(4, 1000);
  Gang.Gang_ = true;
  job("gang", {Gang});
  BOOST_TEST(plan(Start, 2).size() == 4u);
}

// Guards against a backlog whose larger tasks hide smaller ones that fit, and
// against the reverse: a demand is skipped only if a smaller one fits nowhere.
BOOST_AUTO_TEST_CASE(DemandThatFitsNowhereHidesOnlyLargerOnes) {
  worker("w1", 2'500);
  job("large", {step(2, 4'000)}, 300ms);
  job("wide", {step(3, 1'000)}, 200ms);
  job("small", {step(1, 500)}, 100ms);
  const auto Starts = plan();
  BOOST_TEST(startsOf(Starts, "large") == 0u);
  BOOST_TEST(startsOf(Starts, "wide") == 2u);
  BOOST_TEST(startsOf(Starts, "small") == 1u);
}

// Guards against jobs that wait for ever and are in no count, as the leader's
// configuration lacks their queue.
BOOST_AUTO_TEST_CASE(TasksOfAnUnknownQueueAreCounted) {
  worker("w", 1000);
  job("a", {step(3, 100)});
  Config_.Queues_.clear();
  BOOST_TEST(allWaitFor(WaitReason::UnknownQueue, 3));
}

BOOST_AUTO_TEST_CASE(TasksAboveTheWorkspaceLimitAreCounted) {
  worker("w", 10000);
  Config_.Workspaces_[jobs::WorkspaceName("ws")].MaxAllowed_ = {400, 0, 0};
  job("a", {step(3, 400)});
  BOOST_TEST(allWaitFor(WaitReason::WorkspaceLimit, 2));
}

BOOST_AUTO_TEST_CASE(TasksWithoutRoomAreCounted) {
  StepSpec Gang = step(3, 400);
  Gang.Gang_ = true;
  job("gang", {Gang});
  BOOST_TEST(allWaitFor(WaitReason::NoWorkers, 3));
  worker("w", 1000);
  BOOST_TEST(allWaitFor(WaitReason::NoRoom, 3));
  job("larger", {step(2, 1500)});
  BOOST_TEST(allWaitFor(WaitReason::NoRoom, 5));
}

BOOST_AUTO_TEST_CASE(TasksThatNoWorkerMayRunAreCounted) {
  worker("w", 1000);
  StepSpec Labelled = step(1, 100), Spread = step(3, 100);
  Labelled.Requirement_ = jobs::Label("gpu");
  Spread.AntiAffinity_ = 1;
  job("labelled", {Labelled});
  job("apart", {Spread});
  BOOST_TEST(allWaitFor(WaitReason::NotAllowed, 3));
  Config_.Queues_[0].Advice_ = jobs::AdviceTerms{};
  BOOST_TEST(allWaitFor(WaitReason::NotAllowed, 4));
}

// The rest of a step, and the steps that the pass does not come to.
BOOST_AUTO_TEST_CASE(TasksAboveTheStartLimitAreCounted) {
  worker("w", 1000);
  job("a", {step(4, 100)});
  job("b", {step(3, 100)});
  BOOST_TEST(allWaitFor(WaitReason::StartLimit, 5, 2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::scheduling
