#include "scheduling/internal/shareorder.h"

#include <tuple>

namespace laburnumspread::scheduling {

namespace {

/// What runs now counts less than the average of the past: it will hold its
/// resources for a part of the averaging time only. Counted in full, it would
/// let a workspace that is within its share but sends its jobs in bursts wait
/// behind one that is far above its share.
constexpr double RunningWeight = 1.0 / 3;

} // namespace

ShareOrder::ShareOrder(const std::vector<ReadyStep> &Steps,
                       const ShortPools &Short, const jobs::CellConfig &Config,
                       const WorkspaceShares &Shares)
    : Steps_(Steps) {
  for (const auto &[Name, Item] : Short)
    if (Item.Divided_)
      Pools_[Name].Short_ = &Item;
  for (const ReadyStep &Step : Steps_) {
    Pool *Found = poolOf(Step);
    if (!Found)
      continue;
    const jobs::WorkspaceName &Workspace = Step.Job_->Spec_.Workspace_;
    const auto [Row, New] = Found->Queues_.try_emplace(Workspace);
    WorkspaceQueue &Queue = Row->second;
    Queue.Steps_.push_back(&Step);
    if (!New)
      continue;
    Queue.Weight_ = weightOf(Config, Workspace);
    const Resources &Capacity = Found->Short_->Capacity_;
    const auto Held = Found->Short_->Running_.find(Workspace);
    Queue.WeightedUsage_ =
        (Shares.pastShare(Step.Queue_->Pool_, Capacity, Workspace) +
         (Held == Found->Short_->Running_.end()
              ? 0
              : RunningWeight * dominantShare(Held->second, Capacity))) /
        Queue.Weight_;
  }
}

std::vector<PoolDivision> ShareOrder::divisions() const {
  std::vector<PoolDivision> Result;
  for (const auto &[Name, Item] : Pools_) {
    PoolDivision &Division = Result.emplace_back();
    Division.Pool_ = Name;
    for (const auto &[Workspace, Queue] : Item.Queues_)
      Division.WeightedUsages_.emplace_back(Workspace, Queue.WeightedUsage_);
  }
  return Result;
}

const ReadyStep *ShareOrder::next() {
  if (Position_ == Steps_.size())
    return nullptr;
  const ReadyStep &Step = Steps_[Position_++];
  Pool *Found = poolOf(Step);
  if (!Found)
    return &Step;
  WorkspaceQueue &Chosen = nextToServe(*Found);
  return Chosen.Steps_[Chosen.Next_++];
}

void ShareOrder::charge(const ReadyStep &Step, std::size_t Tasks) {
  Pool *Found = poolOf(Step);
  if (!Found)
    return;
  WorkspaceQueue &Queue = Found->Queues_.at(Step.Job_->Spec_.Workspace_);
  Queue.WeightedUsage_ += RunningWeight *
                          dominantShare(times(Step.Spec_->demand(), Tasks),
                                        Found->Short_->Capacity_) /
                          Queue.Weight_;
}

ShareOrder::Pool *ShareOrder::poolOf(const ReadyStep &Step) {
  const auto Found =
      Step.Spec_->LongRunning_ ? Pools_.end() : Pools_.find(Step.Queue_->Pool_);
  return Found == Pools_.end() ? nullptr : &Found->second;
}

ShareOrder::WorkspaceQueue &ShareOrder::nextToServe(Pool &From) {
  // A job that can be in time goes before a late one of any workspace. Of equal
  // usages the earlier step decides, not the order of the table.
  const auto Rank = [](const WorkspaceQueue &Item) {
    const ReadyStep *First = Item.Steps_[Item.Next_];
    return std::make_tuple(First->Urgency_, Item.WeightedUsage_, First);
  };
  WorkspaceQueue *Chosen = nullptr;
  for (auto &[Workspace, Item] : From.Queues_)
    if (!Item.empty() && (!Chosen || Rank(Item) < Rank(*Chosen)))
      Chosen = &Item;
  return *Chosen;
}

} // namespace laburnumspread::scheduling
