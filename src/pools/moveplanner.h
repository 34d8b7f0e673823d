#pragma once

#include "config/fleettables.h"
#include "maintenance/vmdirectory.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace laburnumspread::pools {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// Weights of the planner's goals: closeness to the fair share, few moves, and
/// a buffer of idle slots.
struct MoveWeights {
  double Closeness_ = 1;
  double Moves_ = 1;
  double Buffer_ = 1;
};

/// Requests of a pool over the whole fleet.
struct Demand {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
};

/// A planned move of one VM between pools.
struct Move {
  std::string Vm_;
  fleet::PoolName From_;
  fleet::PoolName To_;
  /// Whether the VM returns to its declared pool.
  bool ToDeclaredPool_ = false;
  std::string Reason_;
};

/// State of the fleet at one tick.
struct MoveInputs {
  const config::FleetTables &Tables_;
  const maintenance::VmList &List_;
  std::function<Demand(const fleet::PoolName &)> Demand_;
  /// Number of requests on the VM that this entry knows of.
  std::function<std::uint32_t(const std::string &Vm)> RunningOn_;
  TimePoint Now_{};
};

/// Moves VMs between pools as demand shifts.
///
/// A pool that has had more requests than slots for lendDelay() is lent idle
/// VMs, from spare pools first. A lent VM returns once the pool that uses it
/// has been underused for returnDelay(), by default much longer, so that VMs do
/// not move back and forth. Both delays grow with the weight of moves; the lend
/// delay shrinks with that of closeness, the return delay with that of the
/// buffer.
class MovePlanner {
public:
  explicit MovePlanner(MoveWeights Weights) : Weights_(Weights) {}

  /// Plans the moves of one tick. Must be called at every tick, since it tracks
  /// for how long pools have been overloaded or underused.
  std::vector<Move> plan(const MoveInputs &Inputs);

  /// How long a pool must be overloaded before it is lent VMs.
  Duration lendDelay() const;
  /// How long a pool must be underused before it returns lent VMs.
  Duration returnDelay() const;

private:
  /// What the planner keeps of a pool between ticks. Zero means not overloaded
  /// or not underused.
  struct PoolState {
    TimePoint OverloadedSince_{};
    TimePoint UnderusedSince_{};
  };
  /// A pool at the current tick.
  struct PoolSummary {
    fleet::PoolName Name_;
    const fleet::Pool *Declared_ = nullptr;
    std::vector<const fleet::Vm *> Usable_;
    std::uint32_t Slots_ = 0;
    Demand Demand_;
    bool InWave_ = false;
  };

  std::map<fleet::PoolName, PoolSummary>
  summarizePools(const MoveInputs &Inputs) const;
  void updatePoolState(const PoolSummary &Pool, TimePoint Now);
  void lend(PoolSummary &To, std::map<fleet::PoolName, PoolSummary> &Pools,
            const MoveInputs &Inputs, std::vector<Move> &Moves);
  void returnIdleVms(PoolSummary &From, const MoveInputs &Inputs,
                     std::vector<Move> &Moves);
  bool canLend(const PoolSummary &Donor) const;
  static const fleet::Vm *leastLoadedVm(const PoolSummary &Donor,
                                        const MoveInputs &Inputs);

  MoveWeights Weights_;
  std::map<fleet::PoolName, PoolState> States_;
};

} // namespace laburnumspread::pools
