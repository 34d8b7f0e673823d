#include "capacity/poolplanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace laburnumspread::capacity {

namespace {

struct PoolState {
  std::size_t Available_ = 0;
  std::size_t Required_ = 0;
  Resources MachineCapacity_;
  /// Resources of the long-running tasks that continue in evacuated zones.
  Resources LongRunningInEvacuatedZones_;
  std::vector<const MachineView *> IdleMachines_;

  std::size_t deficit() const {
    return Required_ > Available_ ? Required_ - Available_ : 0;
  }
  std::size_t surplus(std::size_t Keep) const {
    return Available_ > Required_ + Keep ? Available_ - Required_ - Keep : 0;
  }
};

/// Returns how many machines with a capacity of \p Each are needed for
/// \p Wanted.
std::size_t machinesToFit(std::int64_t Wanted, std::int64_t Each) {
  if (Each <= 0 || Wanted <= 0)
    return 0;
  return static_cast<std::size_t>(
      std::ceil(static_cast<double>(Wanted) /
                (PoolPlanner::FillFraction * static_cast<double>(Each))));
}

/// Returns the expected increase of the load until a machine that is ordered
/// now arrives.
Resources expectedGrowth(const PoolDemand &Demand) {
  const Resources Increase =
      Demand.RecentArrivals_.lowerEstimateOfIncrease(Demand.PriorArrivals_);
  const auto Extrapolated = [](std::int64_t Amount) {
    return static_cast<std::int64_t>(PoolPlanner::GrowthMultiplier *
                                     static_cast<double>(Amount));
  };
  return {Extrapolated(Increase.MilliCpus_), Extrapolated(Increase.MemoryMb_),
          0};
}

/// Returns the number of machines required outside evacuated zones, where
/// \p LongRunningThere of the long-running tasks continue to run.
std::size_t machinesRequired(const PoolDemand &Demand,
                             const Resources &LongRunningThere,
                             const Resources &Each) {
  const Resources LongRunning = Demand.LongRunning_ - LongRunningThere;
  const Resources Arriving =
      LongRunning + Demand.RecentArrivals_.lowerEstimate();
  Resources Wanted = LongRunning + Demand.FeasibleFinite_;
  Wanted.MilliCpus_ = std::max(Wanted.MilliCpus_, Arriving.MilliCpus_);
  Wanted.MemoryMb_ = std::max(Wanted.MemoryMb_, Arriving.MemoryMb_);
  Wanted += expectedGrowth(Demand);
  return std::max({machinesToFit(Wanted.MilliCpus_, Each.MilliCpus_),
                   machinesToFit(Wanted.MemoryMb_, Each.MemoryMb_),
                   machinesToFit(Wanted.Accelerators_, Each.Accelerators_)});
}

/// One planning pass: the state of the pools and the orders derived from it.
class PlanningPass {
public:
  PlanningPass(const std::map<MachineId, MachineView> &Machines,
               const std::map<MachineId, PoolName> &HomePools,
               const std::set<PoolName> &Standby, TimePoint Now)
      : Machines_(Machines), HomePools_(HomePools), Standby_(Standby),
        Now_(Now) {
    for (const auto &[Id, Machine] : Machines)
      add(Machine);
  }

  void setDemand(const PoolName &Pool, const PoolDemand &Wanted) {
    if (Standby_.contains(Pool))
      return;
    PoolState &Row = Pools_[Pool];
    if (Row.MachineCapacity_ == Resources())
      Row.MachineCapacity_ = LargestCapacity_;
    Row.Required_ = machinesRequired(Wanted, Row.LongRunningInEvacuatedZones_,
                                     Row.MachineCapacity_);
    if (needsMachineForLateWork(Row, Wanted.SmallestLateTask_))
      Row.Required_ = std::max<std::size_t>(Row.Required_, 1);
    if (needsExtraMachine(Pool, Row, Wanted.WaitingLongRunning_))
      Row.Required_ = std::max(Row.Required_, Row.Available_ + 1);
  }

  /// Fills the pools with the largest shortage first.
  void coverShortages() {
    std::vector<std::pair<std::size_t, PoolName>> Shortages;
    for (const auto &[Pool, Row] : Pools_)
      if (Row.deficit() > 0)
        Shortages.emplace_back(Row.deficit(), Pool);
    std::sort(Shortages.rbegin(), Shortages.rend());
    for (const auto &[Missing, To] : Shortages)
      coverShortage(To, Missing);
  }

  /// Returns idle machines to their home pools after a peak, to be switched off
  /// or so that the home pool is ready for its next peak.
  void returnIdleMachines() {
    for (const auto &[Pool, Row] : Pools_) {
      std::size_t Extra = Row.surplus(PoolPlanner::SpareMachines);
      for (const MachineView *Machine : Row.IdleMachines_) {
        if (Extra == 0)
          break;
        if (Ordered_.contains(Machine->Record_.Id_) ||
            homePoolOf(*Machine) == Pool ||
            Now_ - Machine->IdleSince_ < PoolPlanner::MinIdleBeforeReturn)
          continue;
        addOrder(*Machine, homePoolOf(*Machine), MoveReason::Home);
        --Extra;
      }
    }
  }

  std::vector<MoveOrder> orders() && { return std::move(Orders_); }

private:
  /// A machine that can be moved to another pool; the lowest rank goes first.
  struct Donor {
    /// 0 outside its home pool, 1 off, 2 in its home pool.
    int Tier_ = 0;
    std::int64_t RankInTier_ = 0;
    const MachineView *Machine_ = nullptr;
  };

