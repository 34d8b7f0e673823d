#pragma once

#include "entry/entrystate.h"
#include "entry/requesttypes.h"
#include "sharing/poolqueue.h"

#include <map>
#include <memory>
#include <random>
#include <set>

namespace laburnumspread::entry {

/// Gives waiting requests a team permit and an endpoint's slot, in the order
/// of the shares; lends what this entry owns to peers and borrows what it
/// lacks. Permits travel, requests do not.
class PlacementService {
public:
  explicit PlacementService(EntryState &State);

  /// Starts the fiber that repeats wishes, expires waits and returns loans.
  void start();

  /// Waits until the request may run. Refuses at once what cannot run in time.
  absl::StatusOr<Placement> place(const WorkRequest &Request,
                                  CancelToken &Cancel,
                                  std::span<const routing::EndpointIndex> Avoid,
                                  Problem &Refusal);

  /// Gives back what a placement held and notes how the exchange went.
  void finish(const WorkRequest &Request, const Placement &Held,
              routing::ExchangeResult How, Duration RunTime,
              const CancelToken &Cancel);

  /// The request runs now. Repeatable batch work may be stopped for urgent
  /// work by its token, until finish().
  void markRunning(const WorkRequest &Request, CancelToken &Cancel);

  void handle(const peers::Sender &From, const peers::BorrowRequest &Wish);
  void handle(const peers::Sender &From, const peers::LoanGrant &Granted);
  void handle(const peers::Sender &From, const peers::LoanReturn &Returned);

  /// Configuration or view have changed.
  void refresh();

  struct QueueLength {
    fleet::PoolName Pool_;
    fleet::TeamName Team_;
    std::uint32_t Waiting_ = 0;
  };
  std::vector<QueueLength> queues() const;
  std::size_t waiting() const;

private:
  struct WaitingRequest {
    sharing::Ticket Ticket_;
    const WorkRequest *Request_ = nullptr;
    std::vector<routing::EndpointIndex> Avoid_;
    framework::fibers::WaiterPtr Waiter_;
    std::optional<Placement> Placement_;
    std::optional<Problem> Refusal_;
  };
  using WaitingRequestPtr = std::shared_ptr<WaitingRequest>;

  struct PoolState {
    explicit PoolState(std::uint32_t Limit) : Queue_(Limit) {}
    sharing::PoolQueue Queue_;
    TimePoint BorrowRequestedAt_{};
    /// Set while requests wait for want of a slot.
    bool WaitingForSlot_ = false;
  };

  struct Preemptible {
    fleet::PoolName Pool_;
    CancelToken *Cancel_ = nullptr;
  };

  PoolState &poolState(const fleet::PoolName &Pool);
  const fleet::Pool *findPool(const fleet::PoolName &Pool) const;
  std::optional<Problem> checkAdmission(const WorkRequest &Request);
  std::uint32_t weightOf(const fleet::TeamName &Team) const;

  void dispatchWaiting(const fleet::PoolName &Pool);
  void dispatchAllPools();
  bool tryStart(const fleet::PoolName &Pool, const sharing::Ticket &Ticket,
                std::set<fleet::TeamName> &Blocked);
  bool grantSlotLoan(const fleet::PoolName &Pool,
                     const sharing::BorrowRequest &Wish);
  void removeFromQueue(const WaitingRequestPtr &Item);
  void rejectWaiting(const WaitingRequestPtr &Item, Problem Why);

  void requestPermitLoans();
  void requestSlotLoans(const fleet::PoolName &Pool, PoolState &Row);
  void requestTeamLoans(const fleet::TeamName &Team, std::uint32_t Count,
                        TimePoint Until);
  /// Own and borrowed units that nobody uses.
  std::uint32_t freePermits(const fleet::TeamName &Team) const;
  std::uint32_t freeSlots(const fleet::PoolName &Pool) const;
  void serveTeamBorrowRequests(const fleet::TeamName &Team);
  void returnIdleLoans();
  void sendReturns(const std::vector<limits::LoanId> &Loans);
  void preemptForUrgent();
  void tick();

  EntryState &State_;
  std::mt19937_64 Random_;
  std::map<fleet::PoolName, PoolState> Pools_;
  std::map<sharing::TicketId, WaitingRequestPtr> Tickets_;
  std::map<fleet::TeamName, std::vector<sharing::BorrowRequest>>
      TeamBorrowRequests_;
  /// Teams whose requests wait for want of a permit, and since when a wish for
  /// one was last sent.
  std::map<fleet::TeamName, TimePoint> TeamBorrowRequestedAt_;
  std::vector<Preemptible> Preemptible_;
  std::uint64_t NextTicket_ = 0;
};

} // namespace laburnumspread::entry
