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

/// Requests of one team in one pool at one entry.
struct PoolUsage {
  fleet::PoolName Pool_;
  fleet::TeamName Team_;
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
};

/// Slots of a leaving VM that the sender is using or has lent.
struct VmUsage {
  fleet::VmName Vm_;
  std::uint32_t Busy_ = 0;
};

/// State of an entry, sent periodically to every peer. Each heartbeat replaces
/// the previous one, so a lost one only causes a delay.
struct Heartbeat {
  membership::ViewNumber View_;
  membership::ViewNumber SettledThrough_;
  /// Revision of the configuration that the sender has applied.
  fleet::Revision ConfigRevision_;
  /// Sending time of the last heartbeat received from the recipient, by the
  /// recipient's clock.
  TimePoint EchoedSentAt_{};
  std::vector<limits::HeldUnit> StillHeld_;
  std::uint64_t BucketsToCopy_ = 0;
  /// Changed rows, as many as the control traffic budget allows. A row of zeros
  /// removes an earlier one.
  std::vector<PoolUsage> PoolUsage_;
  /// Busy slots of VMs that are leaving as of ConfigRevision_. For a leaving VM
  /// that is not listed, the sender has none.
  std::vector<VmUsage> LeavingVms_;
  bool StoreInTouch_ = false;
  bool Ready_ = false;
};

/// Requests loans: of team permits if Pool_ is empty, otherwise of slots in the
/// pool for requests of the team.
struct BorrowRequest {
  fleet::PoolName Pool_;
  fleet::TeamName Team_;
  fleet::RequestClass Class_ = fleet::RequestClass::Normal;
  std::uint32_t Count_ = 0;
  TimePoint Until_{};
};

/// Loans granted to the recipient. Pool_ is empty for team permits.
struct LoanGrant {
  std::vector<limits::Loan> Loans_;
  fleet::PoolName Pool_;
  fleet::TeamName Team_;
};

/// Loans that the sender returns to their lender.
struct LoanReturn {
  std::vector<limits::LoanId> Loans_;
};

/// Reports the outcome of an attempt to a replica of its idempotency key.
struct Finish {
  idempotency::NamedRecord Record_;
};

/// Releases a reservation whose request was not sent to an endpoint.
struct Abandon {
  idempotency::RecordName Name_;
  idempotency::AttemptId Attempt_;
};

/// Requests all values written after a revision.
struct SnapshotRequest {
  fleet::Revision Since_;
};

/// Values written after the requested revision, complete up to Through_.
struct Snapshot {
  std::vector<store::KeyValue> Items_;
  fleet::Revision Through_;
};

/// Cancels a caller's request at whichever entry holds it.
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

/// Names the leader of the cell that the sender knows of. Receivers keep the
/// one with the highest token, so that a late notice does no harm.
struct LeaderNotice {
  MemberId Id_;
  std::string Address_;
  /// The leader's fencing token; 0 names no leader.
  std::uint64_t Token_ = 0;
};

/// An entry and where it is reached.
struct PeerAddress {
  MemberId Id_;
  std::string Address_;
};

/// When an attempt of a call was sent, and how long the leader took for it.
struct CallTiming {
  /// By the steady clock of the entry that admitted the call.
  TimePoint SentAt_{};
  /// Time from reading the attempt to replying.
  framework::clock::Duration Held_{};
};

/// A caller's request about a job, for the leader of the cell.
struct JobCall {
  /// Unique per sender; copied into the reply.
  std::uint64_t Sequence_ = 0;
  JobCallKind Kind_ = JobCallKind::State;
  std::string Job_;
  std::string Queue_;
  /// Encoded job, for Submit.
  std::string Spec_;
  /// Version of the configuration under which the sender admitted the call.
  std::uint64_t ConfigVersion_ = 0;
  /// Not set by earlier releases.
  std::optional<CallOrigin> Origin_;
  /// Set if the recipient is to forward the call: the leader that the sender
  /// knows of.
  std::optional<LeaderNotice> ForwardTo_ = std::nullopt;
  /// Set if the call was forwarded: the entry that the reply is for. Copied
  /// into the reply.
  std::optional<PeerAddress> ReplyTo_ = std::nullopt;
  /// Number of the attempt to send this call, from 1; copied into the reply. 0
  /// from earlier releases.
  std::uint32_t Attempt_ = 0;
  /// The entry that admitted the call, also if a relay has forwarded it. Taken
  /// from the sender of the message or from ReplyTo_.
  MemberId Caller_ = {};
  /// Fencing token of the leader that is asked; 0 if the sender knows none, or
  /// from earlier releases.
  std::uint64_t Token_ = 0;
  /// When this attempt was sent, by the steady clock of the entry that admitted
  /// the call; copied into the reply. Not set by earlier releases.
  std::optional<TimePoint> SentAt_ = std::nullopt;
};