  void add(const MachineView &Machine) {
    const PoolName &Pool = Machine.Record_.Pool_;
    const bool Free = !Machine.InTransition_ && !Machine.Cordoned_ &&
                      !Machine.Evacuated_ && Now_ >= Machine.NoOrderBefore_;
    if (Standby_.contains(Pool)) {
      if (Free && Machine.Record_.State_ == MachineState::Up)
        StandbyMachines_.push_back(&Machine);
      return;
    }
    PoolState &Row = Pools_[Pool];
    Row.MachineCapacity_ =
        std::max(Row.MachineCapacity_, Machine.Record_.Capacity_);
    LargestCapacity_ = std::max(LargestCapacity_, Row.MachineCapacity_);
    if (Machine.Evacuated_) {
      Row.LongRunningInEvacuatedZones_ += Machine.UsedByLongRunning_;
      return;
    }
    if (Machine.Cordoned_)
      return;
    ++Row.Available_;
    if (Free && Machine.Usable_ && Machine.idle() &&
        Now_ - Machine.IdleSince_ >= PoolPlanner::MinIdleTime)
      Row.IdleMachines_.push_back(&Machine);
  }

  /// Without this, accepted jobs never run: all jobs of a pool without machines
  /// become late, and late work is no demand.
  static bool needsMachineForLateWork(const PoolState &Row,
                                      const std::optional<Resources> &Task) {
    return Row.Available_ == 0 && Task && Task->fitsInto(Row.MachineCapacity_);
  }

  /// Whether a waiting long-running task needs an additional machine although
  /// the pool has enough capacity in total: no single machine has enough free
  /// resources for it, and no empty machine is on its way.
  bool needsExtraMachine(const PoolName &Pool, const PoolState &Row,
                         const Resources &Waiting) const {
    if (Waiting == Resources() || !Waiting.fitsInto(Row.MachineCapacity_))
      return false;
    return std::none_of(
        Machines_.begin(), Machines_.end(), [&](const auto &Item) {
          const MachineView &Machine = Item.second;
          if (Machine.Record_.Pool_ != Pool || Machine.Cordoned_ ||
              Machine.Evacuated_)
            return false;
          const bool Arriving =
              Machine.InTransition_ ||
              Now_ - Machine.IdleSince_ < PoolPlanner::MinIdleTime;
          return (Arriving && Machine.idle()) ||
                 (Machine.Usable_ && Waiting.fitsInto(Machine.free()));
        });
  }

  void coverShortage(const PoolName &To, std::size_t Missing) {
    for (const Donor &Item : donorsFor(To)) {
      if (Missing == 0)
        return;
      const auto From = Pools_.find(Item.Machine_->Record_.Pool_);
      if (From != Pools_.end()) {
        if (From->second.surplus(PoolPlanner::SpareMachines) == 0)
          continue;
        --From->second.Available_;
      }
      addOrder(*Item.Machine_, To, MoveReason::Shortage);
      --Missing;
    }
  }

  std::vector<Donor> donorsFor(const PoolName &To) const {
    std::vector<Donor> Donors;
    for (const auto &[Pool, Row] : Pools_) {
      if (Pool == To || Row.deficit() > 0)
        continue;
      for (const MachineView *Machine : Row.IdleMachines_)
        if (!Ordered_.contains(Machine->Record_.Id_))
          Donors.push_back({homePoolOf(*Machine) == Pool ? 2 : 0,
                            -static_cast<std::int64_t>(
                                Row.surplus(PoolPlanner::SpareMachines)),
                            Machine});
    }
    for (const MachineView *Machine : StandbyMachines_)
      if (!Ordered_.contains(Machine->Record_.Id_))
        Donors.push_back({1, 0, Machine});
    // Stable sort: equal donors stay ordered by name, so that equal tables
    // yield equal orders.
    std::stable_sort(Donors.begin(), Donors.end(),
                     [](const Donor &A, const Donor &B) {
                       return std::tie(A.Tier_, A.RankInTier_) <
                              std::tie(B.Tier_, B.RankInTier_);
                     });
    return Donors;
  }

  void addOrder(const MachineView &Machine, const PoolName &To,
                MoveReason Reason) {
    Orders_.push_back({Machine.Record_.Id_, To, Reason});
    Ordered_.insert(Machine.Record_.Id_);
  }

  PoolName homePoolOf(const MachineView &Machine) const {
    const auto Found = HomePools_.find(Machine.Record_.Id_);
    return Found == HomePools_.end() ? Machine.Record_.Pool_ : Found->second;
  }

  const std::map<MachineId, MachineView> &Machines_;
  const std::map<MachineId, PoolName> &HomePools_;
  const std::set<PoolName> &Standby_;
  TimePoint Now_;
  std::map<PoolName, PoolState> Pools_;
  std::vector<const MachineView *> StandbyMachines_;
  Resources LargestCapacity_;
  std::vector<MoveOrder> Orders_;
  std::set<MachineId> Ordered_;
};

} // namespace

std::string_view nameOf(MoveReason Reason) {
  return Reason == MoveReason::Shortage ? "lack" : "home";
}

std::vector<MoveOrder>
PoolPlanner::plan(const std::map<MachineId, MachineView> &Machines,
                  const std::map<PoolName, PoolDemand> &Demand,
                  const std::map<MachineId, PoolName> &HomePools,
                  const std::set<PoolName> &Standby, TimePoint Now) const {
  PlanningPass Planned(Machines, HomePools, Standby, Now);
  for (const auto &[Pool, Wanted] : Demand)
    Planned.setDemand(Pool, Wanted);
  Planned.coverShortages();
  Planned.returnIdleMachines();
  return std::move(Planned).orders();
}

} // namespace laburnumspread::capacity
