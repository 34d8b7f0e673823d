#pragma once

#include "cell/cellservice.h"
#include "framework/fibers/waiter.h"
#include "journal/tests/fakestore.h"

#include <deque>
#include <map>
#include <memory>

namespace laburnumspread::bench {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// An in-memory store whose watches report nothing and last as long as a real
/// one.
class QuietStore : public journal::FakeStore {
public:
  absl::Status watch(const std::string &, fleet::Revision,
                     const std::function<bool(const store::WatchBatch &)> &) {
    framework::fibers::sleepFor(std::chrono::seconds(30));
    return absl::UnavailableError("no events");
  }
};

/// Workers in memory that run each task for a fixed time and answer at once.
class MemoryWorkers {
public:
  explicit MemoryWorkers(Duration RunTime) : RunTime_(RunTime) {}

  cell::OrderReply start(const cell::WorkerRecord &To,
                         const cell::StartOrder &Order, Duration);
  cell::OrderReply stop(const cell::WorkerRecord &To, const jobs::RunName &Run,
                        jobs::FencingToken Token, Duration);
  cell::HoldReply hold(const cell::WorkerRecord &To,
                       const cell::HoldOrder &Order, Duration);
  cell::OrderReply pace(const cell::WorkerRecord &, const jobs::RunName &, int,
                        jobs::FencingToken, Duration) {
    return {cell::OrderResult::Done, 1};
  }
  void forget(const cell::WorkerRecord &) {}
  bool awaitConnection(const cell::WorkerRecord &, cell::Duration) {
    return true;
  }

  /// Number of tasks that have run to their end.
  std::uint64_t ended() const { return Ended_; }

private:
  struct Running {
    TimePoint EndsAt_{};
    jobs::RunName Run_;
  };
  struct Worker {
    std::deque<Running> Running_;
    std::deque<cell::EndReport> Ends_;
    std::uint64_t NextEnd_ = 1;
    framework::fibers::WaiterPtr Wake_;
  };

  static TimePoint now() { return framework::clock::SteadyClock().now(); }
  Worker &workerOf(const cell::WorkerRecord &Record) {
    return Workers_[Record.Incarnation_];
  }
  void endRuns(Worker &On);
  void waitForEnd(Worker &On, Duration Wait);

  Duration RunTime_;
  std::map<jobs::WorkerIncarnation, Worker> Workers_;
  std::uint64_t Ended_ = 0;
};

/// A platform that lists the machines of all workers and moves none.
struct IdleMachines {
  absl::StatusOr<std::vector<cell::MachineRecord>> list() { return Machines_; }
  cell::MachineResult move(const cell::MachineId &, const cell::PoolName &,
                           jobs::FencingToken) {
    return cell::MachineResult::Refused;
  }
  cell::MachineResult upkeep(const cell::MachineId &, cell::WaveNumber,
                             jobs::FencingToken) {
    return cell::MachineResult::Refused;
  }

  std::vector<cell::MachineRecord> Machines_;
};

/// The leader of a cell with its own code for every decision, and store,
/// workers and machines in memory. Runs on the calling thread's fibers.
class LeaderFixture {
public:
  explicit LeaderFixture(int Workers);

  /// Ends the leadership. The object must stay alive: the fibers of its
  /// services last as long as the process.
  void stop();

  /// Runs the leader for \p Time and keeps \p Waiting tasks waiting for a
  /// worker. Returns the number of tasks that ended.
  std::uint64_t run(Duration Time, std::uint64_t Waiting);

private:
  using Service = cell::CellService<QuietStore, MemoryWorkers, IdleMachines>;

  Service makeLeader();
  void listWorkers(int Count);
  void submitJob();
  std::uint64_t waitingTasks() const;

  QuietStore Store_;
  MemoryWorkers Workers_;
  IdleMachines Machines_;
  framework::metrics::Registry Metrics_;
  cell::ConfigInForce InForce_{framework::clock::Duration::zero()};
  Service Leader_;
  std::uint64_t Submitted_ = 0;
};

} // namespace laburnumspread::bench
