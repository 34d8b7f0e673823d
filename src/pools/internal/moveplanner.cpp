#include "pools/moveplanner.h"

#include "maintenance/disruptionbudgets.h"

#include <algorithm>
#include <tuple>

namespace laburnumspread::pools {

using fleet::PoolName;
using fleet::Vm;

namespace {

constexpr Duration LendBaseDelay = std::chrono::milliseconds(500);
/// Longer than a demand peak. A VM is then lent directly to the next overloaded
/// pool, in one move instead of two.
constexpr Duration ReturnBaseDelay = std::chrono::seconds(30);
/// A pool is underused if its requests need less than this fraction of its
/// slots.
constexpr double UnderusedBelow = 0.5;
/// Maximum number of VMs that one pool is lent or returns in one tick.
constexpr std::uint32_t MaxMovesPerTick = 4;

Duration scaled(Duration Base, double Factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(Base.count()) * Factor));
}

bool isWaveActive(const config::FleetTables &Tables, const PoolName &Pool) {
  return std::any_of(
      Tables.Waves_.begin(), Tables.Waves_.end(), [&](const auto &Row) {
        const fleet::Wave &Wave = Row.second;
        const auto &Pools = Wave.Spec_.Pools_;
        const bool Covers =
            Pools.empty() ||
            std::find(Pools.begin(), Pools.end(), Pool) != Pools.end();
        return Covers && Wave.Status_.Phase_ != fleet::WavePhase::Complete &&
               Wave.Status_.Phase_ != fleet::WavePhase::Cancelled;
      });
}

std::uint32_t requiredSlots(const Demand &Work) {
  return Work.Running_ + Work.Waiting_;
}

} // namespace

Duration MovePlanner::lendDelay() const {
  return scaled(LendBaseDelay,
                (1 + Weights_.Moves_) / (1 + Weights_.Closeness_));
}

Duration MovePlanner::returnDelay() const {
  return scaled(ReturnBaseDelay,
                (1 + Weights_.Moves_) / (1 + Weights_.Buffer_));
}

std::map<PoolName, MovePlanner::PoolSummary>
MovePlanner::summarizePools(const MoveInputs &Inputs) const {
  std::map<PoolName, PoolSummary> Result;
  for (const auto &[Name, Declared] : Inputs.Tables_.Pools_) {
    PoolSummary &Row = Result[PoolName(Name)];
    Row.Name_ = PoolName(Name);
    Row.Declared_ = &Declared;
    Row.Demand_ = Inputs.Demand_(Row.Name_);
    Row.InWave_ = isWaveActive(Inputs.Tables_, Row.Name_);
  }
  for (const auto &[Name, Machine] : Inputs.Tables_.Vms_) {
    const auto Row = Result.find(fleet::currentPool(Machine));
    if (Row == Result.end() || !maintenance::isAvailable(Machine, Inputs.List_))
      continue;
    Row->second.Usable_.push_back(&Machine);
    Row->second.Slots_ += Machine.Spec_.Slots_.value();
  }
  return Result;
}

void MovePlanner::updatePoolState(const PoolSummary &Pool, TimePoint Now) {
  PoolState &State = States_[Pool.Name_];
  const std::uint32_t Need = requiredSlots(Pool.Demand_);
  const bool Overloaded = Pool.Demand_.Waiting_ > 0 && Need > Pool.Slots_;
  const bool Underused = Need < UnderusedBelow * Pool.Slots_;
  if (!Overloaded)
    State.OverloadedSince_ = {};
  else if (State.OverloadedSince_ == TimePoint{})
    State.OverloadedSince_ = Now;
  if (!Underused)
    State.UnderusedSince_ = {};
  else if (State.UnderusedSince_ == TimePoint{})
    State.UnderusedSince_ = Now;
}

bool MovePlanner::canLend(const PoolSummary &Donor) const {
  if (Donor.InWave_ ||
      Donor.Usable_.size() <= std::max(1U, Donor.Declared_->Spec_.MinimumVms_))
    return false;
  if (Donor.Declared_->Spec_.Spare_)
    return true;
  const auto State = States_.find(Donor.Name_);
  return State != States_.end() && State->second.UnderusedSince_ != TimePoint{};
}

