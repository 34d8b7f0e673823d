#include "entry/placementservice.h"

#include <algorithm>

// The part of PlacementService that lends permits and slots to peers and
// borrows them.

namespace laburnumspread::entry {

using fleet::PoolName;
using fleet::TeamName;
using routing::EndpointIndex;
using sharing::PendingBorrowRequest;
using namespace std::chrono_literals;

namespace {

/// Borrow requests are repeated at this interval and expire at the owner a
/// little later, so that a lost request costs one interval and a stale one gets
/// no loan.
constexpr Duration BorrowRequestInterval = 100ms;
constexpr Duration BorrowRequestTtl = 300ms;
/// Loans unused for this long are returned. Longer than the gap between two
/// requests of a steady caller, so that skewed load does not borrow again for
/// each request.
constexpr Duration MaxLoanIdleTime = 100ms;
/// A request needs a permit and a slot. An entry borrows at most as many of one
/// as it has free of the other, plus this number so that it can start with
/// none. Borrowing for all waiting requests left permits idle where slots were
/// missing, and vice versa.
constexpr std::uint32_t BorrowHeadroom = 2;
/// Loans are requested for this long beyond the deadline of the request that
/// needs them, so that later requests with later deadlines can reuse them.
/// Without it, each loan served one round of requests and then lay idle until
/// it was returned (measurements in docs/design/limits.md).
constexpr Duration LoanReuseMargin = 10s;
constexpr std::uint32_t MaxLoansPerRequest = 64;

} // namespace

// Lending

bool PlacementService::grantSlotLoan(const PoolName &Pool,
                                     const PendingBorrowRequest &Request) {
  for (EndpointIndex Index : State_.Endpoints_.inPool(Pool)) {
    const auto &Row = State_.Endpoints_.at(Index);
    if (!Row.Open_ || State_.Ledger_.freeOwnedUnits(Row.Subject_) == 0)
      continue;
    const auto Loans =
        State_.Ledger_.lend(Row.Subject_, Request.From_, 1, Request.Until_);
    State_.Send_(Request.From_, peers::LoanGrant{Loans, Pool, Request.Team_});
    State_.Metrics_.counter("loans_granted_total{kind=\"slot\"}").add();
    poolState(Pool).Queue_.recordGrant(Request);
    return true;
  }
  return false;
}

void PlacementService::serveTeamBorrowRequests(const TeamName &Team) {
  const auto Requests = TeamBorrowRequests_.find(Team);
  const auto Subject = State_.Ledger_.find(teamSubject(Team.str()));
  if (Requests == TeamBorrowRequests_.end() || !Subject)
    return;
  for (PendingBorrowRequest &Request : Requests->second) {
    if (Request.ExpiresAt_ <= State_.now() || Request.Count_ == 0)
      continue;
    const auto Loans = State_.Ledger_.lend(*Subject, Request.From_,
                                           Request.Count_, Request.Until_);
    if (Loans.empty())
      break;
    Request.Count_ -= Loans.size();
    State_.Metrics_.counter("loans_granted_total{kind=\"team\"}")
        .add(Loans.size());
    State_.Send_(Request.From_, peers::LoanGrant{Loans, PoolName(), Team});
  }
  std::erase_if(Requests->second, [&](const PendingBorrowRequest &Request) {
    return Request.Count_ == 0 || Request.ExpiresAt_ <= State_.now();
  });
  if (Requests->second.empty())
    TeamBorrowRequests_.erase(Requests);
}

void PlacementService::handle(const peers::Sender &From,
                              const peers::BorrowRequest &Message) {
  if (State_.fenced())
    return;
  const TimePoint Now = State_.now();
  PendingBorrowRequest Request{
      From.Id_,
      Message.Team_,
      Message.Class_,
      std::min(Message.Count_, MaxLoansPerRequest),
      std::min(Message.Until_, Now + membership::MaxTaskLease),
      Now + BorrowRequestTtl};
  if (!Message.Pool_.empty()) {
    if (!findPool(Message.Pool_))
      return;
    poolState(Message.Pool_).Queue_.addBorrowRequest(Request);
    return dispatchWaiting(Message.Pool_);
  }
  auto &Requests = TeamBorrowRequests_[Message.Team_];
  std::erase_if(Requests, [&](const PendingBorrowRequest &Old) {
    return Old.From_ == From.Id_;
  });
  Requests.push_back(Request);
  serveTeamBorrowRequests(Message.Team_);
}

void PlacementService::handle(const peers::Sender &,
                              const peers::LoanGrant &Granted) {
  for (const limits::Loan &Item : Granted.Loans_)
    State_.Ledger_.acceptLoan(Item, State_.now());
  if (!Granted.Pool_.empty())
    return dispatchWaiting(Granted.Pool_);
  dispatchAllPools();
}

void PlacementService::handle(const peers::Sender &,
                              const peers::LoanReturn &Returned) {
  for (const limits::LoanId &Id : Returned.Loans_)
    State_.Ledger_.acceptReturn(Id);
  std::vector<TeamName> Teams;
  for (const auto &[Team, Requests] : TeamBorrowRequests_)
    Teams.push_back(Team);
  for (const TeamName &Team : Teams)
    serveTeamBorrowRequests(Team);
  dispatchAllPools();
}

// Borrowing

void PlacementService::requestSlotLoans(const PoolName &Pool, PoolState &Row) {
  if (!Row.WaitingForSlot_ ||
      State_.now() - Row.BorrowRequestedAt_ < BorrowRequestInterval)
    return;
  const auto Peers = State_.otherMembers();
  if (Peers.empty())
    return;
  Row.BorrowRequestedAt_ = State_.now();
  std::map<std::pair<TeamName, fleet::RequestClass>, peers::BorrowRequest>
      Requests;
  for (const auto &[Id, Item] : Tickets_) {
    if (Item->Request_->Pool_ != Pool)
      continue;
    auto &Request = Requests[{Item->Ticket_.Team_, Item->Ticket_.Class_}];
    Request.Pool_ = Pool;
    Request.Team_ = Item->Ticket_.Team_;
    Request.Class_ = Item->Ticket_.Class_;
    Request.Until_ =
        std::max(Request.Until_, Item->Ticket_.Deadline_ + LoanReuseMargin);
    ++Request.Count_;
  }
  for (auto &[Key, Request] : Requests) {
    // Divided among the peers: requesting the full count from each would borrow
    // many times what is needed and withhold it from other entries.
    Request.Count_ =
        std::min(Request.Count_, freePermits(Request.Team_) + BorrowHeadroom);
    Request.Count_ = (Request.Count_ + Peers.size() - 1) / Peers.size();
    for (const membership::Member &Peer : Peers)
      State_.Send_(Peer.Id_, Request);
    State_.Metrics_.counter("wishes_sent_total{kind=\"slot\"}")
        .add(Peers.size());
  }
}

std::uint32_t PlacementService::freePermits(const TeamName &Team) const {
  const auto Subject = State_.Ledger_.find(teamSubject(Team.str()));
  return Subject ? State_.Ledger_.idleUnits(*Subject) : 0;
}

std::uint32_t PlacementService::freeSlots(const PoolName &Pool) const {
  std::uint32_t Sum = 0;
  for (EndpointIndex Index : State_.Endpoints_.inPool(Pool))
    if (State_.Endpoints_.at(Index).Open_)
      Sum += State_.Ledger_.idleUnits(State_.Endpoints_.at(Index).Subject_);
  return Sum;
}

void PlacementService::requestTeamLoans(const TeamName &Team,
                                        std::uint32_t Count, TimePoint Until) {
  const auto Subject = State_.Ledger_.find(teamSubject(Team.str()));
  if (!Subject)
    return;
  const auto Owners = State_.Ledger_.ownersOf(*Subject);
  std::uint32_t Total = 0;
  for (const auto &Item : Owners)
    Total += Item.Units_;
  for (const auto &Item : Owners) {
    if (Item.Owner_ == State_.Self_.Id_ || Total == 0)
      continue;
    peers::BorrowRequest Request;
    Request.Team_ = Team;
    Request.Until_ = Until;
    Request.Count_ = std::max(1U, (Count * Item.Units_ + Total - 1) / Total);
    State_.Send_(Item.Owner_, Request);
    State_.Metrics_.counter("wishes_sent_total{kind=\"team\"}").add();
  }
}

void PlacementService::requestPermitLoans() {
  struct Need {
    std::uint32_t Count_ = 0;
    TimePoint Until_{};
    std::set<PoolName> Pools_;
  };
  std::map<TeamName, Need> Needs;
  for (const auto &[Id, Item] : Tickets_) {
    if (!TeamBorrowRequestedAt_.contains(Item->Ticket_.Team_))
      continue;
    Need &Row = Needs[Item->Ticket_.Team_];
    Row.Pools_.insert(Item->Request_->Pool_);
    ++Row.Count_;
    Row.Until_ =
        std::max(Row.Until_, Item->Ticket_.Deadline_ + LoanReuseMargin);
  }
  std::erase_if(TeamBorrowRequestedAt_,
                [&](const auto &Row) { return !Needs.contains(Row.first); });
  for (auto &[Team, At] : TeamBorrowRequestedAt_) {
    if (State_.now() - At < BorrowRequestInterval)
      continue;
    At = State_.now();
    std::uint32_t Slots = BorrowHeadroom;
    for (const PoolName &Pool : Needs[Team].Pools_)
      Slots += freeSlots(Pool);
    requestTeamLoans(Team,
                     std::min({Needs[Team].Count_, Slots, MaxLoansPerRequest}),
                     Needs[Team].Until_);
  }
}

void PlacementService::sendReturns(const std::vector<limits::LoanId> &Loans) {
  std::map<MemberId, peers::LoanReturn> ByLender;
  for (const limits::LoanId &Id : Loans)
    ByLender[Id.Lender_].Loans_.push_back(Id);
  for (const auto &[Lender, Message] : ByLender)
    State_.Send_(Lender, Message);
}

void PlacementService::returnIdleLoans() {
  sendReturns(State_.Ledger_.removeIdleLoans(State_.now() - MaxLoanIdleTime));
}

} // namespace laburnumspread::entry
