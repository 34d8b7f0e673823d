#pragma once

#include "fleet/fleettypes.h"
#include "idempotency/idempotencytypes.h"
#include "limits/limitstypes.h"
#include "store/kvstore.h"

#include <variant>
#include <vector>

namespace laburnumspread::peers {

using framework::clock::TimePoint;
using membership::MemberId;

/// Work of one team in one pool at one entry.
struct PoolUse {
  fleet::PoolName Pool_;
  fleet::TeamName Team_;
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
};

/// Slots of a leaving VM that the sender uses or has lent.
struct VmUse {
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
  TimePoint Echo_{};
  std::vector<limits::HeldUnit> StillHeld_;
  std::uint64_t BucketsToCopy_ = 0;
  /// Rows that have changed, as many as the bound on control traffic allows; a
  /// row of zeros takes one back.
  std::vector<PoolUse> Use_;
  /// Busy slots of VMs that are leaving under ConfigRevision_. A leaving VM
  /// that is not listed has none at the sender.
  std::vector<VmUse> Leaving_;
  bool StoreInTouch_ = false;
  bool Ready_ = false;
};

/// Asks for loans: of team permits if Pool_ is empty, else of slots in the
/// pool, for a request of the team.
struct Borrow {
  fleet::PoolName Pool_;
  fleet::TeamName Team_;
  fleet::RequestClass Class_ = fleet::RequestClass::Normal;
  std::uint32_t Count_ = 0;
  TimePoint Until_{};
};

struct Grant {
  std::vector<limits::Loan> Loans_;
  fleet::PoolName Pool_;
  fleet::TeamName Team_;
};

struct Return {
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
struct Cancel {
  idempotency::RecordName Name_;
};

using Message =
    std::variant<Heartbeat, Borrow, Grant, Return, idempotency::ReserveRequest,
                 idempotency::ReserveReply, Finish, Abandon,
                 idempotency::CopyRequest, idempotency::CopyReply,
                 SnapshotRequest, Snapshot, Cancel>;

/// Who sent a message, and when by its own clock.
struct Sender {
  MemberId Id_;
  std::string Address_;
  TimePoint SentAt_{};
};

} // namespace laburnumspread::peers