/// Returns the VM that runs the fewest requests, or null if there is none.
/// Prefers VMs of the availability zone with the most VMs, so that the donor
/// stays spread over zones.
const Vm *MovePlanner::leastLoadedVm(const PoolSummary &Donor,
                                     const MoveInputs &Inputs) {
  std::map<fleet::ZoneName, int> InZone;
  for (const Vm *Machine : Donor.Usable_)
    ++InZone[Machine->Spec_.Zone_];
  auto Rank = [&](const Vm *Machine) {
    return std::tuple(Inputs.RunningOn_(Machine->Metadata_.Name_),
                      -InZone[Machine->Spec_.Zone_],
                      std::string_view(Machine->Metadata_.Name_));
  };
  const Vm *Best = nullptr;
  for (const Vm *Machine : Donor.Usable_)
    if (!Best || Rank(Machine) < Rank(Best))
      Best = Machine;
  return Best;
}

void MovePlanner::lend(PoolSummary &To, std::map<PoolName, PoolSummary> &Pools,
                       const MoveInputs &Inputs, std::vector<Move> &Moves) {
  std::vector<PoolSummary *> Donors;
  for (auto &[Name, Row] : Pools)
    if (Name != To.Name_)
      Donors.push_back(&Row);
  std::stable_sort(Donors.begin(), Donors.end(),
                   [](const PoolSummary *A, const PoolSummary *B) {
                     return A->Declared_->Spec_.Spare_ >
                            B->Declared_->Spec_.Spare_;
                   });
  std::uint32_t Moved = 0;
  for (PoolSummary *Donor : Donors) {
    while (Moved < MaxMovesPerTick && To.Slots_ < requiredSlots(To.Demand_) &&
           canLend(*Donor)) {
      const Vm *Machine = leastLoadedVm(*Donor, Inputs);
      if (!Machine)
        break;
      std::erase(Donor->Usable_, Machine);
      Donor->Slots_ -= Machine->Spec_.Slots_.value();
      To.Slots_ += Machine->Spec_.Slots_.value();
      ++Moved;
      Moves.push_back({Machine->Metadata_.Name_, Donor->Name_, To.Name_,
                       Machine->Spec_.Pool_ == To.Name_,
                       "more requests than slots"});
    }
  }
}

void MovePlanner::returnIdleVms(PoolSummary &From, const MoveInputs &Inputs,
                                std::vector<Move> &Moves) {
  std::uint32_t Moved = 0;
  for (const Vm *Machine : From.Usable_) {
    const std::uint32_t Slots = Machine->Spec_.Slots_.value();
    const bool StaysUnderused =
        requiredSlots(From.Demand_) < UnderusedBelow * (From.Slots_ - Slots);
    if (Machine->Status_.LentTo_.empty() || Moved >= MaxMovesPerTick ||
        !StaysUnderused || Inputs.RunningOn_(Machine->Metadata_.Name_) > 0)
      continue;
    From.Slots_ -= Slots;
    ++Moved;
    Moves.push_back({Machine->Metadata_.Name_, From.Name_, Machine->Spec_.Pool_,
                     true, "underused"});
  }
}

std::vector<Move> MovePlanner::plan(const MoveInputs &Inputs) {
  std::vector<Move> Result;
  auto Pools = summarizePools(Inputs);
  for (const auto &[Name, Row] : Pools)
    updatePoolState(Row, Inputs.Now_);
  for (auto &[Name, Row] : Pools) {
    if (Row.InWave_ || Row.Declared_->Spec_.Spare_)
      continue;
    const PoolState &State = States_[Name];
    if (State.OverloadedSince_ != TimePoint{} &&
        Inputs.Now_ - State.OverloadedSince_ >= lendDelay())
      lend(Row, Pools, Inputs, Result);
    else if (State.UnderusedSince_ != TimePoint{} &&
             Inputs.Now_ - State.UnderusedSince_ >= returnDelay())
      returnIdleVms(Row, Inputs, Result);
  }
  return Result;
}

} // namespace laburnumspread::pools
