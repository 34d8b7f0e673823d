#include "scheduling/internal/shortpools.h"

#include <algorithm>
#include <limits>

namespace laburnumspread::scheduling {

namespace {

/// Demand of a workspace in a pool, as a share of the pool's finite resources.
struct WeightedDemand {
  double Weight_ = 1;
  double Share_ = 0;
};

/// Divides a whole of 1 by weight. None gets more than it demands, and what it
/// leaves goes to the others. Returns what those that get less than they demand
/// have for each unit of weight.
double maxMinSharePerWeight(std::vector<WeightedDemand> Demands) {
  std::sort(Demands.begin(), Demands.end(),
            [](const WeightedDemand &A, const WeightedDemand &B) {
              return A.Share_ * B.Weight_ < B.Share_ * A.Weight_;
            });
  double Left = 1;
  double WeightLeft = 0;
  for (const WeightedDemand &Item : Demands)
    WeightLeft += Item.Weight_;
  for (const WeightedDemand &Item : Demands) {
    if (Item.Share_ * WeightLeft > Left * Item.Weight_)
      return Left / WeightLeft;
    Left -= Item.Share_;
    WeightLeft -= Item.Weight_;
  }
  return std::numeric_limits<double>::infinity();
}

/// A workspace is in excess if it demands this part of the pool's finite
/// resources beyond what it can have. A few jobs more are normal variation.
constexpr double MinExcess = 0.1;
/// And if it demands this many times as much for its weight as the others do on
/// average. In a peak of all workspaces, none is in excess.
constexpr double MinExcessRatio = 2;

/// Whether one of the workspaces is in excess.
bool anyInExcess(const std::vector<WeightedDemand> &Demands, double Level) {
  double Share = 0;
  double Weight = 0;
  for (const WeightedDemand &Item : Demands) {
    Share += Item.Share_;
    Weight += Item.Weight_;
  }
  return std::any_of(
      Demands.begin(), Demands.end(), [&](const WeightedDemand &Item) {
        return Item.Share_ - Level * Item.Weight_ >= MinExcess &&
               Item.Share_ * (Weight - Item.Weight_) >=
                   MinExcessRatio * (Share - Item.Share_) * Item.Weight_;
      });
}

/// Computes how the pool's finite resources are divided.
void divide(ShortPool &Pool, const CellConfig &Config) {
  Pool.Finite_ = Pool.Free_;
  absl::flat_hash_map<jobs::WorkspaceName, Resources> Wanted = Pool.Ready_;
  for (const auto &[Workspace, Held] : Pool.Running_) {
    Wanted[Workspace] += Held;
    Pool.Finite_ += Held;
  }
  std::vector<WeightedDemand> Demands;
  for (const auto &[Workspace, Want] : Wanted)
    Demands.push_back(
        {weightOf(Config, Workspace), dominantShare(Want, Pool.Finite_)});
  Pool.SharePerWeight_ = maxMinSharePerWeight(Demands);
  Pool.Divided_ =
      Demands.size() > 1 && anyInExcess(Demands, Pool.SharePerWeight_);
}

} // namespace

double ShortPool::partFor(double Weight) const {
  return std::min(1.0, SharePerWeight_ * Weight);
}

ShortPools findShortPools(const std::vector<ReadyStep> &Steps,
                          const std::vector<Candidate> &Workers,
                          const std::vector<CapacityArrival> &Arrivals,
                          const CellTable &Table, const CellConfig &Config) {
  ShortPools Result;
  absl::flat_hash_map<jobs::PoolName, Resources> Demand;
  for (const ReadyStep &Step : Steps) {
    const Resources Ready = times(Step.Spec_->demand(), idleTasks(*Step.Row_));
    Demand[Step.Queue_->Pool_] += Ready;
    if (!Step.Spec_->LongRunning_)
      Result[Step.Queue_->Pool_].Ready_[Step.Job_->Spec_.Workspace_] += Ready;
  }
  for (const Candidate &Item : Workers)
    if (const auto Pool = Result.find(Item.Worker_->Pool_);
        Pool != Result.end()) {
      Pool->second.Free_ += Item.Free_;
      Pool->second.Capacity_ += Item.Worker_->Capacity_;
    }
  absl::erase_if(Result, [&](const auto &Row) {
    return Demand[Row.first].fitsInto(Row.second.Free_);
  });
  for (const CapacityArrival &Item : Arrivals)
    if (const auto Pool = Result.find(Item.Pool_); Pool != Result.end())
      Pool->second.Arrivals_.push_back(Item);
  for (const auto &[Of, Held] : Table.finiteUsage())
    if (const jobs::QueueConfig *Queue = Config.find(Of.first))
      if (const auto Pool = Result.find(Queue->Pool_); Pool != Result.end())
        Pool->second.Running_[Of.second] += Held;
  for (auto &[Name, Pool] : Result)
    divide(Pool, Config);
  return Result;
}

std::size_t idleTasks(const jobs::StepRow &Row) {
  return Row.Tasks_.size() - Row.DoneCount_ - Row.LiveCount_;
}

Resources times(const Resources &Each, std::size_t Count) {
  const auto N = static_cast<std::int64_t>(Count);
  return {N * Each.MilliCpus_, N * Each.MemoryMb_, N * Each.Accelerators_};
}

} // namespace laburnumspread::scheduling
