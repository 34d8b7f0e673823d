#include "capacity/poolplanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace laburnumspread::capacity {

namespace {

struct PoolRow {
  std::size_t Have_ = 0;
  std::size_t Need_ = 0;
  Resources RoomEach_;
  std::vector<const MachineView *> Idle_;

  std::size_t deficit() const { return Need_ > Have_ ? Need_ - Have_ : 0; }
  std::size_t surplus(std::size_t Keep) const {
    return Have_ > Need_ + Keep ? Have_ - Need_ - Keep : 0;
  }
};

/// How many machines hold \p Wanted when each holds \p Each.
std::size_t machinesToHold(std::int64_t Wanted, std::int64_t Each) {
  if (Each <= 0)
    return 0;
  return static_cast<std::size_t>(
      std::ceil(static_cast<double>(Wanted) /
                (PoolPlanner::Fill * static_cast<double>(Each))));
}

std::int64_t riseUntilAMachineComes(const PoolDemand &Demand) {
  return static_cast<std::int64_t>(
      PoolPlanner::RiseAhead *
      static_cast<double>(Demand.Coming_.riseSince(Demand.CameBefore_)));
}

std::size_t machinesFor(const PoolDemand &Demand, const Resources &Each) {
  Resources Wanted = Demand.Standing_ + Demand.Timely_;
  Wanted.MilliCpus_ = std::max(Wanted.MilliCpus_, Demand.Standing_.MilliCpus_ +
                                                      Demand.Coming_.likely()) +
                      riseUntilAMachineComes(Demand);
  return std::max({machinesToHold(Wanted.MilliCpus_, Each.MilliCpus_),
                   machinesToHold(Wanted.MemoryMb_, Each.MemoryMb_),
                   machinesToHold(Wanted.Accelerators_, Each.Accelerators_)});
}

/// One pass: the pools as they are, and the orders that follow.
class Pass {
public:
  Pass(const std::map<MachineId, MachineView> &Machines,
       const std::map<MachineId, PoolName> &Homes,
       const std::set<PoolName> &Standby, TimePoint Now)
      : Machines_(Machines), Homes_(Homes), Standby_(Standby), Now_(Now) {
    for (const auto &[Id, Machine] : Machines)
      add(Machine);
  }

  void ask(const PoolName &Pool, const PoolDemand &Wanted) {
    if (Standby_.contains(Pool))
      return;
    PoolRow &Row = Pools_[Pool];
    if (Row.RoomEach_ == Resources())
      Row.RoomEach_ = AnyRoom_;
    Row.Need_ = machinesFor(Wanted, Row.RoomEach_);
    if (waitsInVain(Pool, Row, Wanted.WaitingStanding_))
      Row.Need_ = std::max(Row.Need_, Row.Have_ + 1);
  }

  /// The pools with the largest lack come first.
  void fillLacks() {
    std::vector<std::pair<std::size_t, PoolName>> Lacking;
    for (const auto &[Pool, Row] : Pools_)
      if (Row.deficit() > 0)
        Lacking.emplace_back(Row.deficit(), Pool);
    std::sort(Lacking.rbegin(), Lacking.rend());
    for (const auto &[Lack, To] : Lacking)
      fill(To, Lack);
  }

  /// What came for a peak goes home after it: to be switched off, or so that
  /// its own pool is ready for its next one.
  void sendHome() {
    for (const auto &[Pool, Row] : Pools_) {
      std::size_t Extra = Row.surplus(PoolPlanner::Spare);
      for (const MachineView *Machine : Row.Idle_) {
        if (Extra == 0)
          break;
        if (Taken_.contains(Machine->Record_.Id_) || homeOf(*Machine) == Pool ||
            Now_ - Machine->IdleSince_ < PoolPlanner::HomeAfter)
          continue;
        give(*Machine, homeOf(*Machine), MoveReason::Home);
        --Extra;
      }
    }
  }

  std::vector<MoveOrder> orders() && { return std::move(Orders_); }

private:
  /// A machine that may be given to another pool; the lowest goes first.
  struct Donor {
    /// Away from home, then off, then at home.
    int Class_ = 0;
    std::int64_t Rank_ = 0;
    const MachineView *Machine_ = nullptr;
  };

