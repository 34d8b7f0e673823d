#pragma once

#include "framework/http/httptypes.h"
#include "jobs/cellconfig.h"
#include "store/kvstore.h"
#include "workers/workertypes.h"

#include <map>
#include <set>
#include <vector>

#include <absl/status/statusor.h>

/// Schedules jobs on workers. One entry at a time leads a cell and makes all
/// its scheduling decisions.
namespace laburnumspread::cell {

using fleet::PoolName;
using fleet::ZoneName;
using framework::clock::Duration;
using framework::clock::TimePoint;
using framework::http::Address;
using jobs::AdviceTerms;
using jobs::CellConfig;
using jobs::ConfigVersion;
using jobs::Label;
using jobs::MachineId;
using jobs::PoolConfig;
using jobs::QueueConfig;
using jobs::QueueName;
using jobs::Resources;
using jobs::WaveNumber;
using jobs::WorkerId;
using jobs::WorkerIncarnation;
using jobs::WorkspaceConfig;
using jobs::WorkspaceName;
using workers::MachineRecord;
using workers::MachineState;
using workers::WaveRecord;
using workers::WorkerRecord;

/// Timing limits and factors of the platform that the scheduler relies on.
struct CellBounds {
  /// Longest lease that a worker grants to the runs on it.
  Duration MaxLease_ = std::chrono::milliseconds(6000);
  /// How long the status of an ended job is kept.
  Duration StatusRetention_ = std::chrono::seconds(120);
  /// Time for all tasks of a gang to start; read from the settings but not
  /// used.
  Duration GangTimeout_ = std::chrono::milliseconds(3000);
  /// Minimum time between machine orders of two successive leaders.
  Duration MachineOrderLease_ = std::chrono::milliseconds(3000);
  /// Run time of a job relative to its normal run time when its data is in
  /// another location.
  double RemoteDataFactor_ = 3;
  /// Minimum time that the move of a machine takes.
  Duration MoveDuration_ = std::chrono::milliseconds(1500);
  /// Minimum time that the upkeep of a machine takes.
  Duration UpkeepDuration_ = std::chrono::milliseconds(2000);
  /// Time within which an evacuation of an availability zone must be obeyed;
  /// zero if the platform sets none.
  Duration EvacuationDelay_{};
  /// Time within which a change of the configuration must be in force at every
  /// entry; zero if the platform sets none.
  Duration ConfigDelay_ = std::chrono::milliseconds(3000);
  /// Time that the platform gives an entry to stop.
  Duration GracePeriod_ = std::chrono::seconds(6);
  /// Largest value that the store accepts.
  std::size_t MaxValueBytes_ = store::DefaultMaxValueBytes;

