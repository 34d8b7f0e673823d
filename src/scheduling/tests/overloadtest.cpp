#include "scheduling/scheduler.h"
#include "scheduling/startdelay.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <list>

namespace laburnumspread::scheduling {

namespace {

using namespace std::chrono_literals;

const jobs::PoolName Pool("pool");
const jobs::QueueName Queue("q");
constexpr auto Tick = 16ms;
constexpr auto RunTime = 800ms;
constexpr std::uint32_t TasksPerJob = 8;
/// Starts that the leader's processor sends in one tick.
constexpr std::size_t SentPerTick = 16;
constexpr std::size_t MaxUnsent = 64;
constexpr double JobsPerTickAtCapacity =
    static_cast<double>(SentPerTick) / TasksPerJob;

/// A leader with enough workers that is short of processor: it sends a fixed
/// number of starts in each tick, in the order in which they were planned.
class SlowLeader {
public:
  /// Each job has \p Steps steps, one after the other.
  explicit SlowLeader(std::uint32_t Steps = 1) : Steps_(Steps) {
    jobs::QueueConfig Item;
    Item.Name_ = Queue;
    Item.Pool_ = Pool;
    Item.Stretch_ = 1.5;
    Item.TargetLatency_ = 600ms;
    Config_.Queues_ = {Item};
    for (int I = 0; I < Workers; ++I) {
      workers::WorkerRecord &Record = Records_.emplace_back();
      Record.Incarnation_ = {jobs::WorkerId("w" + std::to_string(I)), 1};
      Record.Pool_ = Pool;
      Record.Capacity_ = {32'000, 32'000, 0};
    }
  }

  /// Runs for \p Time with \p Load times the jobs that the leader can start.
  void run(Duration Time, double Load) {
    for (const TimePoint Until = Now_ + Time; Now_ < Until; Now_ += Tick) {
      for (Offered_ += Load * JobsPerTickAtCapacity / Steps_; Offered_ >= 1;
           --Offered_)
        submit();
      endRuns();
      plan();
      for (std::size_t I = 0; I < SentPerTick && !Unsent_.empty(); ++I) {
        const jobs::RunName &Run = Unsent_.front();
        Delay_.record(Now_ - Table_.find(Run)->StartedAt_);
        Running_.push_back({Now_ + RunTime, Run});
        Unsent_.pop_front();
      }
    }
  }

  /// Jobs that were done by their deadline.
  std::size_t doneInTime() const { return DoneInTime_; }
  std::size_t open() const { return Table_.open().size(); }

private:
  static constexpr int Workers = 200;

  void submit() {
    jobs::JobSpec Spec;
    Spec.Id_ = jobs::JobId("j" + std::to_string(Jobs_++));
    Spec.Queue_ = Queue;
    jobs::StepSpec Step;
    Step.Count_ = TasksPerJob;
    Step.PerTask_ = {1000, 1000, 0};
    Step.Estimate_ = RunTime;
    for (std::uint32_t I = 0; I < Steps_; ++I) {
      Step.After_.clear();
      if (I > 0)
        Step.After_ = {I - 1};
      Spec.Steps_.push_back(Step);
    }
    Table_.apply(jobs::JobAccepted{Spec}, Now_);
  }

  void endRuns() {
    for (; !Running_.empty() && Running_.front().first <= Now_;
         Running_.pop_front()) {
      const jobs::RunName &Run = Running_.front().second;
      Table_.apply(jobs::RunEnded{Run, jobs::EndKind::Done, {}, 0}, Now_);
      const jobs::JobRow &Job = *Table_.find(Run.Task_.Job_);
      DoneInTime_ +=
          Job.ended() && Now_ <= deadlineOf(Job, Config_.Queues_.front(), {});
    }
    Table_.forgetEnded(Now_ - 1s);
  }

