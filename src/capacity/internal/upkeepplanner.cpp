#include "capacity/upkeepplanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace laburnumspread::capacity {

namespace {

using Machines = std::map<MachineId, MachineView>;

bool isDown(const MachineView &Machine) {
  return Machine.InTransition_ || Machine.Record_.State_ != MachineState::Up;
}

/// Whether the machine is down because of its upkeep. One that is being moved,
/// or that has crashed, is down as well, but not for a wave: with moves in
/// every second of a peak, a wave that waited for these would never end.
bool isDownForUpkeep(const MachineView &Machine) {
  return Machine.UpkeepOrdered_ ||
         Machine.Record_.State_ == MachineState::Upkeep;
}

/// Counts unavailable machines per pool during a planning pass.
struct DisruptionBudget {
  std::map<PoolName, std::size_t> Size_;
  /// Machines of the pool that are cordoned, down or in an evacuated zone.
  std::map<PoolName, std::size_t> Unavailable_;

  bool allows(const PoolName &Pool) const {
    const auto Size = Size_.find(Pool);
    const auto Unavailable = Unavailable_.find(Pool);
    const std::size_t Used =
        Unavailable == Unavailable_.end() ? 0 : Unavailable->second;
    if (Size == Size_.end() || Used == 0)
      return true;
    return static_cast<double>(Used + 1) <=
           UpkeepPlanner::MaxPoolShare * static_cast<double>(Size->second);
  }
};

DisruptionBudget budgetOf(const Machines &All) {
  DisruptionBudget Result;
  for (const auto &[Id, Machine] : All) {
    ++Result.Size_[Machine.Record_.Pool_];
    if (Machine.Cordoned_ || Machine.Evacuated_ || isDown(Machine))
      ++Result.Unavailable_[Machine.Record_.Pool_];
  }
  return Result;
}

/// Returns the wave's remaining machines in the order in which they are
/// drained: those that are off first, then those in evacuated zones, then
/// cordoned ones, then idle ones, then those with the fewest long-running runs.
std::vector<const MachineView *> drainOrder(const WaveRow &Wave,
                                            const Machines &All,
                                            const std::set<PoolName> &Standby) {
  std::vector<const MachineView *> Remaining;
  for (const MachineId &Id : Wave.Record_.Machines_) {
    const auto Found = All.find(Id);
    if (Found != All.end() && !Wave.Started_.contains(Id))
      Remaining.push_back(&Found->second);
  }
  const auto Rank = [&](const MachineView *Machine) {
    return std::make_tuple(!Standby.contains(Machine->Record_.Pool_),
                           !Machine->Evacuated_, !Machine->Cordoned_,
                           !Machine->idle(), Machine->LongRunningRuns_.size(),
                           Machine->FiniteRuns_);
  };
  std::stable_sort(Remaining.begin(), Remaining.end(),
                   [&](const MachineView *A, const MachineView *B) {
                     return Rank(A) < Rank(B);
                   });
  return Remaining;
}

} // namespace

std::uint32_t unavailableTasks(const jobs::StepRow &Step) {
  std::uint32_t Unavailable = 0;
  for (const jobs::TaskRow &Task : Step.Tasks_) {
    const bool AtFullSpeed = std::any_of(
        Task.Runs_.begin(), Task.Runs_.end(), [](const jobs::LiveRun &Live) {
          return Live.Confirmed_ && !Live.Stopping_ && Live.Percent_ >= 100;
        });
    Unavailable += !AtFullSpeed;
  }
  return Unavailable;
}

namespace {

/// Chooses long-running runs to stop, within the limit of unavailable tasks of
/// each step.
class EvacuationPlanner {
public:
  explicit EvacuationPlanner(const jobs::CellTable &Table) : Table_(Table) {}

  void add(const MachineView &Machine, std::vector<jobs::RunName> &Into) {
    for (const jobs::RunName &Run : Machine.LongRunningRuns_) {
      const jobs::JobRow *Job = Table_.find(Run.Task_.Job_);
      const jobs::LiveRun *Live = Table_.find(Run);
      if (!Job || !Live || Live->Stopping_)
        continue;
      const StepKey Key{Run.Task_.Job_, Run.Task_.Occurrence_, Run.Task_.Step_};
      const auto &Step = Job->Occurrences_.find(Run.Task_.Occurrence_)
                             ->Steps_[Run.Task_.Step_];
      const auto Unavailable =
          Unavailable_.try_emplace(Key, unavailableTasks(Step)).first;
      const bool AtFullSpeed = Live->Confirmed_ && Live->Percent_ >= 100;
      const std::uint32_t OthersUnavailable =
          Unavailable->second - (AtFullSpeed ? 0 : 1);
      const std::uint32_t Limit =
          std::max(1u, Job->Spec_.Steps_[Run.Task_.Step_].MaxUnavailable_);
      if (OthersUnavailable >= Limit)
        continue;
      if (AtFullSpeed)
        ++Unavailable->second;
      Into.push_back(Run);
    }
  }

private:
  using StepKey = std::tuple<jobs::JobId, std::uint32_t, std::uint32_t>;

