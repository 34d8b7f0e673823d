#pragma once

#include "sharing/fleetusage.h"
#include "sharing/sharingtypes.h"

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

#include <absl/status/status.h>

namespace laburnumspread::sharing {

/// Inputs to the selection of the next request.
struct ShareInputs {
  const FleetUsage &Usage_;
  const PoolName &Pool_;
  /// Slots of the whole pool.
  std::uint32_t PoolSlots_ = 0;
  /// Weight of a workspace's share.
  std::function<std::uint32_t(const TeamName &)> Weight_;
  /// Whether a workspace can start another request at this entry now.
  std::function<bool(const TeamName &)> MayStart_;
  TimePoint Now_{};
};

/// Requests that wait at one entry for a slot of one pool, and the borrow
/// requests of peers for the slots that this entry owns.
///
/// Implements weighted fair sharing: the next slot goes to the workspace with
/// the lowest usage for its weight over the whole fleet. Urgent requests of
/// workspaces below their share go before all others. Usage is counted over the
/// fleet and the waiting requests of peers compete through borrow requests, so
/// a workspace's share does not depend on which entry its callers reach.
class PoolQueue {
public:
  explicit PoolQueue(std::uint32_t Limit) : Limit_(Limit) {}

  void setLimit(std::uint32_t Limit) { Limit_ = Limit; }

  /// Adds a request. Returns ResourceExhausted if the queue is full.
  absl::Status push(Ticket Item);
  /// Removes a request. Returns false if it does not wait here.
  bool cancel(TicketId Id);
  /// Removes and returns all requests whose deadline has passed.
  std::vector<TicketId> expire(TimePoint Now);

  /// Adds a peer's borrow request. Replaces the peer's previous one for the
  /// same workspace and class; a count of zero only removes it.
  void addBorrowRequest(const PendingBorrowRequest &Item);
  /// Counts one slot as granted to a borrow request.
  void recordGrant(const PendingBorrowRequest &Item);

  /// Selects who should get the next free slot. A selected ticket stays in the
  /// queue until cancel().
  SlotRecipient selectNext(const ShareInputs &Inputs) const;

  std::size_t size() const { return Tickets_.size(); }
  std::uint32_t waiting(const TeamName &Team) const;
  std::uint32_t waiting(const TeamName &Team, RequestClass Class) const;
  /// Workspaces with requests that wait here.
  std::vector<TeamName> teams() const;
  /// An urgent request that arrived at \p Since or earlier, or null.
  const Ticket *urgentWaitingSince(TimePoint Since) const;

private:
  struct TeamQueue {
    std::array<std::deque<TicketId>, 3> ByClass_;
    std::array<std::uint32_t, 3> Count_{};
    std::uint32_t total() const { return Count_[0] + Count_[1] + Count_[2]; }
  };

  const Ticket *head(const TeamQueue &Queue) const;
  void dropCancelled(TeamQueue &Queue);

  std::uint32_t Limit_;
  std::unordered_map<TicketId, Ticket> Tickets_;
  std::map<TeamName, TeamQueue> Teams_;
  std::vector<PendingBorrowRequest> BorrowRequests_;
};

} // namespace laburnumspread::sharing
