#pragma once

#include "fleet/fleettypes.h"
#include "membership/membershiptypes.h"

#include <cstdint>
#include <variant>

namespace laburnumspread::sharing {

using fleet::PoolName;
using fleet::RequestClass;
using fleet::TeamName;
using framework::clock::Duration;
using framework::clock::TimePoint;
using membership::MemberId;

/// Identifies a request that waits at this entry.
using TicketId = framework::ids::StrongNumber<struct TicketIdTag>;

/// A request that waits at this entry for a slot.
struct Ticket {
  TicketId Id_;
  TeamName Team_;
  RequestClass Class_ = RequestClass::Normal;
  TimePoint Deadline_{};
  TimePoint ArrivedAt_{};
};

/// A peer's borrow request (the message peers::BorrowRequest) that waits at
/// this entry for free slots of a pool or for free permits of a team.
struct PendingBorrowRequest {
  MemberId From_;
  TeamName Team_;
  RequestClass Class_ = RequestClass::Normal;
  std::uint32_t Count_ = 0;
  /// End of the requested loans.
  TimePoint Until_{};
  /// When the borrow request itself expires. The peer repeats it as long as it
  /// needs slots.
  TimePoint ExpiresAt_{};
};

/// Who gets the next free slot: nobody, a local request or a peer.
using SlotRecipient =
    std::variant<std::monostate, Ticket, PendingBorrowRequest>;

} // namespace laburnumspread::sharing