enum class JobCallStatus {
  /// The change is stored, or the reply holds the requested state or count.
  Ok,
  /// Rejected. No attempt of the call takes effect later.
  Refused,
  /// The job or queue does not exist.
  Missing,
  /// Unknown whether the change was stored.
  Unknown,
  /// The recipient is not the leader; nothing was done.
  NotLeader,
  /// The leader's configuration is newer than the sender's and has no queue for
  /// the call; nothing was done.
  NoSuchQueue,
  /// The leader's configuration is newer than the sender's and does not accept
  /// the key; nothing was done.
  UnknownKey,
  /// The recipient has forwarded the call; another reply follows.
  Forwarded,
};

/// Asks for a LeaderNotice. Sent by an entry that the store does not answer.
struct LeaderQuery {};

/// Why a job was refused.
enum class RefusalReason {
  /// No change can be stored at present. Also what earlier releases report for
  /// any reason.
  StoreUnavailable,
  /// The job would end too late to be of use.
  PoolFull,
  /// The leader is leaving, and no successor was found in time.
  Leaving,
  /// The leader has too little processor time for more jobs.
  LeaderBusy,
  /// The job is larger than a value of the store may be, or has more tasks than
  /// a leader can hold.
  TooLarge,
  /// The leader may lack changes of the configuration that must be in force.
  ConfigNotCurrent,
  /// The leader holds as many tasks as its memory allows.
  TooManyTasks,
};

struct JobReply {
  std::uint64_t Sequence_ = 0;
  JobCallStatus Status_ = JobCallStatus::Unknown;
  /// Name of the job's state.
  std::string State_;
  std::uint64_t Waiting_ = 0;
  std::uint64_t RetryAfterMs_ = 0;
  /// Version of the configuration that the leader has applied.
  std::uint64_t ConfigVersion_ = 0;
  /// With NotLeader, the leader that the sender knows of.
  std::optional<LeaderNotice> Leader_ = std::nullopt;
  /// With Refused, the reason; with NotLeader, Leaving if the sender hands
  /// over, and ConfigNotCurrent if it leads but must not answer.
  RefusalReason Refusal_ = RefusalReason::StoreUnavailable;
  /// Set if the call was forwarded: the entry that the reply is for.
  std::optional<PeerAddress> ReplyTo_ = std::nullopt;
  /// The attempt that this replies to; 0 from earlier releases.
  std::uint32_t Attempt_ = 0;
  /// With a rejection, the fencing token of the leader that decided; 0 from
  /// earlier releases.
  std::uint64_t Token_ = 0;
  /// Set if the call tells when it was sent. Not set by earlier releases.
  std::optional<CallTiming> Timing_ = std::nullopt;
};

/// Whether a call of this kind changes jobs.
constexpr bool changesJobs(JobCallKind Kind) {
  return Kind == JobCallKind::Submit || Kind == JobCallKind::Cancel;
}

/// Whether the status means that the leader has rejected a change.
constexpr bool isRejection(JobCallStatus Status) {
  return Status == JobCallStatus::Refused || Status == JobCallStatus::Missing ||
         Status == JobCallStatus::NoSuchQueue ||
         Status == JobCallStatus::UnknownKey;
}

/// Sent by a leader that cannot reach the store. An entry that can reach it may
/// take over the leadership with this fencing token immediately.
struct LeadershipOffer {
  std::uint64_t Token_ = 0;
};

using Message =
    std::variant<Heartbeat, BorrowRequest, LoanGrant, LoanReturn,
                 idempotency::ReserveRequest, idempotency::ReserveReply, Finish,
                 Abandon, idempotency::CopyRequest, idempotency::CopyReply,
                 SnapshotRequest, Snapshot, CancelRequest, JobCall, JobReply,
                 LeadershipOffer, LeaderNotice, LeaderQuery>;

/// Sender of a message, with the sending time by the sender's clock.
struct Sender {
  MemberId Id_;
  std::string Address_;
  TimePoint SentAt_{};
};

} // namespace laburnumspread::peers
