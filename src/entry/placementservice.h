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
  void running(const WorkRequest &Request, CancelToken &Cancel);

  void handle(const peers::Sender &From, const peers::Borrow &Wish);
  void handle(const peers::Sender &From, const peers::Grant &Granted);
  void handle(const peers::Sender &From, const peers::Return &Returned);

  /// Configuration or view have changed.
  void refresh();

  struct QueueRow {
    fleet::PoolName Pool_;
    fleet::TeamName Team_;
    std::uint32_t Waiting_ = 0;
  };
  std::vector<QueueRow> queues() const;
  std::size_t waiting() const;

private:
  struct Waiting {
    sharing::Ticket Ticket_;
    const WorkRequest *Request_ = nullptr;
    std::vector<routing::EndpointIndex> Avoid_;
    framework::fibers::WaiterPtr Waiter_;
    std::optional<Placement> Placement_;
    std::optional<Problem> Refusal_;
  };
  using WaitingPtr = std::shared_ptr<Waiting>;

  struct PoolState {
    explicit PoolState(std::uint32_t Limit) : Queue_(Limit) {}
    sharing::PoolQueue Queue_;
    TimePoint WishedAt_{};
    /// Set while requests wait for want of a slot.
    bool Starved_ = false;
  };

  struct Preemptible {
    fleet::PoolName Pool_;
    CancelToken *Cancel_ = nullptr;
  };

  PoolState &poolState(const fleet::PoolName &Pool);
  const fleet::Pool *declared(const fleet::PoolName &Pool) const;
  std::optional<Problem> refusalOnArrival(const WorkRequest &Request);
  std::uint32_t weightOf(const fleet::TeamName &Team) const;

  void pump(const fleet::PoolName &Pool);
  void pumpAll();
  bool startTicket(const fleet::PoolName &Pool, const sharing::Ticket &Ticket,
                   std::set<fleet::TeamName> &Blocked);
  bool grantWish(const fleet::PoolName &Pool,
                 const sharing::BorrowRequest &Wish);
  void leaveQueue(const WaitingPtr &Item);
  void refuseWaiting(const WaitingPtr &Item, Problem Why);

  void wishForPermits();
  void wishForSlots(const fleet::PoolName &Pool, PoolState &Row);
  void wishForTeam(const fleet::TeamName &Team, std::uint32_t Count,
                   TimePoint Until);
  /// Own and borrowed units that nobody uses.
  std::uint32_t freePermits(const fleet::TeamName &Team) const;
  std::uint32_t freeSlots(const fleet::PoolName &Pool) const;
  void serveTeamWishes(const fleet::TeamName &Team);
  void returnIdleLoans();
  void sendReturns(const std::vector<limits::LoanId> &Loans);
  void makeRoomForUrgent();
  void tick();

  EntryState &State_;
  std::mt19937_64 Random_;
  std::map<fleet::PoolName, PoolState> Pools_;
  std::map<sharing::TicketId, WaitingPtr> Tickets_;
  std::map<fleet::TeamName, std::vector<sharing::BorrowRequest>> TeamWishes_;
  /// Teams whose requests wait for want of a permit, and since when a wish for
  /// one was last sent.
  std::map<fleet::TeamName, TimePoint> TeamWishedAt_;
  std::vector<Preemptible> Preemptible_;
  std::uint64_t NextTicket_ = 0;
};

} // namespace laburnumspread::entry
