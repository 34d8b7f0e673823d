#include "sharing/poolqueue.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace laburnumspread::sharing {

namespace {

/// Smaller is served first.
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

/// What the rank of a team's requests depends on.
struct TeamState {
  double Weight_ = 1;
  double Running_ = 0;
};

/// Teams that run or wait in the pool, in the order of their names.
class ActiveTeams {
public:
  explicit ActiveTeams(const ShareInputs &Inputs) {
    const auto &Totals = Inputs.Usage_.totals(Inputs.Pool_);
    Rows_.reserve(Totals.size());
    for (const auto &[Team, Use] : Totals) {
      const double Weight = std::max(1u, Inputs.Weight_(Team));
      Rows_.push_back({&Team, {Weight, static_cast<double>(Use.Running_)}});
      Sum_ += Weight;
    }
  }

  /// Found in a step if teams are asked for in the order of their names.
  TeamState find(const TeamName &Team) {
    while (Next_ < Rows_.size() && *Rows_[Next_].Team_ < Team)
      ++Next_;
    if (Next_ < Rows_.size() && *Rows_[Next_].Team_ == Team)
      return Rows_[Next_].State_;
    return {};
  }
  void rewind() { Next_ = 0; }
  double weight() const { return Sum_; }

private:
  struct Row {
    const TeamName *Team_;
    TeamState State_;
  };
  std::vector<Row> Rows_;
  std::size_t Next_ = 0;
  double Sum_ = 0;
};

Rank rankOf(const TeamState &Of, RequestClass Class, TimePoint ArrivedAt,
            double Active, const ShareInputs &Inputs) {
  const double Weight = Of.Weight_;
  const double Running = Of.Running_;
  const double Share =
      Active > 0 ? Inputs.PoolSlots_ * Weight / Active : Inputs.PoolSlots_;
  // An urgent request goes first only within its team's share: otherwise one
  // team could mark everything urgent and starve the rest.
  const bool GoesFirst = Class == RequestClass::Urgent && Running + 1 <= Share;
  return {GoesFirst ? UrgentBelowShare : AllOthers, Running / Weight, Class,
          ArrivedAt};
}

} // namespace

absl::Status PoolQueue::push(Ticket Item) {
  if (Tickets_.size() >= Limit_)
    return absl::ResourceExhaustedError("the queue holds its limit of " +
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
  // Its place in the row is skipped later, so that a wave of cancellations
  // costs the same for each.
  Tickets_.erase(At);
  dropCancelled(Team->second);
  if (Team->second.total() == 0)
    Teams_.erase(Team);
  return true;
}

void PoolQueue::dropCancelled(TeamQueue &Of) {
  for (auto &Row : Of.ByClass_)
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

void PoolQueue::addBorrowRequest(const BorrowRequest &Item) {
  std::erase_if(BorrowRequests_, [&](const BorrowRequest &Old) {
    return Old.From_ == Item.From_ && Old.Team_ == Item.Team_ &&
           Old.Class_ == Item.Class_;
  });
  if (Item.Count_ > 0)
    BorrowRequests_.push_back(Item);
}

void PoolQueue::recordGrant(const BorrowRequest &Item) {
  for (BorrowRequest &Row : BorrowRequests_)
    if (Row.From_ == Item.From_ && Row.Team_ == Item.Team_ &&
        Row.Class_ == Item.Class_ && Row.Count_ > 0)
      --Row.Count_;
  std::erase_if(BorrowRequests_,
                [](const BorrowRequest &Row) { return Row.Count_ == 0; });
}

const Ticket *PoolQueue::head(const TeamQueue &Of) const {
  for (const auto &Row : Of.ByClass_)
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
    const Rank Candidate = rankOf(Active.find(Team), Head->Class_,
                                  Head->ArrivedAt_, Active.weight(), Inputs);
    if (Best && !(Candidate < *Best))
      continue;
    Best = Candidate;
    Chosen = *Head;
  }
  for (const BorrowRequest &Wish : BorrowRequests_) {
    if (Wish.ExpiresAt_ <= Inputs.Now_)
      continue;
    Active.rewind();
    const Rank Candidate = rankOf(Active.find(Wish.Team_), Wish.Class_,
                                  Inputs.Now_, Active.weight(), Inputs);
    if (Best && !(Candidate < *Best))
      continue;
    Best = Candidate;
    Chosen = Wish;
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
