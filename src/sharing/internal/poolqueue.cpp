#include "sharing/poolqueue.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace laburnumspread::sharing {

namespace {

/// Order in which requests are served, lowest first.
struct Rank {
  int PriorityGroup_ = 0;
  double WeightedUsage_ = 0;
  RequestClass Class_ = RequestClass::Normal;
  TimePoint ArrivedAt_{};

  bool operator<(const Rank &Other) const {
    return std::tie(PriorityGroup_, WeightedUsage_, Class_, ArrivedAt_) <
           std::tie(Other.PriorityGroup_, Other.WeightedUsage_, Other.Class_,
                    Other.ArrivedAt_);
  }
};

constexpr int UrgentBelowShare = 0;
constexpr int AllOthers = 1;

/// Weight and running requests of a workspace, from which its rank follows.
struct TeamState {
  double Weight_ = 1;
  double Running_ = 0;
};

/// Workspaces that run or wait in the pool, sorted by name.
class ActiveTeams {
public:
  explicit ActiveTeams(const ShareInputs &Inputs) {
    const auto &Totals = Inputs.Usage_.totals(Inputs.Pool_);
    Rows_.reserve(Totals.size());
    for (const auto &[Team, Use] : Totals) {
      const double Weight = std::max(1u, Inputs.Weight_(Team));
      Rows_.push_back({&Team, {Weight, static_cast<double>(Use.Running_)}});
      TotalWeight_ += Weight;
    }
  }

  /// Looks up a workspace. Amortized constant time if workspaces are looked up
  /// in the order of their names; call rewind() before going back.
  TeamState find(const TeamName &Team) {
    while (Next_ < Rows_.size() && *Rows_[Next_].Team_ < Team)
      ++Next_;
    if (Next_ < Rows_.size() && *Rows_[Next_].Team_ == Team)
      return Rows_[Next_].State_;
    return {};
  }
  void rewind() { Next_ = 0; }
  double totalWeight() const { return TotalWeight_; }

private:
  struct Row {
    const TeamName *Team_;
    TeamState State_;
  };
  std::vector<Row> Rows_;
  std::size_t Next_ = 0;
  double TotalWeight_ = 0;
};

Rank rankOf(const TeamState &Team, RequestClass Class, TimePoint ArrivedAt,
            double TotalWeight, const ShareInputs &Inputs) {
  const double Weight = Team.Weight_;
  const double Running = Team.Running_;
  const double Share = TotalWeight > 0
                           ? Inputs.PoolSlots_ * Weight / TotalWeight
                           : Inputs.PoolSlots_;
  // An urgent request goes first only within its workspace's share. Otherwise a
  // workspace could mark all its requests urgent and starve the others.
  const bool GoesFirst = Class == RequestClass::Urgent && Running + 1 <= Share;
  return {GoesFirst ? UrgentBelowShare : AllOthers, Running / Weight, Class,
          ArrivedAt};
}

} // namespace

absl::Status PoolQueue::push(Ticket Item) {
  if (Tickets_.size() >= Limit_)
    return absl::ResourceExhaustedError("the queue is full, its limit is " +
                                        std::to_string(Limit_));
  TeamQueue &Queue = Teams_[Item.Team_];
  const auto Class = static_cast<std::size_t>(Item.Class_);
  Queue.ByClass_[Class].push_back(Item.Id_);
  ++Queue.Count_[Class];
  Tickets_.emplace(Item.Id_, std::move(Item));
  return absl::OkStatus();
}

bool PoolQueue::cancel(TicketId Id) {
  const auto At = Tickets_.find(Id);
  if (At == Tickets_.end())
    return false;
  const auto Team = Teams_.find(At->second.Team_);
  --Team->second.Count_[static_cast<std::size_t>(At->second.Class_)];
  // The id stays in its queue and is skipped later. Removing it here would make
  // the cost of a cancellation grow with the length of the queue.
  Tickets_.erase(At);
  dropCancelled(Team->second);
  if (Team->second.total() == 0)
    Teams_.erase(Team);
  return true;
}

