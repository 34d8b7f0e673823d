#pragma once

#include "framework/http/httptypes.h"
#include "jobs/cellconfig.h"
#include "workers/workertypes.h"

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

/// Bounds that the platform promises or asks for.
struct CellBounds {
  /// Longest lease that a worker grants to what runs on it.
  Duration MaxLease_ = std::chrono::milliseconds(6000);
  Duration StatusRetention_ = std::chrono::seconds(120);
  Duration GangTimeout_ = std::chrono::milliseconds(3000);
  /// Least time between the machine orders of two holders.
  Duration MachineOrderLease_ = std::chrono::milliseconds(3000);
  /// Gives a job's data far away this many times the run time.
  double RemoteDataFactor_ = 3;
  Duration MoveDuration_ = std::chrono::milliseconds(1500);
  Duration UpkeepDuration_ = std::chrono::milliseconds(2000);
  Duration GracePeriod_ = std::chrono::seconds(6);

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
  jobs::Checkpoint ResumeFrom_;
  std::string Ticket_;
};

struct HoldOrder {
  /// Lease end on the worker's clock; 0 only looks.
  std::int64_t DeadlineMs_ = 0;
  jobs::FencingToken Token_;
  /// Ends up to this number have been taken note of.
  std::uint64_t AcknowledgedEnds_ = 0;
  Duration Wait_{};
};

struct RunningReport {
  jobs::RunName Run_;
  jobs::Checkpoint Saved_;
  int Percent_ = 0;
  /// Tail latency in milliseconds of a task that serves, else the processor
  /// use in thousandths of a core.
  std::int64_t Measurement_ = 0;
};

struct EndReport {
  std::uint64_t Number_ = 0;
  jobs::RunName Run_;
  jobs::EndKind Kind_ = jobs::EndKind::Lost;
  jobs::Checkpoint Saved_;
};

struct HoldReply {
  OrderResult Result_ = OrderResult::Unknown;
  std::int64_t ClockMs_ = 0;
  std::vector<RunningReport> Running_;
  std::vector<EndReport> Ends_;
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