  bool operator==(const CellBounds &) const = default;
};

// Orders to workers and their replies.

/// Result of an order to a worker.
enum class OrderResult {
  /// Executed by this order, or by an earlier identical one.
  Done,
  /// The worker has seen a higher fencing token.
  Fenced,
  /// The run number is not higher than that of a run that was stopped or has
  /// ended on the worker.
  OldRun,
  /// The deadline of the start had passed on the worker's clock.
  TooLate,
  /// The worker lacks the resources for the task.
  NoRoom,
  /// The worker refused the advisor's ticket.
  BadTicket,
  Malformed,
  /// The worker is unhealthy and did nothing.
  Unhealthy,
  /// The process at the worker's address is another incarnation of the worker.
  OtherIncarnation,
  /// The order did not leave this process, so it is never executed.
  NotSent,
  /// No reply: the order may have been executed, or may still be executed
  /// later.
  Unknown,
};
/// Returns the name used in logs and metrics.
std::string_view nameOf(OrderResult Result);

/// Whether the worker gave no reply to an order.
constexpr bool isUnanswered(OrderResult Result) {
  return Result == OrderResult::Unknown || Result == OrderResult::NotSent;
}

/// Reply to a start, a stop or a change of pace.
struct OrderReply {
  OrderResult Result_ = OrderResult::Unknown;
  /// The worker's clock in milliseconds; 0 if the reply did not carry it.
  std::int64_t ClockMs_ = 0;
};

/// Starts one run of a task.
struct StartOrder {
  jobs::RunName Run_;
  std::string_view Payload_;
  /// Time on the worker's clock after which the worker ignores the order.
  std::int64_t DeadlineMs_ = 0;
  jobs::FencingToken Token_;
  /// Checkpoint to resume from; empty for a start from the beginning.
  jobs::Checkpoint ResumeFrom_;
  /// Ticket from the advisor; empty if the step needs none.
  std::string Ticket_;
};

/// Renews the lease of all runs on a worker and requests a report. The worker
/// may delay its reply until a run ends.
struct HoldOrder {
  /// Requested end of the lease on the worker's clock; 0 requests a report
  /// without renewing the lease.
  std::int64_t DeadlineMs_ = 0;
  jobs::FencingToken Token_;
  /// The leader has stored all run ends up to this number, so the worker may
  /// drop them.
  std::uint64_t AcknowledgedEnds_ = 0;
  /// How long the worker may wait for a run to end before it replies.
  Duration Wait_{};
};

/// A run that is active on a worker.
struct RunningReport {
  jobs::RunName Run_;
  jobs::Checkpoint Saved_;
  /// Pace of the run in percent of full speed.
  int Percent_ = 0;
  /// Tail latency in milliseconds for serving tasks, CPU usage in thousandths
  /// of a core for all others.
  std::int64_t Measurement_ = 0;
};

/// A run that has ended on a worker.
struct EndReport {
  /// Sequence number of the end on this worker.
  std::uint64_t Number_ = 0;
  jobs::RunName Run_;
  jobs::EndKind Kind_ = jobs::EndKind::Lost;
  jobs::Checkpoint Saved_;
};

/// Number of ends that a worker returns in one report; further ones follow once
/// these have been acknowledged.
constexpr std::uint64_t MaxEndsPerReport = 500;

/// A worker's report of its active runs and of the ends that were not
/// acknowledged yet.
struct HoldReply {
  OrderResult Result_ = OrderResult::Unknown;
  std::int64_t ClockMs_ = 0;
  std::vector<RunningReport> Running_;
  std::vector<EndReport> Ends_;
};

/// Longest time for which an order waits for a connection to its worker. A task
/// that waits longer is better planned anew.
constexpr Duration MaxConnectionWait = std::chrono::milliseconds(500);

/// Sends orders to a worker. Each call waits at most the given time; if there
/// was no reply, the result is Unknown or NotSent. Whether an order may be sent
/// is checked after awaitConnection(), which can take MaxConnectionWait, and
/// right before the call, which leaves at once or not at all.
template <typename T>
concept WorkerClient = requires(T &C, const WorkerRecord &To,
                                const StartOrder &Start, const HoldOrder &Hold,
                                const jobs::RunName &Run,
                                jobs::FencingToken Token, Duration Time,
                                int Percent) {
  { C.awaitConnection(To, Time) } -> std::same_as<bool>;
  { C.start(To, Start, Time) } -> std::same_as<OrderReply>;
  { C.stop(To, Run, Token, Time) } -> std::same_as<OrderReply>;
  { C.hold(To, Hold, Time) } -> std::same_as<HoldReply>;
  { C.pace(To, Run, Percent, Token, Time) } -> std::same_as<OrderReply>;
  C.forget(To);
};

/// Result of a call to the platform's machine service.
enum class MachineResult {
  Done,
  Fenced,
  /// The machine is not up, or is leaving.
  Busy,
  /// The platform refused the wave that the order names.
  WrongWave,
  Malformed,
  /// The rate limit was exceeded; nothing was done.
  Refused,
  Unknown,
};
/// Returns the name used in logs and metrics.
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
