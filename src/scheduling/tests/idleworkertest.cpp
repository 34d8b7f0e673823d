#include "scheduling/scheduler.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <set>

namespace laburnumspread::scheduling {

namespace {

using namespace std::chrono_literals;
using jobs::EndKind;
using jobs::JobId;
using jobs::Resources;
using jobs::StepRow;
using jobs::StepSpec;

const jobs::Label Gpu("gpu");

int pick(int Below) { return *rc::gen::inRange(0, Below); }
bool chance(int OneIn) { return pick(OneIn) == 0; }

/// A cell with random jobs, workers and limits. Each round ends some runs, runs
/// a pass, applies its starts, and compares what still waits with the room that
/// is left.
class RandomCell {
public:
  static constexpr int Pools = 2, Workspaces = 3, MaxWorkers = 8, MaxJobs = 10;

  RandomCell() {
    for (int I = 0; I < Pools; ++I)
      addQueue(I);
    for (int I = 0; I < Workspaces; ++I)
      addWorkspace(I);
    for (int I = pick(MaxWorkers); I >= 0; --I)
      addWorker();
  }

  void addJobs() {
    for (int I = pick(MaxJobs); I > 0; --I)
      addJob();
  }

  void endRuns() {
    std::vector<jobs::RunName> Live;
    for (const auto &[Worker, Use] : Table_.workers())
      Live.insert(Live.end(), Use.Runs_.begin(), Use.Runs_.end());
    std::sort(Live.begin(), Live.end());
    static constexpr EndKind Kinds[] = {EndKind::Done, EndKind::Failed,
                                        EndKind::Lost, EndKind::Refused};
    for (const jobs::RunName &Run : Live)
      if (chance(2)) {
        jobs::RunEnded End;
        End.Run_ = Run;
        End.Kind_ = Kinds[pick(static_cast<int>(std::size(Kinds)))];
        Table_.apply(End, Now_);
      }
  }

  void pass() {
    Now_ += std::chrono::milliseconds(pick(3000));
    const std::size_t MaxStarts = chance(3) ? pick(6) + 1 : Scheduler::NoLimit;
    Shares_.update(Table_, Config_, Now_);
    const Plan Result =
        Scheduler(Table_, Config_, Estimator_, Advised_, Shares_)
            .plan(candidates(), time(), MaxStarts, arrivals());
    Started_.clear();
    for (const jobs::RunIntended &Item : Result.Starts_) {
      ++Started_[Item.Worker_];
      Table_.apply(Item, Now_);
      checkLimit(Item);
    }
    checkWaiting(Result, MaxStarts);
  }

private:
  void addQueue(int I) {
    jobs::QueueConfig Item;
    Item.Name_ = jobs::QueueName("q" + std::to_string(I));
    Item.Pool_ = jobs::PoolName("p" + std::to_string(I));
    Item.Priority_ = pick(3);
    Item.Stretch_ = 1.5;
    Item.TargetLatency_ = 600ms;
    Config_.Queues_.push_back(Item);
  }

  void addWorkspace(int I) {
    jobs::WorkspaceConfig Item;
    Item.Name_ = jobs::WorkspaceName("ws" + std::to_string(I));
    Item.Weight_ = 1 + pick(3);
    if (chance(3))
      Item.MaxAllowed_ = {500 + pick(4000), chance(2) ? 500 + pick(4000) : 0,
                          0};
    Config_.Workspaces_[Item.Name_] = Item;
  }

  void addWorker() {
    workers::WorkerRecord &Item = Records_.emplace_back();
    Item.Incarnation_ = {jobs::WorkerId("w" + std::to_string(Records_.size())),
                         1};
    Item.Pool_ = Config_.Queues_[pick(Pools)].Pool_;
    Item.Capacity_ = {1000 + pick(3000), 1000 + pick(3000), pick(3)};
    if (chance(2))
      Item.Labels_ = {Gpu};
    if (chance(5))
      OnTrial_.insert(Item.Incarnation_);
  }

  static StepSpec anyStep() {
    StepSpec Step;
    Step.Count_ = static_cast<std::uint32_t>(1 + pick(5));
    Step.PerTask_ = {100 + pick(1500), 100 + pick(1500), chance(6) ? 1 : 0};
    Step.Estimate_ = std::chrono::milliseconds(200 + pick(3000));
    Step.LongRunning_ = chance(4);
    Step.Gang_ = !Step.LongRunning_ && chance(5);
    Step.Filler_ = !Step.LongRunning_ && chance(6);
    Step.AntiAffinity_ = static_cast<std::uint32_t>(pick(3));
    if (chance(4))
      Step.Requirement_ = Gpu;
    return Step;
  }

