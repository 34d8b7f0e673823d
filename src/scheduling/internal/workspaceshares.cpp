#include "scheduling/workspaceshares.h"

#include <algorithm>
#include <cmath>

namespace laburnumspread::scheduling {

using jobs::Resources;

namespace {

/// Weight of a workspace whose configured weight is zero or less.
constexpr double MinWeight = 0.01;
/// Averages below this many thousandths of a core and megabytes are dropped.
constexpr double NegligibleUse = 1;

double shareOf(double Part, std::int64_t Whole) {
  return Whole > 0 ? Part / static_cast<double>(Whole) : 0;
}

} // namespace

double dominantShare(const Resources &Part, const Resources &Pool) {
  return std::max(
      shareOf(static_cast<double>(Part.MilliCpus_), Pool.MilliCpus_),
      shareOf(static_cast<double>(Part.MemoryMb_), Pool.MemoryMb_));
}

double weightOf(const jobs::CellConfig &Config,
                const jobs::WorkspaceName &Workspace) {
  const auto Row = Config.Workspaces_.find(Workspace);
  return Row == Config.Workspaces_.end()
             ? 1
             : std::max(Row->second.Weight_, MinWeight);
}

void WorkspaceShares::Usage::averageIn(double Fraction) {
  PastMilliCpus_ +=
      Fraction * (static_cast<double>(Running_.MilliCpus_) - PastMilliCpus_);
  PastMemoryMb_ +=
      Fraction * (static_cast<double>(Running_.MemoryMb_) - PastMemoryMb_);
}

bool WorkspaceShares::Usage::negligible() const {
  return Running_ == Resources() && PastMilliCpus_ < NegligibleUse &&
         PastMemoryMb_ < NegligibleUse;
}

void WorkspaceShares::update(const jobs::CellTable &Table,
                             const jobs::CellConfig &Config, TimePoint Now) {
  const bool First = UpdatedAt_ == TimePoint();
  const double Passed = std::chrono::duration<double>(Now - UpdatedAt_) /
                        std::chrono::duration<double>(TimeConstant);
  const double Fraction = First ? 1 : 1 - std::exp(-std::max(0.0, Passed));
  UpdatedAt_ = Now;
  // The time that has passed was spent with the usage of the last update.
  for (auto &[Pool, Workspaces] : Pools_)
    for (auto &[Workspace, Item] : Workspaces) {
      Item.averageIn(Fraction);
      Item.Running_ = Resources();
    }
  for (const auto &[Of, Used] : Table.finiteUsage())
    if (const jobs::QueueConfig *Queue = Config.find(Of.first))
      Pools_[Queue->Pool_][Of.second].Running_ += Used;
  if (First)
    for (auto &[Pool, Workspaces] : Pools_)
      for (auto &[Workspace, Item] : Workspaces)
        Item.averageIn(1);
  for (auto &[Pool, Workspaces] : Pools_)
    absl::erase_if(Workspaces,
                   [](const auto &Row) { return Row.second.negligible(); });
}

double WorkspaceShares::pastShare(const jobs::PoolName &Pool,
                                  const Resources &Capacity,
                                  const jobs::WorkspaceName &Workspace) const {
  const auto Workspaces = Pools_.find(Pool);
  if (Workspaces == Pools_.end())
    return 0;
  const auto Row = Workspaces->second.find(Workspace);
  if (Row == Workspaces->second.end())
    return 0;
  return std::max(shareOf(Row->second.PastMilliCpus_, Capacity.MilliCpus_),
                  shareOf(Row->second.PastMemoryMb_, Capacity.MemoryMb_));
}

} // namespace laburnumspread::scheduling
