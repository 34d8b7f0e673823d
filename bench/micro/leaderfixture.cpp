#include "bench/micro/leaderfixture.h"

#include "framework/clock/steadyclock.h"
#include "framework/log/log.h"
#include "jobs/eventcodec.h"

#include <stdexcept>

namespace laburnumspread::bench {

using cell::HoldOrder;
using cell::HoldReply;
using cell::OrderReply;
using cell::OrderResult;
using cell::StartOrder;
using cell::WorkerRecord;
using framework::fibers::sleepFor;
using namespace std::chrono_literals;

namespace {

constexpr int Pools = 5;
constexpr int Workspaces = 60;
constexpr std::uint32_t TasksPerJob = 8;
constexpr std::uint32_t StepsPerJob = 2;
/// Seven such tasks fit on a worker.
constexpr jobs::Resources TaskDemand{2200, 1024, 0};
constexpr jobs::Resources WorkerCapacity{16'000, 32'768, 0};
constexpr Duration RunTime = 800ms;
constexpr Duration ElectionTimeout = 5s;
constexpr std::string_view WorkersPrefix = "servers/";

std::string poolName(int Number) {
  return "pool-" + std::to_string(Number % Pools);
}

WorkerRecord makeWorker(int Number) {
  WorkerRecord Record;
  Record.Incarnation_ = {
      jobs::WorkerId("i-0123456789-" + std::to_string(Number)), 1};
  Record.Pool_ = fleet::PoolName(poolName(Number));
  Record.Capacity_ = WorkerCapacity;
  Record.Machine_ = jobs::MachineId("m-" + std::to_string(Number));
  return Record;
}

std::optional<WorkerRecord> readWorker(const store::KeyValue &Item) {
  return makeWorker(std::stoi(Item.Value_));
}

jobs::CellConfig makeConfig() {
  jobs::CellConfig Config;
  Config.Version_ = jobs::ConfigVersion(1);
  for (int I = 0; I < Pools; ++I) {
    jobs::QueueConfig Queue;
    Queue.Name_ = jobs::QueueName("queue-" + std::to_string(I));
    Queue.Pool_ = fleet::PoolName(poolName(I));
    Queue.Stretch_ = 1.5;
    Queue.TargetLatency_ = 600ms;
    Config.Queues_.push_back(Queue);
    Config.Pools_[Queue.Pool_].Name_ = Queue.Pool_;
  }
  for (int I = 0; I < Workspaces; ++I) {
    const jobs::WorkspaceName Name("workspace-" + std::to_string(I));
    Config.Workspaces_[Name].Name_ = Name;
  }
  return Config;
}

jobs::JobSpec makeJob(std::uint64_t Number) {
  jobs::JobSpec Spec;
  const std::string Digits = std::to_string(Number);
  Spec.Id_ = jobs::JobId(std::string(16 - Digits.size(), '0') + Digits);
  Spec.Queue_ = jobs::QueueName("queue-" + std::to_string(Number % Pools));
  Spec.Workspace_ =
      jobs::WorkspaceName("workspace-" + std::to_string(Number % Workspaces));
  Spec.Payload_ = std::string(200, 'x');
  Spec.Steps_.resize(StepsPerJob);
  for (jobs::StepSpec &Step : Spec.Steps_) {
    Step.Count_ = TasksPerJob;
    Step.PerTask_ = TaskDemand;
    Step.Estimate_ = RunTime;
  }
  Spec.Steps_[1].After_ = {0};
  return Spec;
}

} // namespace

OrderReply MemoryWorkers::start(const WorkerRecord &To, const StartOrder &Order,
                                Duration) {
  Worker &On = workerOf(To);
  On.Running_.push_back({now() + RunTime_, Order.Run_});
  return {OrderResult::Done, 1};
}

OrderReply MemoryWorkers::stop(const WorkerRecord &To, const jobs::RunName &Run,
                               jobs::FencingToken, Duration) {
  Worker &On = workerOf(To);
  std::erase_if(On.Running_,
                [&](const Running &Item) { return Item.Run_ == Run; });
  On.Ends_.push_back(
      {On.NextEnd_++, Run, jobs::EndKind::Stopped, jobs::Checkpoint()});
  return {OrderResult::Done, 1};
}

HoldReply MemoryWorkers::hold(const WorkerRecord &To, const HoldOrder &Order,
                              Duration) {
  Worker &On = workerOf(To);
  while (!On.Ends_.empty() &&
         On.Ends_.front().Number_ <= Order.AcknowledgedEnds_)
    On.Ends_.pop_front();
  endRuns(On);
  if (On.Ends_.empty())
    waitForEnd(On, Order.Wait_);
  HoldReply Reply;
  Reply.Result_ = OrderResult::Done;
  Reply.ClockMs_ = 1;
  for (const Running &Item : On.Running_)
    Reply.Running_.push_back({Item.Run_, jobs::Checkpoint(), 100, 0});
  Reply.Ends_.assign(On.Ends_.begin(), On.Ends_.end());
  return Reply;
}

void MemoryWorkers::endRuns(Worker &On) {
  while (!On.Running_.empty() && On.Running_.front().EndsAt_ <= now()) {
    On.Ends_.push_back({On.NextEnd_++, On.Running_.front().Run_,
                        jobs::EndKind::Done, jobs::Checkpoint()});
    On.Running_.pop_front();
    ++Ended_;
  }
}

void MemoryWorkers::waitForEnd(Worker &On, Duration Wait) {
  const Duration UntilEnd =
      On.Running_.empty() ? Wait : On.Running_.front().EndsAt_ - now();
  sleepFor(std::min(Wait, UntilEnd));
  endRuns(On);
}

LeaderFixture::Service LeaderFixture::makeLeader() {
  journal::Leader Self;
  Self.Entry_ = fleet::EntryName("entry-1");
  return Service(
      Store_, Workers_, Machines_,
      cell::WorkerDirectory{std::string(WorkersPrefix), readWorker},
      cell::WaveStatusCodec{
          [](cell::WaveNumber) { return std::string("wave"); },
          [](bool) { return std::string(); }},
      [](const scheduling::StepName &, const std::vector<cell::WorkerId> &)
          -> absl::StatusOr<scheduling::AdviceReply> {
        return absl::UnavailableError("no advisor");
      },
      cell::Candidacy(1), journal::CellKeys("cell/0/"), Self,
      cell::CellBounds(), InForce_, Metrics_);
}

LeaderFixture::LeaderFixture(int Workers)
    : Workers_(RunTime), Leader_(makeLeader()) {
  framework::log::setLevel(framework::log::Level::Error);
  listWorkers(Workers);
  InForce_.replace(makeConfig());
  Leader_.start("127.0.0.1:1");
  const TimePoint Until =
      framework::clock::SteadyClock().now() + ElectionTimeout;
  while (!Leader_.leads() && framework::clock::SteadyClock().now() < Until)
    sleepFor(10ms);
  if (!Leader_.leads())
    throw std::runtime_error("the leader was not elected");
}

void LeaderFixture::stop() { Leader_.handOver(); }

void LeaderFixture::listWorkers(int Count) {
  for (int I = 0; I < Count; ++I) {
    store::Transaction Txn;
    Txn.Puts_ = {
        {std::string(WorkersPrefix) + std::to_string(I), std::to_string(I), 0}};
    (void)Store_.commit(Txn, {});
    const WorkerRecord Worker = makeWorker(I);
    cell::MachineRecord Machine;
    Machine.Id_ = Worker.Machine_;
    Machine.Pool_ = Worker.Pool_;
    Machine.State_ = cell::MachineState::Up;
    Machine.Capacity_ = Worker.Capacity_;
    Machine.Worker_ = Worker.Incarnation_.Id_;
    Machines_.Machines_.push_back(Machine);
  }
}

void LeaderFixture::submitJob() {
  const jobs::JobSpec Spec = makeJob(Submitted_++);
  peers::JobCall Call;
  Call.Kind_ = peers::JobCallKind::Submit;
  Call.Job_ = Spec.Id_.str();
  Call.Queue_ = Spec.Queue_.str();
  Call.ConfigVersion_ = 1;
  Call.Spec_ = jobs::encodeGroup({jobs::JobAccepted{Spec}}, {});
  Leader_.handle(Call, [](const peers::JobReply &) {});
}

std::uint64_t LeaderFixture::waitingTasks() const {
  const cell::TermGauges Gauges = Leader_.term()->gauges();
  const std::uint64_t Open =
      Submitted_ * StepsPerJob * TasksPerJob - Workers_.ended();
  return Open > Gauges.RunsLive_ ? Open - Gauges.RunsLive_ : 0;
}

std::uint64_t LeaderFixture::run(Duration Time, std::uint64_t Waiting) {
  constexpr Duration SubmitInterval = 50ms;
  const std::uint64_t Before = Workers_.ended();
  const TimePoint Until = framework::clock::SteadyClock().now() + Time;
  while (framework::clock::SteadyClock().now() < Until) {
    std::uint64_t Now = waitingTasks();
    for (; Now < Waiting; Now += StepsPerJob * TasksPerJob)
      submitJob();
    sleepFor(SubmitInterval);
  }
  return Workers_.ended() - Before;
}

} // namespace laburnumspread::bench