  void addJob() {
    jobs::JobSpec Spec;
    Spec.Id_ = JobId("j" + std::to_string(++Jobs_));
    Spec.Queue_ = chance(8) ? jobs::QueueName("removed")
                            : Config_.Queues_[pick(Pools)].Name_;
    Spec.Workspace_ =
        jobs::WorkspaceName("ws" + std::to_string(pick(Workspaces)));
    Spec.Steps_ = {anyStep()};
    if (chance(3)) {
      Spec.Steps_.push_back(anyStep());
      Spec.Steps_.back().After_ = {0};
    }
    // Young ones, some that may be deferred, and late ones.
    Table_.apply(jobs::JobAccepted{Spec},
                 Now_ - std::chrono::milliseconds(pick(6000)));
  }

  Resources freeOn(const workers::WorkerRecord &Item) const {
    const jobs::WorkerUsage *Use = Table_.usageOf(Item.Incarnation_);
    return Use ? Item.Capacity_ - Use->Used_ : Item.Capacity_;
  }

  std::vector<Candidate> candidates() const {
    std::vector<Candidate> Result;
    for (const workers::WorkerRecord &Item : Records_) {
      Candidate &Added = Result.emplace_back();
      Added.Worker_ = &Item;
      Added.Free_ = freeOn(Item);
      Added.FailureScore_ = pick(2);
      Added.Unproven_ = chance(4);
      Added.OnTrial_ = OnTrial_.contains(Item.Incarnation_);
    }
    return Result;
  }

  PlanTime time() const {
    PlanTime Result{Now_, 1'000'000, std::chrono::milliseconds(pick(500))};
    if (chance(2))
      Result.StartsPerSecond_ = 1 + pick(20);
    return Result;
  }

  std::vector<CapacityArrival> arrivals() const {
    if (chance(2))
      return {};
    return {{Config_.Queues_[pick(Pools)].Pool_, {2000, 2000, 0}, Now_ + 1s}};
  }

  /// Returns how many more tasks of the step the worker could take.
  std::int64_t roomFor(const StepSpec &Spec, const StepRow &Row,
                       const workers::WorkerRecord &On) const {
    if (!Spec.Requirement_.empty() && !On.hasLabel(Spec.Requirement_))
      return 0;
    const Resources Free = freeOn(On), Each = Spec.demand();
    std::int64_t Room = std::numeric_limits<std::int64_t>::max();
    const auto Limit = [&](std::int64_t Left, std::int64_t Of) {
      if (Of > 0)
        Room = std::min(Room, Left / Of);
    };
    Limit(Free.MilliCpus_, Each.MilliCpus_);
    Limit(Free.MemoryMb_, Each.MemoryMb_);
    Limit(Free.Accelerators_, Each.Accelerators_);
    if (Spec.AntiAffinity_ > 0)
      Limit(Spec.AntiAffinity_ - runsOn(Row, On.Incarnation_), 1);
    if (OnTrial_.contains(On.Incarnation_))
      Limit(Started_.contains(On.Incarnation_) ? 0 : 1, 1);
    return std::max<std::int64_t>(Room, 0);
  }

  static std::int64_t runsOn(const StepRow &Row,
                             const jobs::WorkerIncarnation &On) {
    std::int64_t Count = 0;
    for (const jobs::TaskRow &Task : Row.Tasks_)
      for (const jobs::LiveRun &Run : Task.Runs_)
        Count += Run.Worker_ == On;
    return Count;
  }

  const Resources &limitOf(const jobs::JobSpec &Job) const {
    return Config_.Workspaces_.at(Job.Workspace_).MaxAllowed_;
  }

