#pragma once

#include "fleet/fleettypes.h"

#include <map>

namespace laburnumspread::routing {

using framework::clock::Duration;

/// Run times as they were seen, by team and pool. What callers declare is off
/// by large factors; it is used for nothing here.
class RunTimeEstimates {
public:
  /// Weight of the newest run time.
  static constexpr double Smoothing = 0.1;

  void recordRunTime(const fleet::PoolName &Pool, const fleet::TeamName &Team,
                     Duration RunTime);

  /// Mean run time in a pool over all teams; zero before anything was seen.
  Duration meanRunTime(const fleet::PoolName &Pool) const;
  Duration meanRunTime(const fleet::PoolName &Pool,
                       const fleet::TeamName &Team) const;

  /// Time until a request that comes after \p Ahead others would start, in a
  /// pool with \p Slots slots that are all busy.
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
