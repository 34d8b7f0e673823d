#include "entry/placementservice.h"

#include <algorithm>

// The part of PlacementService that lends permits and slots to peers and
// borrows them.

namespace laburnumspread::entry {

using fleet::PoolName;
using fleet::TeamName;
using routing::EndpointIndex;
using sharing::BorrowRequest;
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
                                     const BorrowRequest &Wish) {
  for (EndpointIndex Index : State_.Endpoints_.inPool(Pool)) {
    const auto &Row = State_.Endpoints_.at(Index);
    if (!Row.Open_ || State_.Ledger_.freeOwnedUnits(Row.Subject_) == 0)
      continue;
    const auto Loans =
        State_.Ledger_.lend(Row.Subject_, Wish.From_, 1, Wish.Until_);
    State_.Send_(Wish.From_, peers::LoanGrant{Loans, Pool, Wish.Team_});
    State_.Metrics_.counter("loans_granted_total{kind=\"slot\"}").add();
    poolState(Pool).Queue_.recordGrant(Wish);
    return true;
  }
  return false;
}

void PlacementService::serveTeamBorrowRequests(const TeamName &Team) {
  const auto Wishes = TeamBorrowRequests_.find(Team);
  const auto Subject = State_.Ledger_.find(teamSubject(Team.str()));
  if (Wishes == TeamBorrowRequests_.end() || !Subject)
    return;
  for (BorrowRequest &Wish : Wishes->second) {
    if (Wish.ExpiresAt_ <= State_.now() || Wish.Count_ == 0)
      continue;
    const auto Loans =
        State_.Ledger_.lend(*Subject, Wish.From_, Wish.Count_, Wish.Until_);
    if (Loans.empty())
      break;
    Wish.Count_ -= Loans.size();
    State_.Metrics_.counter("loans_granted_total{kind=\"team\"}")
        .add(Loans.size());
    State_.Send_(Wish.From_, peers::LoanGrant{Loans, PoolName(), Team});
  }
  std::erase_if(Wishes->second, [&](const BorrowRequest &Wish) {
    return Wish.Count_ == 0 || Wish.ExpiresAt_ <= State_.now();
  });
  if (Wishes->second.empty())
    TeamBorrowRequests_.erase(Wishes);
}

void PlacementService::handle(const peers::Sender &From,
                              const peers::BorrowRequest &Asked) {
  if (State_.fenced())
    return;
  const TimePoint Now = State_.now();
  BorrowRequest Wish{From.Id_,
                     Asked.Team_,
                     Asked.Class_,
                     std::min(Asked.Count_, MaxLoansPerRequest),
                     std::min(Asked.Until_, Now + membership::MaxTaskLease),
                     Now + BorrowRequestTtl};
  if (!Asked.Pool_.empty()) {
    if (!findPool(Asked.Pool_))
      return;
    poolState(Asked.Pool_).Queue_.addBorrowRequest(Wish);
    return dispatchWaiting(Asked.Pool_);
  }
  auto &Wishes = TeamBorrowRequests_[Asked.Team_];
  std::erase_if(
      Wishes, [&](const BorrowRequest &Old) { return Old.From_ == From.Id_; });
  Wishes.push_back(Wish);
  serveTeamBorrowRequests(Asked.Team_);
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
  std::vector<TeamName> Wishing;
  for (const auto &[Team, Wishes] : TeamBorrowRequests_)
    Wishing.push_back(Team);
  for (const TeamName &Team : Wishing)
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
      Wishes;
  for (const auto &[Id, Item] : Tickets_) {
    if (Item->Request_->Pool_ != Pool)
      continue;
    auto &Wish = Wishes[{Item->Ticket_.Team_, Item->Ticket_.Class_}];
    Wish.Pool_ = Pool;
    Wish.Team_ = Item->Ticket_.Team_;
    Wish.Class_ = Item->Ticket_.Class_;
    Wish.Until_ =
        std::max(Wish.Until_, Item->Ticket_.Deadline_ + LoanReuseMargin);
    ++Wish.Count_;
  }
  for (auto &[Key, Wish] : Wishes) {
    // Divided among the peers: requesting the full count from each would borrow
    // many times what is needed and withhold it from other entries.
    Wish.Count_ =
        std::min(Wish.Count_, freePermits(Wish.Team_) + BorrowHeadroom);
    Wish.Count_ = (Wish.Count_ + Peers.size() - 1) / Peers.size();
    for (const membership::Member &Peer : Peers)
      State_.Send_(Peer.Id_, Wish);
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
    peers::BorrowRequest Wish;
    Wish.Team_ = Team;
    Wish.Until_ = Until;
    Wish.Count_ = std::max(1U, (Count * Item.Units_ + Total - 1) / Total);
    State_.Send_(Item.Owner_, Wish);
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
