#pragma once

#include "framework/http/httptypes.h"
#include "jobs/jobtypes.h"

#include <map>
#include <set>
#include <vector>

#include <absl/status/statusor.h>

/// Schedules jobs on workers: one entry at a time holds a cell and decides.
namespace laburnumspread::cell {

using fleet::PoolName;
using fleet::ZoneName;
using framework::clock::Duration;
using framework::clock::TimePoint;
using framework::http::Address;
using jobs::Label;
using jobs::MachineId;
using jobs::QueueName;
using jobs::Resources;
using jobs::WaveNumber;
using jobs::WorkerId;
using jobs::WorkerLife;
using jobs::WorkspaceName;

using ConfigVersion = framework::ids::StrongNumber<struct ConfigVersionTag>;

/// What the advisor of a queue costs, and how long its word holds.
struct AdviceTerms {
  Duration Decide_{};
  Duration EachWorker_{};
  Duration Valid_{};
};

struct QueueConfig {
  QueueName Name_;
  std::string Host_;
  std::string PathPrefix_;
  PoolName Pool_;
  /// 0 comes first.
  std::int64_t Priority_ = 0;
  std::uint32_t MaxAttempts_ = 3;
  /// A job is in time within this many times its longest chain of work and
  /// AimLatency_ more.
  double Stretch_ = 1;
  Duration AimLatency_{};
  bool Public_ = false;
  std::optional<AdviceTerms> Advice_;
};

struct PoolConfig {
  PoolName Name_;
  /// The pool's machines are off and cost nothing.
  bool Standby_ = false;
  /// Its workers refuse what they have no room for.
  bool AdmissionCheck_ = false;
};

struct WorkspaceConfig {
  WorkspaceName Name_;
  std::vector<std::string> Keys_;
  double Weight_ = 1;
  /// Bound on what runs over all workers; 0 for none.
  Resources MaxAllowed_;
};

/// The operator's configuration, as far as jobs need it.
struct CellConfig {
  ConfigVersion Version_;
  std::vector<QueueConfig> Queues_;
  std::map<PoolName, PoolConfig> Pools_;
  std::map<WorkspaceName, WorkspaceConfig> Workspaces_;
  std::map<std::string, WorkspaceName, std::less<>> KeyOwners_;
  std::uint64_t MaxBodyBytes_ = 1024 * 1024;
  std::size_t MaxHeaderBytes_ = 16 * 1024;

  const QueueConfig *find(const QueueName &Name) const;
  /// The queue of a host with the longest prefix that the path begins with.
  const QueueConfig *route(std::string_view Host, std::string_view Path) const;
};

/// A worker as it reports itself in the platform's store.
struct WorkerRecord {
  WorkerLife Life_;
  PoolName Pool_;
  Address Address_;
  ZoneName Zone_;
  bool Draining_ = false;
  Resources Room_;
  std::vector<Label> Labels_;
  MachineId Machine_;
  /// While it drains: least time that is left.
  Duration Remaining_{};

  bool hasLabel(const Label &Wanted) const;
};

/// Bounds that the platform promises or asks for.
struct CellBounds {
  /// Longest lease that a worker grants to what runs on it.
  Duration LongestHold_ = std::chrono::milliseconds(6000);
  Duration StatusKept_ = std::chrono::seconds(120);
  Duration GangTimeout_ = std::chrono::milliseconds(3000);
  /// Least time between the machine orders of two holders.
  Duration MachineLease_ = std::chrono::milliseconds(3000);
  /// Gives a job's data far away this many times the run time.
  double FarFactor_ = 3;
  Duration Move_ = std::chrono::milliseconds(1500);
  Duration Upkeep_ = std::chrono::milliseconds(2000);
  Duration Grace_ = std::chrono::seconds(6);

