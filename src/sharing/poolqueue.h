#pragma once

#include "sharing/fleetusage.h"
#include "sharing/sharingtypes.h"

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

#include <absl/status/status.h>

namespace laburnumspread::sharing {

/// What the choice of the next request depends on.
struct ShareInputs {
  const FleetUsage &Usage_;
  const PoolName &Pool_;
  /// Slots of the whole pool.
  std::uint32_t PoolSlots_ = 0;
  /// Weight of a team's share.
  std::function<std::uint32_t(const TeamName &)> Weight_;
  /// Whether a team could start one more request at this entry now.
  std::function<bool(const TeamName &)> MayStart_;
  TimePoint Now_{};
};

/// Requests that wait for a slot of one pool at one entry, and the wishes of
/// peers for the slots that this entry owns.
///
/// The next slot goes to the team that is furthest below its weighted share
/// over the fleet, to urgent requests of teams below their share before all
/// others. Since the counts are the fleet's and a peer's waiting requests
/// compete by wishes, the share does not depend on which entry a team's
/// callers reach.
class PoolQueue {
public:
  explicit PoolQueue(std::uint32_t Limit) : Limit_(Limit) {}

  void setLimit(std::uint32_t Limit) { Limit_ = Limit; }

  /// ResourceExhausted when the queue is full.
  absl::Status push(Ticket Item);
  /// Takes a request out. False if it does not wait here.
  bool cancel(TicketId Id);
  /// Takes out all requests whose deadline has passed.
  std::vector<TicketId> expire(TimePoint Now);

  /// Notes a peer's wish; it replaces the peer's former one for the team.
  void addBorrowRequest(const BorrowRequest &Item);
  /// One slot was given to a wish.
  void recordGrant(const BorrowRequest &Item);

  /// Who should get the next free slot. A chosen ticket stays until cancel().
  SlotRecipient selectNext(const ShareInputs &Inputs) const;

  std::size_t size() const { return Tickets_.size(); }
  std::uint32_t waiting(const TeamName &Team) const;
  std::uint32_t waiting(const TeamName &Team, RequestClass Class) const;
  /// Teams that wait here.
  std::vector<TeamName> teams() const;
  /// Oldest urgent request that has waited since before \p Since.
  const Ticket *urgentWaitingSince(TimePoint Since) const;

private:
  struct TeamQueue {
    std::array<std::deque<TicketId>, 3> ByClass_;
    std::array<std::uint32_t, 3> Count_{};
    std::uint32_t total() const { return Count_[0] + Count_[1] + Count_[2]; }
  };

  const Ticket *head(const TeamQueue &Of) const;
  void dropCancelled(TeamQueue &Of);

  std::uint32_t Limit_;
  std::unordered_map<TicketId, Ticket> Tickets_;
  std::map<TeamName, TeamQueue> Teams_;
  std::vector<BorrowRequest> BorrowRequests_;
};

} // namespace laburnumspread::sharing