void PoolQueue::dropCancelled(TeamQueue &Queue) {
  for (auto &Row : Queue.ByClass_)
    while (!Row.empty() && !Tickets_.contains(Row.front()))
      Row.pop_front();
}

std::vector<TicketId> PoolQueue::expire(TimePoint Now) {
  std::vector<TicketId> Expired;
  for (const auto &[Id, Item] : Tickets_)
    if (Item.Deadline_ <= Now)
      Expired.push_back(Id);
  for (TicketId Id : Expired)
    cancel(Id);
  return Expired;
}

void PoolQueue::addBorrowRequest(const PendingBorrowRequest &Item) {
  std::erase_if(BorrowRequests_, [&](const PendingBorrowRequest &Old) {
    return Old.From_ == Item.From_ && Old.Team_ == Item.Team_ &&
           Old.Class_ == Item.Class_;
  });
  if (Item.Count_ > 0)
    BorrowRequests_.push_back(Item);
}

void PoolQueue::recordGrant(const PendingBorrowRequest &Item) {
  for (PendingBorrowRequest &Row : BorrowRequests_)
    if (Row.From_ == Item.From_ && Row.Team_ == Item.Team_ &&
        Row.Class_ == Item.Class_ && Row.Count_ > 0)
      --Row.Count_;
  std::erase_if(BorrowRequests_, [](const PendingBorrowRequest &Row) {
    return Row.Count_ == 0;
  });
}

const Ticket *PoolQueue::head(const TeamQueue &Queue) const {
  for (const auto &Row : Queue.ByClass_)
    for (TicketId Id : Row)
      if (const auto At = Tickets_.find(Id); At != Tickets_.end())
        return &At->second;
  return nullptr;
}

SlotRecipient PoolQueue::selectNext(const ShareInputs &Inputs) const {
  ActiveTeams Active(Inputs);
  std::optional<Rank> Best;
  SlotRecipient Chosen;
  for (const auto &[Team, Queue] : Teams_) {
    const Ticket *Head = head(Queue);
    if (!Head || !Inputs.MayStart_(Team))
      continue;
    const Rank Candidate =
        rankOf(Active.find(Team), Head->Class_, Head->ArrivedAt_,
               Active.totalWeight(), Inputs);
    if (Best && !(Candidate < *Best))
      continue;
    Best = Candidate;
    Chosen = *Head;
  }
  for (const PendingBorrowRequest &Request : BorrowRequests_) {
    if (Request.ExpiresAt_ <= Inputs.Now_)
      continue;
    Active.rewind();
    const Rank Candidate = rankOf(Active.find(Request.Team_), Request.Class_,
                                  Inputs.Now_, Active.totalWeight(), Inputs);
    if (Best && !(Candidate < *Best))
      continue;
    Best = Candidate;
    Chosen = Request;
  }
  return Chosen;
}

std::uint32_t PoolQueue::waiting(const TeamName &Team) const {
  const auto At = Teams_.find(Team);
  return At == Teams_.end() ? 0 : At->second.total();
}

std::uint32_t PoolQueue::waiting(const TeamName &Team,
                                 RequestClass Class) const {
  const auto At = Teams_.find(Team);
  return At == Teams_.end()
             ? 0
             : At->second.Count_[static_cast<std::size_t>(Class)];
}

std::vector<TeamName> PoolQueue::teams() const {
  std::vector<TeamName> Result;
  for (const auto &[Team, Queue] : Teams_)
    Result.push_back(Team);
  return Result;
}

const Ticket *PoolQueue::urgentWaitingSince(TimePoint Since) const {
  constexpr auto Urgent = static_cast<std::size_t>(RequestClass::Urgent);
  for (const auto &[Team, Queue] : Teams_)
    for (TicketId Id : Queue.ByClass_[Urgent])
      if (const auto At = Tickets_.find(Id);
          At != Tickets_.end() && At->second.ArrivedAt_ <= Since)
        return &At->second;
  return nullptr;
}

} // namespace laburnumspread::sharing
