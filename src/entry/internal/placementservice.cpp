#include "entry/placementservice.h"

#include "framework/fibers/spawn.h"

#include <algorithm>

namespace laburnumspread::entry {

using fleet::PoolName;
using fleet::TeamName;
using framework::fibers::sleepFor;
using routing::EndpointIndex;
using sharing::PendingBorrowRequest;
using sharing::Ticket;
using namespace std::chrono_literals;

namespace {

constexpr Duration TickInterval = 50ms;
/// Waiting time after which an urgent request preempts batch work. Leaves most
/// of the 2.7 s within which urgent work must start.
constexpr Duration UrgentWaitBeforePreemption = 500ms;
constexpr Duration MinRetryAfter = 1s;

} // namespace

PlacementService::PlacementService(EntryState &State)
    : State_(State), Random_(State.Self_.Id_.Incarnation_.value()) {}

void PlacementService::start() {
  framework::fibers::spawn([this] {
    while (true) {
      sleepFor(TickInterval);
      tick();
    }
  });
}

const fleet::Pool *PlacementService::findPool(const PoolName &Pool) const {
  return State_.Config_.tables().find<fleet::Pool>(Pool.str());
}

PlacementService::PoolState &PlacementService::poolState(const PoolName &Pool) {
  const fleet::Pool *Declared = findPool(Pool);
  const std::uint32_t Limit = Declared ? Declared->Spec_.QueueLimit_ : 0;
  const auto At = Pools_.try_emplace(Pool, Limit).first;
  At->second.Queue_.setLimit(Limit);
  return At->second;
}

std::uint32_t PlacementService::weightOf(const TeamName &Team) const {
  const auto *Declared = State_.Config_.tables().find<fleet::Team>(Team.str());
  return Declared ? Declared->Spec_.Share_ : 1;
}

// Admission

std::optional<Problem>
PlacementService::checkAdmission(const WorkRequest &Request) {
  const auto *Team =
      State_.Config_.tables().find<fleet::Team>(Request.Team_.str());
  if (!Team || Team->Spec_.Limit_ == 0)
    return Problem{ProblemCode::LimitIsZero,
                   "the team's upper limit is 0",
                   fleet::Outcome::NotRun,
                   {}};
  if (!State_.Endpoints_.fitsAny(Request.Pool_, Request.Size_))
    return Problem{ProblemCode::NeverFits,
                   "no VM of the pool has room for the declared size",
                   fleet::Outcome::NotRun,
                   {}};
  if (!State_.Endpoints_.anyHealthy(Request.Pool_))
    return Problem{ProblemCode::NoEndpoint,
                   "no endpoint of the pool is accepting work",
                   fleet::Outcome::NotRun, routing::BaseEjectionTime};
  const sharing::PoolQueue &Queue = poolState(Request.Pool_).Queue_;
  const std::uint32_t Slots = State_.Endpoints_.openSlots(Request.Pool_);
  // Counts only this team's waiting requests: other teams do not delay a team
  // below its share, and only requests that cannot make it are to be refused.
  const Duration Wait = State_.Estimates_.estimatedWait(
      Request.Pool_, Queue.waiting(Request.Team_), Slots);
  if (Request.Class_ != fleet::RequestClass::Urgent &&
      State_.now() + Wait > Request.Deadline_)
    return Problem{ProblemCode::WaitExceedsDeadline,
                   "the expected waiting time exceeds the deadline",
                   fleet::Outcome::NotRun, std::max(Wait, MinRetryAfter)};
  return std::nullopt;
}

absl::StatusOr<Placement>
PlacementService::place(const WorkRequest &Request, CancelToken &Cancel,
                        std::span<const EndpointIndex> Avoid,
                        Problem &Refusal) {
  if (auto Refused = checkAdmission(Request)) {
    Refusal = std::move(*Refused);
    return absl::ResourceExhaustedError("refused");
  }
  auto Item = std::make_shared<WaitingRequest>();
  Item->Ticket_ = {sharing::TicketId(++NextTicket_), Request.Team_,
                   Request.Class_, Request.Deadline_, State_.now()};
  Item->Request_ = &Request;
  Item->Avoid_.assign(Avoid.begin(), Avoid.end());
  Item->Waiter_ = std::make_shared<framework::fibers::Waiter>();
  PoolState &Pool = poolState(Request.Pool_);
  if (absl::Status Queued = Pool.Queue_.push(Item->Ticket_); !Queued.ok()) {
    const Duration Wait = State_.Estimates_.estimatedWait(
        Request.Pool_, Pool.Queue_.size(),
        State_.Endpoints_.openSlots(Request.Pool_));
    Refusal = {ProblemCode::QueueFull, std::string(Queued.message()),
               fleet::Outcome::NotRun, std::max(Wait, MinRetryAfter)};
    return Queued;
  }
  State_.Usage_.addWaiting(Request.Pool_, Request.Team_, 1);
  Tickets_[Item->Ticket_.Id_] = Item;
  Cancel.setListener([Waiter = Item->Waiter_] { Waiter->signal(); });
  dispatchWaiting(Request.Pool_);
  if (!Item->Placement_)
    Item->Waiter_->waitUntil(Request.Deadline_);
  Cancel.setListener(nullptr);
  if (Item->Placement_)
    return *Item->Placement_;
  removeFromQueue(Item);
  if (Item->Refusal_)
    Refusal = *Item->Refusal_;
  else if (Cancel.cancelled())
    Refusal = {ProblemCode::Cancelled,
               "cancelled while waiting",
               fleet::Outcome::NotRun,
               {}};
  else
    Refusal = {ProblemCode::DeadlineInQueue,
               "no slot or permit was free before the deadline",
               fleet::Outcome::NotRun, MinRetryAfter};
  return absl::DeadlineExceededError("not placed");
}

void PlacementService::removeFromQueue(const WaitingRequestPtr &Item) {
  if (Tickets_.erase(Item->Ticket_.Id_) == 0)
    return;
  const PoolName &Pool = Item->Request_->Pool_;
  poolState(Pool).Queue_.cancel(Item->Ticket_.Id_);
  State_.Usage_.addWaiting(Pool, Item->Ticket_.Team_, -1);
}

void PlacementService::rejectWaiting(const WaitingRequestPtr &Item,
                                     Problem Reason) {
  removeFromQueue(Item);
  Item->Refusal_ = std::move(Reason);
  Item->Waiter_->signal();
}

// Dispatch

void PlacementService::dispatchWaiting(const PoolName &Pool) {
  PoolState &Row = poolState(Pool);
  std::set<TeamName> Blocked;
  Row.WaitingForSlot_ = false;
  while (true) {
    const TimePoint Now = State_.now();
    const sharing::SlotRecipient Next = Row.Queue_.selectNext(
        {State_.Usage_, Pool, State_.Endpoints_.openSlots(Pool),
         [this](const TeamName &Team) { return weightOf(Team); },
         [&](const TeamName &Team) { return !Blocked.contains(Team); }, Now});
    if (const auto *Chosen = std::get_if<Ticket>(&Next)) {
      if (!tryStart(Pool, *Chosen, Blocked))
        break;
    } else if (const auto *Request = std::get_if<PendingBorrowRequest>(&Next)) {
      if (!grantSlotLoan(Pool, *Request))
        break;
    } else {
      break;
    }
  }
  requestSlotLoans(Pool, Row);
  if (!Blocked.empty())
    requestPermitLoans();
}

/// Returns whether to continue with the next choice.
bool PlacementService::tryStart(const PoolName &Pool, const Ticket &Chosen,
                                std::set<TeamName> &Blocked) {
  const auto Found = Tickets_.find(Chosen.Id_);
  if (Found == Tickets_.end()) {
    poolState(Pool).Queue_.cancel(Chosen.Id_);
    return true;
  }
  const WaitingRequestPtr Item = Found->second;
  const TimePoint Now = State_.now();
  const auto Team = State_.Ledger_.find(teamSubject(Chosen.Team_.str()));
  if (!Team || !State_.Ledger_.hasFree(*Team, Chosen.Deadline_, Now)) {
    Blocked.insert(Chosen.Team_);
    TeamBorrowRequestedAt_.try_emplace(Chosen.Team_);
    return true;
  }
  const auto Endpoint = State_.Endpoints_.selectEndpoint(
      Pool,
      {State_.Ledger_, State_.Self_.Zone_, Item->Request_->Size_,
       Chosen.Deadline_, Now, Item->Avoid_},
      Random_);
  if (!Endpoint) {
    poolState(Pool).WaitingForSlot_ = true;
    // Requests that avoid certain endpoints must not block other teams.
    if (Item->Avoid_.empty())
      return false;
    Blocked.insert(Chosen.Team_);
    return true;
  }
  const auto &Row = State_.Endpoints_.at(*Endpoint);
  const auto TeamPermit = State_.Ledger_.acquire(*Team, Chosen.Deadline_, Now);
  const auto Slot = State_.Ledger_.acquire(Row.Subject_, Chosen.Deadline_, Now);
  Item->Placement_ = Placement{*Endpoint, *TeamPermit, *Slot};
  State_.Endpoints_.exchangeStarted(*Endpoint);
  removeFromQueue(Item);
  State_.Usage_.addRunning(Pool, Chosen.Team_, 1);
  State_.Metrics_
      .counter(TeamPermit->Borrowed_ ? "permits_total{source=\"borrowed\"}"
                                     : "permits_total{source=\"own\"}")
      .add();
  State_.Metrics_
      .counter(Slot->Borrowed_ ? "slots_total{source=\"borrowed\"}"
                               : "slots_total{source=\"own\"}")
      .add();
  State_.Metrics_.summary("placement_wait_seconds")
      .record(std::chrono::duration<double>(Now - Chosen.ArrivedAt_).count());
  Item->Waiter_->signal();
  return true;
}

void PlacementService::finish(const WorkRequest &Request,
                              const Placement &Assigned,
                              routing::ExchangeResult Outcome, Duration RunTime,
                              const CancelToken &Cancel) {
  State_.Ledger_.release(Assigned.TeamPermit_);
  State_.Ledger_.release(Assigned.SlotPermit_);
  State_.Usage_.addRunning(Request.Pool_, Request.Team_, -1);
  const fleet::Pool *Pool = findPool(Request.Pool_);
  const auto Change = State_.Endpoints_.exchangeEnded(
      Assigned.Endpoint_, Outcome, Pool ? Pool->Spec_.EjectionCapPercent_ : 0,
      State_.now());
  const std::string &Vm = State_.Endpoints_.at(Assigned.Endpoint_).Vm_.str();
  if (Change == routing::HealthChange::Ejected)
    State_.Decisions_.add(DecisionKind::Ejection, Vm, "failures-in-a-row",
                          "pool " + Request.Pool_.str());
  if (Change == routing::HealthChange::Restored)
    State_.Decisions_.add(DecisionKind::Return, Vm, "probation-passed",
                          "pool " + Request.Pool_.str());
  if (Outcome == routing::ExchangeResult::Succeeded)
    State_.Estimates_.recordRunTime(Request.Pool_, Request.Team_, RunTime);
  std::erase_if(Preemptible_,
                [&](const Preemptible &Row) { return Row.Cancel_ == &Cancel; });
  serveTeamBorrowRequests(Request.Team_);
  dispatchWaiting(Request.Pool_);
}

void PlacementService::markRunning(const WorkRequest &Request,
                                   CancelToken &Cancel) {
  if (Request.Class_ == fleet::RequestClass::Batch && Request.Repeatable_)
    Preemptible_.push_back({Request.Pool_, &Cancel});
}

// Periodic work

void PlacementService::preemptForUrgent() {
  for (auto &[Name, Row] : Pools_) {
    const PoolName &Pool = Name;
    if (!Row.Queue_.urgentWaitingSince(State_.now() -
                                       UrgentWaitBeforePreemption))
      continue;
    const auto Victim = std::find_if(
        Preemptible_.begin(), Preemptible_.end(),
        [&](const Preemptible &Item) { return Item.Pool_ == Pool; });
    if (Victim == Preemptible_.end())
      continue;
    CancelToken *Cancel = Victim->Cancel_;
    Preemptible_.erase(Victim);
    State_.Decisions_.add(DecisionKind::Preemption, Pool.str(), "urgent-waits",
                          "batch request preempted");
    Cancel->preempt();
  }
}

void PlacementService::dispatchAllPools() {
  std::vector<PoolName> Names;
  for (const auto &[Pool, Row] : Pools_)
    Names.push_back(Pool);
  for (const PoolName &Pool : Names)
    dispatchWaiting(Pool);
}

void PlacementService::refresh() {
  dispatchAllPools();
  for (auto It = Tickets_.begin(); It != Tickets_.end();) {
    const WaitingRequestPtr Item = (It++)->second;
    if (!findPool(Item->Request_->Pool_))
      rejectWaiting(Item, {ProblemCode::UnknownPool,
                           "the pool was deleted",
                           fleet::Outcome::NotRun,
                           {}});
  }
}

void PlacementService::tick() {
  const TimePoint Now = State_.now();
  State_.Ledger_.tick(Now);
  State_.Replicas_.tick(Now);
  State_.Endpoints_.tick(Now);
  dispatchAllPools();
  requestPermitLoans();
  returnIdleLoans();
  preemptForUrgent();
}

std::vector<PlacementService::QueueLength> PlacementService::queues() const {
  std::vector<QueueLength> Result;
  for (const auto &[Pool, Row] : Pools_)
    for (const TeamName &Team : Row.Queue_.teams())
      Result.push_back({Pool, Team, Row.Queue_.waiting(Team)});
  return Result;
}

std::size_t PlacementService::waiting() const { return Tickets_.size(); }

} // namespace laburnumspread::entry