  bool operator==(const CellBounds &) const = default;
};

// What a worker says and is told.

enum class OrderResult {
  /// Carried out, or it was so already.
  Done,
  /// A higher fencing token has been seen there.
  Fenced,
  /// Not above a run that was stopped or has ended there.
  OldRun,
  TooLate,
  NoRoom,
  BadTicket,
  Malformed,
  /// The worker is unhealthy and has done nothing.
  Unhealthy,
  /// Another life of the worker answers at the address.
  OtherLife,
  /// No answer: it may have been carried out, or may yet be.
  Unknown,
};
std::string_view nameOf(OrderResult Result);

struct OrderReply {
  OrderResult Result_ = OrderResult::Unknown;
  /// The worker's own clock; 0 when it was not told.
  std::int64_t ClockMs_ = 0;
};

struct StartOrder {
  jobs::RunName Run_;
  std::string_view Payload_;
  std::int64_t DeadlineMs_ = 0;
  jobs::FencingToken Token_;
  jobs::Checkpoint From_;
  std::string Ticket_;
};

struct HoldOrder {
  /// Lease end on the worker's clock; 0 only looks.
  std::int64_t DeadlineMs_ = 0;
  jobs::FencingToken Token_;
  /// Ends up to this number have been taken note of.
  std::uint64_t LastSeen_ = 0;
  Duration Wait_{};
};

struct RunningRow {
  jobs::RunName Run_;
  jobs::Checkpoint Saved_;
  int Percent_ = 0;
  /// Tail latency in milliseconds of a task that serves, else the processor
  /// use in thousandths of a core.
  std::int64_t Figure_ = 0;
};

struct EndRow {
  std::uint64_t Number_ = 0;
  jobs::RunName Run_;
  jobs::EndKind Kind_ = jobs::EndKind::Lost;
  jobs::Checkpoint Saved_;
};

struct HoldReply {
  OrderResult Result_ = OrderResult::Unknown;
  std::int64_t ClockMs_ = 0;
  std::vector<RunningRow> Running_;
  std::vector<EndRow> Ends_;
};

// Machines, as the platform lists them.

enum class MachineState { Up, Moving, Upkeep, Down };

struct MachineRecord {
  MachineId Id_;
  PoolName Pool_;
  MachineState State_ = MachineState::Down;
  ZoneName Zone_;
  std::vector<Label> Labels_;
  Resources Room_;
  WorkerId Worker_;
};

struct WaveRecord {
  WaveNumber Number_;
  std::vector<MachineId> Machines_;
  Duration Duration_{};
  std::uint32_t MaxAllowed_ = 1;
};

/// Orders to a worker. Every answer carries what is known for certain.
template <typename T>
concept WorkerClient = requires(T &C, const WorkerRecord &To,
                                const StartOrder &Start, const HoldOrder &Hold,
                                const jobs::RunName &Run,
                                jobs::FencingToken Token, Duration Time,
                                int Percent) {
  { C.start(To, Start, Time) } -> std::same_as<OrderReply>;
  { C.stop(To, Run, Token, Time) } -> std::same_as<OrderReply>;
  { C.hold(To, Hold, Time) } -> std::same_as<HoldReply>;
  { C.pace(To, Run, Percent, Token, Time) } -> std::same_as<OrderReply>;
  C.forget(To);
};

/// What a call to the platform's machine service came to.
enum class MachineResult {
  Done,
  Fenced,
  /// Not up, or leaving.
  Busy,
  WrongWave,
  Malformed,
  /// Too many calls; nothing was done.
  Refused,
  Unknown,
};
std::string_view nameOf(MachineResult Result);

/// The platform's machine service.
template <typename T>
concept MachineService = requires(T &S, const MachineId &Machine,
                                  const PoolName &Pool, WaveNumber Wave,
                                  jobs::FencingToken Token) {
  { S.list() } -> std::same_as<absl::StatusOr<std::vector<MachineRecord>>>;
  { S.move(Machine, Pool, Token) } -> std::same_as<MachineResult>;
  { S.upkeep(Machine, Wave, Token) } -> std::same_as<MachineResult>;
};

} // namespace laburnumspread::cell
