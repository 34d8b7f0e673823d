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

/// A request waiting at this entry.
using TicketId = framework::ids::StrongNumber<struct TicketIdTag>;

struct Ticket {
  TicketId Id_;
  TeamName Team_;
  RequestClass Class_ = RequestClass::Normal;
  TimePoint Deadline_{};
  TimePoint ArrivedAt_{};
};

/// A peer's wish for a slot of a pool, for a request that waits there.
struct BorrowRequest {
  MemberId From_;
  TeamName Team_;
  RequestClass Class_ = RequestClass::Normal;
  std::uint32_t Count_ = 0;
  /// The slot is wanted until then.
  TimePoint Until_{};
  /// The wish itself lapses then; the peer repeats it while it holds.
  TimePoint ExpiresAt_{};
};

/// Who gets the next free slot.
using SlotRecipient = std::variant<std::monostate, Ticket, BorrowRequest>;

} // namespace laburnumspread::sharing
