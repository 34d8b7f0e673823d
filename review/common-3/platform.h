#pragma once

#include "http.h"
#include "record.h"

#include <condition_variable>
#include <memory>
#include <vector>

#include <boost/json/value.hpp>

/// The users' platform as PROTOCOL.md describes it: the metadata store, the
/// list of machines and the workers, on loopback addresses and the real clock.
namespace review3 {

/// Bounds of the small deployments (SYSTEM.md), in milliseconds.
constexpr std::int64_t HoldMaxMs = 6000;
constexpr std::int64_t ShutdownMs = 200;
constexpr std::int64_t GangTimeoutMs = 3000;
constexpr std::int64_t MoveMs = 1500;
constexpr std::int64_t MaintenanceMs = 2000;
constexpr std::int64_t HeartbeatMs = 1500;

/// A task's name and the number of a start.
using Run = std::pair<std::string, std::int64_t>;

/// A start that a worker has begun.
struct Start {
  Run Run_;
  std::string Worker_;
  std::int64_t BegunMs_ = 0;
  /// 0 while it runs.
  std::int64_t EndedMs_ = 0;
  std::string How_;
  /// When its end was taken note of; 0 if it was not.
  std::int64_t AcknowledgedMs_ = 0;
};

/// A call that orders a move or the upkeep of a machine.
struct MachineOrder {
  std::string Kind_;
  std::string Machine_;
  std::string Pool_;
  std::int64_t Wave_ = 0;
  std::string Holder_;
  std::int64_t Token_ = 0;
};

/// An upkeep that has begun.
struct Upkeep {
  std::string Machine_;
  std::int64_t Wave_ = 0;
  std::int64_t BegunMs_ = 0;
  /// Machines of the wave that were down for theirs.
  std::int64_t OthersDown_ = 0;
};

/// Runs what it is told. A task's spec is "ms=N": it ends `done` after N
/// milliseconds, or lasts with 0.
class Worker;

class Platform {
public:
  explicit Platform(Record &Log);
  ~Platform();
  Platform(const Platform &) = delete;
  Platform &operator=(const Platform &) = delete;

  void start();
  std::string address() const { return Server_.address(); }

  /// Adds a machine with 16 cores and 32 GB, and a worker on it.
  void addMachine(const std::string &Machine, const std::string &Service,
                  const std::string &Rack, const std::string &Kind = "a");
  /// The worker's process is gone at once; its entry expires later.
  void crashWorker(const std::string &Machine);
  /// It starts again under the id that it had. Its machine's time of day is
  /// ahead by \p AheadMs then.
  void restartWorker(const std::string &Machine, std::int64_t AheadMs);
  std::string workerOn(const std::string &Machine) const;

  /// Writes as the operator or another writer does, and returns the revision.
  std::int64_t write(const std::string &Key, const std::string &Value);
  std::optional<std::string> read(const std::string &Key) const;

  /// Decides on the order of the given number (from 1): 0 if it is carried out
  /// and answered at once, else it gets no answer and is carried out after so
  /// many milliseconds.
  std::function<std::int64_t(const MachineOrder &, int)> Lateness_;

  /// The same for orders to workers to start a task; the number counts all of
  /// them. An order that is late is carried out by the process that then has
  /// the worker's id and address.
  std::function<std::int64_t(const Run &, int)> StartLateness_;

  /// Machines whose workers are unhealthy: they answer starts with 503 and do
  /// nothing else with them.
  void setUnhealthy(const std::string &Machine, bool Unhealthy);

  std::vector<Start> starts() const;
  std::vector<MachineOrder> orders() const;
  std::vector<Upkeep> upkeeps() const;
  /// Breaches of TWICE: a task that ran twice at the same time, or was started
  /// after its end `done` had been taken note of.
  std::vector<std::string> twice() const;
  std::size_t machinesDown() const;

private:
  friend class Worker;

  struct Item {
    std::string Value_;
    std::int64_t Revision_ = 0;
    std::int64_t Created_ = 0;
    std::int64_t Lease_ = 0;
  };
  struct Event {
    std::string Key_;
    std::int64_t Revision_ = 0;
    bool Deleted_ = false;
    Item Item_;
  };
  struct Lease {
    std::int64_t Ttl_ = 0;
    std::int64_t EndsMs_ = 0;
  };
  struct Machine {
    std::string Pool_;
    std::string State_ = "up";
    std::string Rack_;
    std::string Kind_;
    bool Unhealthy_ = false;
    std::shared_ptr<Worker> Worker_;
    std::set<std::int64_t> Waves_;
    std::int64_t Wave_ = 0;
    std::int64_t Token_ = 0;
  };

  using Lock = std::unique_lock<std::mutex>;

  HttpReply handle(const HttpRequest &Request);
  HttpReply range(const HttpRequest &Request) const;
  HttpReply watch(const HttpRequest &Request);
  HttpReply transact(const HttpRequest &Request);
  HttpReply lease(const HttpRequest &Request);
  HttpReply listMachines() const;
  HttpReply order(const HttpRequest &Request);
  HttpReply carryOut(const MachineOrder &Order);
  void putLocked(const std::string &Key, const std::string &Value,
                 std::int64_t Lease);
  void removeLocked(const std::string &Key);
  void addWorkerLocked(const std::string &Name);
  void registerLocked(const std::string &Name);
  void tick();
  boost::json::object toJson(const std::string &Key, const Item &From) const;

  Record &Log_;
  HttpServer Server_;
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Stopped_ = false;
  std::int64_t Revision_ = 1;
  std::map<std::string, Item> Items_;
  std::vector<Event> Events_;
  std::map<std::int64_t, Lease> Leases_;
  std::int64_t NextLease_ = 1;
  std::map<std::string, Machine> Machines_;
  std::int64_t NextWorker_ = 1;
  std::int64_t Sequence_ = 1;
  std::int64_t NextBeatMs_ = 0;
  /// When each worker wrote its entry last, by the entry's key.
  std::map<std::string, std::int64_t> BeatAt_;
  std::vector<Start> Starts_;
  int StartOrders_ = 0;
  std::vector<MachineOrder> Orders_;
  std::vector<Upkeep> Upkeeps_;
  std::vector<std::string> Twice_;
  /// Machines that are back up at the given time.
  std::multimap<std::int64_t, std::string> Returning_;
};

} // namespace review3
