#pragma once

#include "fleet/fleettypes.h"

#include <map>

namespace laburnumspread::routing {

using framework::clock::Duration;

/// Moving averages of observed run times, by workspace and pool. Run times
/// declared by callers are not used, since they are wrong by large factors.
class RunTimeEstimates {
public:
  /// Weight of the newest run time in the exponential moving average.
  static constexpr double Smoothing = 0.1;

  void recordRunTime(const fleet::PoolName &Pool, const fleet::TeamName &Team,
                     Duration RunTime);

  /// Mean run time in a pool over all workspaces. Zero before the first
  /// observation.
  Duration meanRunTime(const fleet::PoolName &Pool) const;
  /// Mean run time of a workspace in a pool. Zero before the first observation.
  Duration meanRunTime(const fleet::PoolName &Pool,
                       const fleet::TeamName &Team) const;

  /// Estimated time until a request starts that has \p Ahead requests before it
  /// in a pool with \p Slots slots, all of them busy. Zero if \p Slots is zero.
  Duration estimatedWait(const fleet::PoolName &Pool, std::size_t Ahead,
                         std::uint32_t Slots) const;

private:
  struct Key {
    fleet::PoolName Pool_;
    fleet::TeamName Team_;
    auto operator<=>(const Key &) const = default;
  };
  std::map<Key, double> TeamMicros_;
  std::map<fleet::PoolName, double> PoolMicros_;
};

} // namespace laburnumspread::routing
