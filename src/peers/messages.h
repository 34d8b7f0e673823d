#pragma once

#include "fleet/fleettypes.h"
#include "idempotency/idempotencytypes.h"
#include "limits/limitstypes.h"
#include "store/kvstore.h"

#include <optional>
#include <variant>
#include <vector>

namespace laburnumspread::peers {

using framework::clock::TimePoint;
using membership::MemberId;

/// Work of one team in one pool at one entry.
struct PoolUsage {
  fleet::PoolName Pool_;
  fleet::TeamName Team_;
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
};

/// Slots of a leaving VM that the sender uses or has lent.
struct VmUsage {
  fleet::VmName Vm_;
  std::uint32_t Busy_ = 0;
};

/// What an entry says of itself, to every peer, again and again. Each one
/// replaces the one before, so a lost one costs only time.
struct Heartbeat {
  membership::ViewNumber View_;
  membership::ViewNumber SettledThrough_;
  /// Configuration in force at the sender.
  fleet::Revision ConfigRevision_;
  /// Sending time of the last heartbeat from the recipient.
  TimePoint EchoedSentAt_{};
  std::vector<limits::HeldUnit> StillHeld_;
  std::uint64_t BucketsToCopy_ = 0;
  /// Rows that have changed, as many as the bound on control traffic allows; a
  /// row of zeros takes one back.
  std::vector<PoolUsage> PoolUsage_;
  /// Busy slots of VMs that are leaving under ConfigRevision_. A leaving VM
  /// that is not listed has none at the sender.
  std::vector<VmUsage> LeavingVms_;
  bool StoreInTouch_ = false;
  bool Ready_ = false;
};

/// Asks for loans: of team permits if Pool_ is empty, else of slots in the
/// pool, for a request of the team.
struct BorrowRequest {
  fleet::PoolName Pool_;
  fleet::TeamName Team_;
  fleet::RequestClass Class_ = fleet::RequestClass::Normal;
  std::uint32_t Count_ = 0;
  TimePoint Until_{};
};

struct LoanGrant {
  std::vector<limits::Loan> Loans_;
  fleet::PoolName Pool_;
  fleet::TeamName Team_;
};

struct LoanReturn {
  std::vector<limits::LoanId> Loans_;
};

struct Finish {
  idempotency::NamedRecord Record_;
};

struct Abandon {
  idempotency::RecordName Name_;
  idempotency::AttemptId Attempt_;
};

/// Asks for everything that was written after a revision.
struct SnapshotRequest {
  fleet::Revision Since_;
};

struct Snapshot {
  std::vector<store::KeyValue> Items_;
  fleet::Revision Through_;
};

/// The caller of a request wants it ended, wherever it waits.
struct CancelRequest {
  idempotency::RecordName Name_;
};

enum class JobCallKind { Submit, State, Cancel, Waiting };

/// The parts of a caller's request that determine its queue and access.
struct CallOrigin {
  std::string Host_;
  std::string Path_;
  std::string Key_;
};

/// A caller's request about a job, passed on to the holder of the cell.
struct JobCall {
  /// Unique at the sender; the reply carries it.
  std::uint64_t Sequence_ = 0;
  JobCallKind Kind_ = JobCallKind::State;
  std::string Job_;
  std::string Queue_;
  /// Encoded job, for Submit.
  std::string Spec_;
  /// Version of the configuration by which the caller was let in.
  std::uint64_t ConfigVersion_ = 0;
  /// Not set by entries of earlier releases.
  std::optional<CallOrigin> Origin_;
};

enum class JobCallStatus {
  /// Stored, or the state or count is in the reply.
  Ok,
  /// Not taken, and never will be by this attempt.
  Refused,
  /// No such job or queue.
  Missing,
  /// Whether it was stored is not known.
  Unknown,
  /// The recipient is not the holder; nothing was done.
  NotLeader,
  /// The holder's configuration is newer than the entry's and has no queue for
  /// the call; nothing was done.
  NoSuchQueue,
  /// The holder's configuration is newer than the entry's and does not accept
  /// the key; nothing was done.
  UnknownKey,
};

struct JobReply {
  std::uint64_t Sequence_ = 0;
  JobCallStatus Status_ = JobCallStatus::Unknown;
  /// Name of the job's state.
  std::string State_;
  std::uint64_t Waiting_ = 0;
  std::uint64_t RetryAfterMs_ = 0;
  /// Version of the configuration in force at the holder.
  std::uint64_t ConfigVersion_ = 0;
};

/// The holder of the cell cannot reach the store. Whoever can may take the
/// leadership with this token over at once.
struct LeadershipOffer {
  std::uint64_t Token_ = 0;
};

using Message =
    std::variant<Heartbeat, BorrowRequest, LoanGrant, LoanReturn,
                 idempotency::ReserveRequest, idempotency::ReserveReply, Finish,
                 Abandon, idempotency::CopyRequest, idempotency::CopyReply,
                 SnapshotRequest, Snapshot, CancelRequest, JobCall, JobReply,
                 LeadershipOffer>;

/// Who sent a message, and when by its own clock.
struct Sender {
  MemberId Id_;
  std::string Address_;
  TimePoint SentAt_{};
};

} // namespace laburnumspread::peers
