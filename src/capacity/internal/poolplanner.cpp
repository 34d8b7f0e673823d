#include "capacity/poolplanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace laburnumspread::capacity {

namespace {

struct PoolRow {
  std::size_t Have_ = 0;
  std::size_t Need_ = 0;
  std::int64_t RoomEach_ = 0;
  std::vector<const MachineView *> Idle_;

  std::size_t deficit() const { return Need_ > Have_ ? Need_ - Have_ : 0; }
  std::size_t surplus(std::size_t Keep) const {
    return Have_ > Need_ + Keep ? Have_ - Need_ - Keep : 0;
  }
};

std::size_t machinesFor(const PoolDemand &Demand, std::int64_t RoomEach) {
  if (RoomEach <= 0)
    return 0;
  const std::int64_t Finite = std::max(Demand.Timely_, Demand.Coming_.likely());
  const double Cores = static_cast<double>(Demand.Standing_ + Finite);
  return static_cast<std::size_t>(
      std::ceil(Cores / (PoolPlanner::Fill * static_cast<double>(RoomEach))));
}

} // namespace

std::vector<MoveOrder>
PoolPlanner::plan(const std::map<MachineId, MachineView> &Machines,
                  const std::map<PoolName, PoolDemand> &Demand,
                  const std::map<MachineId, PoolName> &Homes,
                  const std::set<PoolName> &Standby, TimePoint Now) const {
  std::map<PoolName, PoolRow> Pools;
  std::vector<const MachineView *> Off;
  std::int64_t AnyRoom = 0;
  for (const auto &[Id, Machine] : Machines) {
    const PoolName &Pool = Machine.Record_.Pool_;
    if (Standby.contains(Pool)) {
      if (!Machine.Busy_ && !Machine.HeldBack_ &&
          Now >= Machine.NoOrderBefore_ &&
          Machine.Record_.State_ == MachineState::Up)
        Off.push_back(&Machine);
      continue;
    }
    PoolRow &Row = Pools[Pool];
    Row.RoomEach_ = std::max(Row.RoomEach_, Machine.Record_.Room_.MilliCpus_);
    AnyRoom = std::max(AnyRoom, Row.RoomEach_);
    if (Machine.HeldBack_)
      continue;
    ++Row.Have_;
    if (Machine.Usable_ && !Machine.Busy_ && Machine.idle() &&
        Now >= Machine.NoOrderBefore_ && Now - Machine.IdleSince_ >= SettleTime)
      Row.Idle_.push_back(&Machine);
  }
  for (const auto &[Pool, Wanted] : Demand) {
    if (Standby.contains(Pool))
      continue;
    PoolRow &Row = Pools[Pool];
    Row.Need_ =
        machinesFor(Wanted, Row.RoomEach_ > 0 ? Row.RoomEach_ : AnyRoom);
  }
  const auto Home = [&](const MachineView &Machine) {
    const auto Found = Homes.find(Machine.Record_.Id_);
    return Found == Homes.end() ? Machine.Record_.Pool_ : Found->second;
  };
  std::vector<MoveOrder> Orders;
  std::set<MachineId> Taken;
  const auto Give = [&](const MachineView &Machine, const PoolName &To) {
    Orders.push_back({Machine.Record_.Id_, To});
    Taken.insert(Machine.Record_.Id_);
  };
  // The pools with the largest lack come first.
  std::vector<std::pair<std::size_t, PoolName>> Lacking;
  for (const auto &[Pool, Row] : Pools)
    if (Row.deficit() > 0)
      Lacking.emplace_back(Row.deficit(), Pool);
  std::sort(Lacking.rbegin(), Lacking.rend());
  for (const auto &[Lack, To] : Lacking) {
    std::vector<std::tuple<int, std::int64_t, const MachineView *>> Donors;
    for (const auto &[Pool, Row] : Pools) {
      if (Pool == To || Row.deficit() > 0)
        continue;
      for (const MachineView *Machine : Row.Idle_)
        if (!Taken.contains(Machine->Record_.Id_))
          Donors.emplace_back(Home(*Machine) == Pool ? 2 : 0,
                              -static_cast<std::int64_t>(Row.surplus(Spare)),
                              Machine);
    }
    for (const MachineView *Machine : Off)
      if (!Taken.contains(Machine->Record_.Id_))
        Donors.emplace_back(1, 0, Machine);
    // Stable: equal donors stay in the order of their names, so that the same
    // tables give the same orders.
    std::stable_sort(Donors.begin(), Donors.end(),
                     [](const auto &A, const auto &B) {
                       return std::tie(std::get<0>(A), std::get<1>(A)) <
                              std::tie(std::get<0>(B), std::get<1>(B));
                     });
    std::size_t Left = Lack;
    for (const auto &[Class, Rank, Machine] : Donors) {
      if (Left == 0)
        break;
      const auto From = Pools.find(Machine->Record_.Pool_);
      if (From != Pools.end()) {
        if (From->second.surplus(Spare) == 0)
          continue;
        --From->second.Have_;
      }
      Give(*Machine, To);
      --Left;
    }
  }
  // What was switched on for a peak is switched off again after it.
  for (const auto &[Pool, Row] : Pools) {
    std::size_t Extra = Row.surplus(Spare);
    for (const MachineView *Machine : Row.Idle_) {
      if (Extra == 0 || Taken.contains(Machine->Record_.Id_))
        continue;
      const PoolName From = Home(*Machine);
      if (!Standby.contains(From) || Now - Machine->IdleSince_ < ReturnAfter)
        continue;
      Give(*Machine, From);
      --Extra;
    }
  }
  return Orders;
}

} // namespace laburnumspread::capacity