  void add(const MachineView &Machine) {
    const PoolName &Pool = Machine.Record_.Pool_;
    const bool Free =
        !Machine.Busy_ && !Machine.HeldBack_ && Now_ >= Machine.NoOrderBefore_;
    if (Standby_.contains(Pool)) {
      if (Free && Machine.Record_.State_ == MachineState::Up)
        Off_.push_back(&Machine);
      return;
    }
    PoolRow &Row = Pools_[Pool];
    Row.RoomEach_ = std::max(Row.RoomEach_, Machine.Record_.Room_);
    AnyRoom_ = std::max(AnyRoom_, Row.RoomEach_);
    if (Machine.HeldBack_)
      return;
    ++Row.Have_;
    if (Free && Machine.Usable_ && Machine.idle() &&
        Now_ - Machine.IdleSince_ >= PoolPlanner::SettleTime)
      Row.Idle_.push_back(&Machine);
  }

  /// Whether a task that lasts waits though the pool has all that it asks for:
  /// no machine has room for it in one piece, and none is coming.
  bool waitsInVain(const PoolName &Pool, const PoolRow &Row,
                   const Resources &Waiting) const {
    if (Waiting == Resources() || !Waiting.fitsInto(Row.RoomEach_))
      return false;
    return std::none_of(
        Machines_.begin(), Machines_.end(), [&](const auto &Item) {
          const MachineView &Machine = Item.second;
          if (Machine.Record_.Pool_ != Pool || Machine.HeldBack_)
            return false;
          const bool Coming = Machine.Busy_ || Now_ - Machine.IdleSince_ <
                                                   PoolPlanner::SettleTime;
          return (Coming && Machine.idle()) ||
                 (Machine.Usable_ && Waiting.fitsInto(Machine.free()));
        });
  }

  void fill(const PoolName &To, std::size_t Lack) {
    for (const Donor &Item : donorsFor(To)) {
      if (Lack == 0)
        return;
      const auto From = Pools_.find(Item.Machine_->Record_.Pool_);
      if (From != Pools_.end()) {
        if (From->second.surplus(PoolPlanner::Spare) == 0)
          continue;
        --From->second.Have_;
      }
      give(*Item.Machine_, To, MoveReason::Lack);
      --Lack;
    }
  }

  std::vector<Donor> donorsFor(const PoolName &To) const {
    std::vector<Donor> Donors;
    for (const auto &[Pool, Row] : Pools_) {
      if (Pool == To || Row.deficit() > 0)
        continue;
      for (const MachineView *Machine : Row.Idle_)
        if (!Taken_.contains(Machine->Record_.Id_))
          Donors.push_back(
              {homeOf(*Machine) == Pool ? 2 : 0,
               -static_cast<std::int64_t>(Row.surplus(PoolPlanner::Spare)),
               Machine});
    }
    for (const MachineView *Machine : Off_)
      if (!Taken_.contains(Machine->Record_.Id_))
        Donors.push_back({1, 0, Machine});
    // Stable: equal donors stay in the order of their names, so that the same
    // tables give the same orders.
    std::stable_sort(
        Donors.begin(), Donors.end(), [](const Donor &A, const Donor &B) {
          return std::tie(A.Class_, A.Rank_) < std::tie(B.Class_, B.Rank_);
        });
    return Donors;
  }

  void give(const MachineView &Machine, const PoolName &To, MoveReason Why) {
    Orders_.push_back({Machine.Record_.Id_, To, Why});
    Taken_.insert(Machine.Record_.Id_);
  }

  PoolName homeOf(const MachineView &Machine) const {
    const auto Found = Homes_.find(Machine.Record_.Id_);
    return Found == Homes_.end() ? Machine.Record_.Pool_ : Found->second;
  }

  const std::map<MachineId, MachineView> &Machines_;
  const std::map<MachineId, PoolName> &Homes_;
  const std::set<PoolName> &Standby_;
  TimePoint Now_;
  std::map<PoolName, PoolRow> Pools_;
  std::vector<const MachineView *> Off_;
  Resources AnyRoom_;
  std::vector<MoveOrder> Orders_;
  std::set<MachineId> Taken_;
};

} // namespace

std::string_view nameOf(MoveReason Reason) {
  return Reason == MoveReason::Lack ? "lack" : "home";
}

std::vector<MoveOrder>
PoolPlanner::plan(const std::map<MachineId, MachineView> &Machines,
                  const std::map<PoolName, PoolDemand> &Demand,
                  const std::map<MachineId, PoolName> &Homes,
                  const std::set<PoolName> &Standby, TimePoint Now) const {
  Pass Planned(Machines, Homes, Standby, Now);
  for (const auto &[Pool, Wanted] : Demand)
    Planned.ask(Pool, Wanted);
  Planned.fillLacks();
  Planned.sendHome();
  return std::move(Planned).orders();
}

} // namespace laburnumspread::capacity