  /// Whether a start is owed: the workspace holds under half of its limit, or
  /// the start stays within it. A gang starts whole, up to one task above it.
  bool isOwed(const jobs::JobSpec &Job, const StepSpec &Spec,
              std::int64_t Tasks) const {
    const Resources Held = Table_.usedBy(Job.Workspace_);
    const Resources &Limit = limitOf(Job);
    const auto UnderHalf = [](std::int64_t Amount, std::int64_t Most) {
      return Most == 0 || 2 * Amount < Most;
    };
    const auto Within = [](std::int64_t Amount, std::int64_t Most) {
      return Most == 0 || Amount <= Most;
    };
    const auto Fits = [&](std::int64_t Count) {
      return Within(Held.MilliCpus_ + Count * Spec.PerTask_.MilliCpus_,
                    Limit.MilliCpus_) &&
             Within(Held.MemoryMb_ + Count * Spec.PerTask_.MemoryMb_,
                    Limit.MemoryMb_);
    };
    return Fits(Tasks) ||
           (UnderHalf(Held.MilliCpus_, Limit.MilliCpus_) &&
            UnderHalf(Held.MemoryMb_, Limit.MemoryMb_) && Fits(Tasks - 1));
  }

  /// Checks that the start, which has been applied, brought its workspace to at
  /// most one task above its limit.
  void checkLimit(const jobs::RunIntended &Start) const {
    const jobs::JobSpec &Job = Table_.find(Start.Run_.Task_.Job_)->Spec_;
    const Resources Before = Table_.usedBy(Job.Workspace_) -
                             Table_.specOf(Start.Run_.Task_)->PerTask_;
    const Resources &Limit = limitOf(Job);
    RC_ASSERT(Limit.MilliCpus_ == 0 || Before.MilliCpus_ <= Limit.MilliCpus_);
    RC_ASSERT(Limit.MemoryMb_ == 0 || Before.MemoryMb_ <= Limit.MemoryMb_);
  }

  /// Whether a waiting task of the step, or the gang, could have been started.
  bool couldStart(const jobs::JobSpec &Job, const StepSpec &Spec,
                  const StepRow &Row) const {
    const jobs::QueueConfig *Queue = Config_.find(Job.Queue_);
    const std::int64_t Needed = Spec.Gang_ ? Spec.Count_ : 1;
    if (!Queue || !isOwed(Job, Spec, Needed))
      return false;
    std::int64_t Room = 0;
    for (const workers::WorkerRecord &Item : Records_)
      if (Item.Pool_ == Queue->Pool_)
        Room += roomFor(Spec, Row, Item);
    return Room >= Needed;
  }

  void checkWaiting(const Plan &Result, std::size_t MaxStarts) const {
    std::size_t Waiting = 0;
    for (const auto &[Order, Id] : Table_.open()) {
      const jobs::JobRow &Job = *Table_.find(Id);
      const auto &Steps = Job.Occurrences_.find(0)->Steps_;
      for (std::size_t S = 0; S < Steps.size(); ++S) {
        const StepSpec &Spec = Job.Spec_.Steps_[S];
        const std::size_t Idle = idleTasks(Spec, Steps[S]);
        if (Idle == 0 || (S > 0 && !Steps[S - 1].done()))
          continue;
        Waiting += Idle;
        if (Result.Starts_.size() < MaxStarts)
          RC_ASSERT(!couldStart(Job.Spec_, Spec, Steps[S]));
      }
    }
    RC_ASSERT(Result.Waiting_.total() == Waiting);
  }

  /// A gang waits as a whole: not while some of its tasks run.
  static std::size_t idleTasks(const StepSpec &Spec, const StepRow &Row) {
    const auto Idle =
        std::count_if(Row.Tasks_.begin(), Row.Tasks_.end(),
                      [](const jobs::TaskRow &Task) { return Task.idle(); });
    return Spec.Gang_ && Row.LiveCount_ > 0 ? 0
                                            : static_cast<std::size_t>(Idle);
  }

  TimePoint Now_{std::chrono::hours(1)};
  CellTable Table_;
  CellConfig Config_;
  RunTimeEstimator Estimator_;
  AdviceTable Advised_;
  WorkspaceShares Shares_;
  std::deque<workers::WorkerRecord> Records_;
  std::set<jobs::WorkerIncarnation> OnTrial_;
  std::map<jobs::WorkerIncarnation, std::size_t> Started_;
  int Jobs_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(IdleWorkerTest)

// Guards against a ready task that waits beside a worker which could take it:
// because it is late or deferred, because of its order, or because of what was
// compared before. All tasks that still wait are counted.
BOOST_AUTO_TEST_CASE(NoReadyTaskWaitsBesideRoomForIt) {
  BOOST_TEST(rc::check("any jobs, workers and limits", [] {
    RandomCell Cell;
    for (int Round = 0; Round < 4; ++Round) {
      Cell.addJobs();
      Cell.pass();
      Cell.endRuns();
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::scheduling
