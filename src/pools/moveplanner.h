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

/// What the users weigh: closeness to share, moves, and idle buffer.
struct MoveWeights {
  double Closeness_ = 1;
  double Moves_ = 1;
  double Buffer_ = 1;
};

/// Work of a pool over the fleet.
struct Demand {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
};

struct Move {
  std::string Vm_;
  fleet::PoolName From_;
  fleet::PoolName To_;
  /// Whether the VM goes back to its declared pool.
  bool ToDeclaredPool_ = false;
  std::string Reason_;
};

/// What is seen of the fleet at one tick.
struct MoveInputs {
  const config::FleetTables &Tables_;
  const maintenance::VmList &List_;
  std::function<Demand(const fleet::PoolName &)> Demand_;
  /// Requests that this entry knows to run on the VM.
  std::function<std::uint32_t(const std::string &Vm)> RunningOn_;
  TimePoint Now_{};
};

/// Moves VMs between pools as demand rotates.
///
/// A pool that has had more work than slots for a while is lent idle VMs, from
/// the spare pool first; a lent VM goes home when its pool has had room to
/// spare for longer. The two times differ so that a VM does not flap, and grow
/// with the weight of moves against closeness.
class MovePlanner {
public:
  explicit MovePlanner(MoveWeights Weights) : Weights_(Weights) {}

  std::vector<Move> plan(const MoveInputs &Inputs);

  Duration lendDelay() const;
  Duration returnDelay() const;

private:
  struct PoolState {
    TimePoint OverloadedSince_{};
    TimePoint UnderusedSince_{};
  };
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