  /// Known once the latest pass planned all that it was allowed to.
  std::optional<double> startsPerSecond() const {
    if (!Limited_)
      return std::nullopt;
    return SentPerTick / std::chrono::duration<double>(Tick).count();
  }

  void plan() {
    if (Unsent_.size() >= MaxUnsent)
      return;
    std::vector<Candidate> Candidates;
    for (const workers::WorkerRecord &Record : Records_) {
      const jobs::WorkerUsage *Use = Table_.usageOf(Record.Incarnation_);
      Candidates.push_back(
          {&Record, Use ? Record.Capacity_ - Use->Used_ : Record.Capacity_, 0});
    }
    const Plan Planned =
        Scheduler(Table_, Config_, {}, Advised_, {})
            .plan(Candidates,
                  {Now_, 0, Delay_.expected() + Tick, startsPerSecond()},
                  MaxUnsent - Unsent_.size());
    Limited_ = Planned.Starts_.size() == MaxUnsent - Unsent_.size();
    for (const jobs::RunIntended &Item : Planned.Starts_) {
      Table_.apply(Item, Now_);
      Unsent_.push_back(Item.Run_);
    }
  }

  std::uint32_t Steps_;
  TimePoint Now_{1h};
  CellTable Table_;
  CellConfig Config_;
  AdviceTable Advised_;
  StartDelay Delay_;
  std::list<workers::WorkerRecord> Records_;
  std::deque<jobs::RunName> Unsent_;
  std::deque<std::pair<TimePoint, jobs::RunName>> Running_;
  double Offered_ = 0;
  std::size_t Jobs_ = 0;
  bool Limited_ = false;
  std::size_t DoneInTime_ = 0;
};

std::size_t servedAt(double Load, std::uint32_t Steps = 1) {
  SlowLeader Leader(Steps);
  Leader.run(20s, Load);
  return Leader.doneInTime();
}

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadTest)

// Guards against a leader that serves nothing once more starts are asked of it
// than its processor can send: with everything planned at once, each start
// waits behind all earlier ones and all jobs are late.
BOOST_AUTO_TEST_CASE(LeaderPastItsCapacityServesAsMuchAsAtIt) {
  const std::size_t AtCapacity = servedAt(1);
  BOOST_TEST(AtCapacity > 0.9 * 20'000 / 16 * JobsPerTickAtCapacity);
  for (const double Load : {1.5, 2.0, 4.0}) {
    const std::size_t Served = servedAt(Load);
    BOOST_TEST(Served >= 0.85 * static_cast<double>(AtCapacity),
               "load " << Load << ": " << Served << " of " << AtCapacity);
  }
}

// Guards against a leader that is past its capacity and completes nearly
// nothing: with the least slack first each job begins at the last moment, and
// its second step has to wait behind others again.
BOOST_AUTO_TEST_CASE(LeaderPastItsCapacityServesJobsOfTwoSteps) {
  constexpr std::uint32_t Steps = 2;
  const std::size_t AtCapacity = servedAt(1, Steps);
  BOOST_TEST(AtCapacity > 0.85 * 20'000 / 16 * JobsPerTickAtCapacity / Steps);
  for (const double Load : {1.25, 1.5, 2.0, 4.0}) {
    const std::size_t Served = servedAt(Load, Steps);
    BOOST_TEST(Served >= 0.85 * static_cast<double>(AtCapacity),
               "load " << Load << ": " << Served << " of " << AtCapacity);
  }
}

// Guards against a peak that leaves the queue long after it has ended.
BOOST_AUTO_TEST_CASE(QueueIsBackThreeSecondsAfterAShortPeak) {
  SlowLeader Leader;
  Leader.run(5s, 0.5);
  const std::size_t Usual = Leader.open();
  // Half of the capacity is free after it, so 1 s leaves work for 2 s.
  Leader.run(1s, 2);
  Leader.run(3s, 0.5);
  BOOST_TEST(Leader.open() <= Usual + 4);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::scheduling