  const jobs::CellTable &Table_;
  std::map<StepKey, std::uint32_t> Unavailable_;
};

bool isUrgent(const WaveRow &Wave, std::size_t Remaining, Duration Each,
              TimePoint Now) {
  const std::size_t AtOnce = std::max<std::size_t>(1, Wave.Record_.MaxAllowed_);
  const std::size_t Rounds = (Remaining + AtOnce - 1) / AtOnce;
  const Duration TimeLeft = Wave.FirstSeenAt_ + Wave.Record_.Duration_ - Now;
  return static_cast<double>(TimeLeft.count()) <
         UpkeepPlanner::UrgentFactor * 2 * static_cast<double>(Rounds) *
             static_cast<double>(Each.count());
}

WaveProgress progressOf(const std::vector<const MachineView *> &Remaining,
                        std::size_t Down, bool Urgent) {
  WaveProgress Result;
  Result.Remaining_ = Remaining.size();
  for (const MachineView *Machine : Remaining) {
    Result.RemainingIdle_ += Machine->idle();
    if (!Machine->idle())
      Result.Busy_ = Machine->Record_.Id_;
  }
  Result.Down_ = Down;
  Result.Urgent_ = Urgent;
  return Result;
}

} // namespace

UpkeepPlan UpkeepPlanner::plan(const std::map<MachineId, MachineView> &All,
                               const std::map<WaveNumber, WaveRow> &Waves,
                               const std::set<PoolName> &Standby,
                               TimePoint Now) const {
  UpkeepPlan Result;
  DisruptionBudget Pools = budgetOf(All);
  EvacuationPlanner Evacuations(Table_);
  for (const auto &[Number, Wave] : Waves) {
    if (Wave.DoneReported_)
      continue;
    const auto Remaining = drainOrder(Wave, All, Standby);
    std::size_t Down = 0;
    for (const MachineId &Id : Wave.Record_.Machines_) {
      const auto Found = All.find(Id);
      Down += Found != All.end() && isDownForUpkeep(Found->second);
    }
    if (Remaining.empty() && Down == 0) {
      Result.Done_.push_back(Number);
      continue;
    }
    const bool Urgent = isUrgent(Wave, Remaining.size(), UpkeepTime_, Now);
    Result.Progress_[Number] = progressOf(Remaining, Down, Urgent);
    std::size_t MayStart =
        Wave.Record_.MaxAllowed_ > Down ? Wave.Record_.MaxAllowed_ - Down : 0;
    // Up to MaxAllowed_ further machines are drained in advance, so that the
    // next round can start as soon as this one is up again.
    std::size_t ToDrain = Wave.Record_.MaxAllowed_ + MayStart;
    for (const MachineView *Machine : Remaining) {
      if (ToDrain == 0)
        break;
      const PoolName &Pool = Machine->Record_.Pool_;
      const bool SwitchedOff = Standby.contains(Pool);
      if (isDown(*Machine))
        continue;
      const bool Counted = Machine->Cordoned_ || Machine->Evacuated_;
      if (!Counted && !SwitchedOff && !Urgent && !Pools.allows(Pool))
        continue;
      if (!Counted)
        ++Pools.Unavailable_[Pool];
      --ToDrain;
      Result.Cordon_.insert(Machine->Record_.Id_);
      if (!Machine->idle()) {
        Evacuations.add(*Machine, Result.Evacuate_);
        continue;
      }
      // Upkeep is ordered only after a machine has been cordoned for a whole
      // pass, because a start may still be in flight to it.
      if (MayStart == 0 || (!Machine->Cordoned_ && !SwitchedOff))
        continue;
      --MayStart;
      Result.Orders_.push_back({Number, Machine->Record_.Id_});
    }
  }
  return Result;
}

} // namespace laburnumspread::capacity
