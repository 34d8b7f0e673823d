#pragma once

#include "entry/entrystate.h"
#include "entry/requesttypes.h"
#include "sharing/poolqueue.h"

#include <map>
#include <memory>
#include <random>
#include <set>

namespace laburnumspread::entry {

/// Assigns waiting requests a team permit and an endpoint slot in fair-share
/// order. Lends permits and slots that this entry owns to peers and borrows
/// those it lacks. Requests never move between entries.
class PlacementService {
public:
  explicit PlacementService(EntryState &State);

  /// Starts the fiber that repeats borrow requests, ticks the ledger and
  /// returns idle loans.
  void start();

  /// Waits until the request may run. Requests that cannot run before their
  /// deadline are refused immediately. On error, \p Refusal holds the reason.
  absl::StatusOr<Placement> place(const WorkRequest &Request,
                                  CancelToken &Cancel,
                                  std::span<const routing::EndpointIndex> Avoid,
                                  Problem &Refusal);

  /// Releases the permit and the slot of a placement and records the outcome of
  /// the exchange.
  void finish(const WorkRequest &Request, const Placement &Assigned,
              routing::ExchangeResult Outcome, Duration RunTime,
              const CancelToken &Cancel);

  /// Marks the request as running. Until finish(), repeatable batch work may be
  /// preempted through \p Cancel in favor of urgent work.
  void markRunning(const WorkRequest &Request, CancelToken &Cancel);

  void handle(const peers::Sender &From, const peers::BorrowRequest &Request);
  void handle(const peers::Sender &From, const peers::LoanGrant &Granted);
  void handle(const peers::Sender &From, const peers::LoanReturn &Returned);

  /// Reacts to a change of the configuration or the view.
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
    /// Set while requests are waiting because no slot is free.
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
                     const sharing::PendingBorrowRequest &Request);
  void removeFromQueue(const WaitingRequestPtr &Item);
  void rejectWaiting(const WaitingRequestPtr &Item, Problem Reason);

  void requestPermitLoans();
  void requestSlotLoans(const fleet::PoolName &Pool, PoolState &Row);
  void requestTeamLoans(const fleet::TeamName &Team, std::uint32_t Count,
                        TimePoint Until);
  /// Number of owned and borrowed units that are not in use.
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
  std::map<fleet::TeamName, std::vector<sharing::PendingBorrowRequest>>
      TeamBorrowRequests_;
  /// Teams whose requests wait for a permit, and when a borrow request for one
  /// was last sent.
  std::map<fleet::TeamName, TimePoint> TeamBorrowRequestedAt_;
  std::vector<Preemptible> Preemptible_;
  std::uint64_t NextTicket_ = 0;
};

} // namespace laburnumspread::entry
