#include "sharing/poolqueue.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace laburnumspread::sharing {

namespace {

/// Smaller is served first.
struct Rank {
  int Group_ = 0;
  double Fullness_ = 0;
  RequestClass Class_ = RequestClass::Normal;
  TimePoint ArrivedAt_{};

  bool operator<(const Rank &Other) const {
    return std::tie(Group_, Fullness_, Class_, ArrivedAt_) <
           std::tie(Other.Group_, Other.Fullness_, Other.Class_,
                    Other.ArrivedAt_);
  }
};

constexpr int UrgentBelowShare = 0;
constexpr int AllOthers = 1;

/// Weight of all teams that run or wait in the pool.
double activeWeight(const ShareInputs &Inputs) {
  double Sum = 0;
  for (const auto &[Team, Use] : Inputs.Usage_.totals(Inputs.Pool_))
    Sum += Inputs.Weight_(Team);
  return Sum;
}

Rank rankOf(const TeamName &Team, RequestClass Class, TimePoint ArrivedAt,
            double Active, const ShareInputs &Inputs) {
  const double Weight = std::max(1u, Inputs.Weight_(Team));
  const double Running = Inputs.Usage_.total(Inputs.Pool_, Team).Running_;
  const double Share =
      Active > 0 ? Inputs.PoolSlots_ * Weight / Active : Inputs.PoolSlots_;
  // An urgent request goes first only within its team's share: otherwise one
  // team could mark everything urgent and starve the rest.
  const bool First = Class == RequestClass::Urgent && Running + 1 <= Share;
  return {First ? UrgentBelowShare : AllOthers, Running / Weight, Class,
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

void PoolQueue::wish(const PeerWish &Item) {
  std::erase_if(Wishes_, [&](const PeerWish &Old) {
    return Old.From_ == Item.From_ && Old.Team_ == Item.Team_ &&
           Old.Class_ == Item.Class_;
  });
  if (Item.Count_ > 0)
    Wishes_.push_back(Item);
}

void PoolQueue::forgetPeer(const MemberId &Peer) {
  std::erase_if(Wishes_,
                [&](const PeerWish &Item) { return Item.From_ == Peer; });
}

void PoolQueue::granted(const PeerWish &Item) {
  for (PeerWish &Row : Wishes_)
    if (Row.From_ == Item.From_ && Row.Team_ == Item.Team_ &&
        Row.Class_ == Item.Class_ && Row.Count_ > 0)
      --Row.Count_;
  std::erase_if(Wishes_, [](const PeerWish &Row) { return Row.Count_ == 0; });
}

const Ticket *PoolQueue::head(const TeamQueue &Of) const {
  for (const auto &Row : Of.ByClass_)
    for (TicketId Id : Row)
      if (const auto At = Tickets_.find(Id); At != Tickets_.end())
        return &At->second;
  return nullptr;
}

Choice PoolQueue::choose(const ShareInputs &Inputs) const {
  const double Active = activeWeight(Inputs);
  std::optional<Rank> Best;
  Choice Chosen;
  for (const auto &[Team, Queue] : Teams_) {
    const Ticket *Head = head(Queue);
    if (!Head || !Inputs.MayStart_(Team))
      continue;
    const Rank Here =
        rankOf(Team, Head->Class_, Head->ArrivedAt_, Active, Inputs);
    if (Best && !(Here < *Best))
      continue;
    Best = Here;
    Chosen = *Head;
  }
  for (const PeerWish &Wish : Wishes_) {
    if (Wish.LapsesAt_ <= Inputs.Now_)
      continue;
    const Rank Here =
        rankOf(Wish.Team_, Wish.Class_, Inputs.Now_, Active, Inputs);
    if (Best && !(Here < *Best))
      continue;
    Best = Here;
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

const Ticket *PoolQueue::urgentSince(TimePoint Since) const {
  constexpr auto Urgent = static_cast<std::size_t>(RequestClass::Urgent);
  for (const auto &[Team, Queue] : Teams_)
    for (TicketId Id : Queue.ByClass_[Urgent])
      if (const auto At = Tickets_.find(Id);
          At != Tickets_.end() && At->second.ArrivedAt_ <= Since)
        return &At->second;
  return nullptr;
}

} // namespace laburnumspread::sharing
