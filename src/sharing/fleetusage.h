#pragma once

#include "sharing/sharingtypes.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace laburnumspread::sharing {

/// Number of running and waiting requests of one workspace.
struct TeamUsage {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
};

/// Number of requests of each workspace that run and wait in each pool over the
/// whole fleet. Counts this entry's own requests; the others are reported by
/// its peers.
class FleetUsage {
public:
  /// Usage of one workspace in one pool, as reported by one entry.
  struct Row {
    PoolName Pool_;
    TeamName Team_;
    TeamUsage Usage_;
  };

  /// Merges rows into those of a peer. A row of zeros removes one.
  void updatePeerRows(const MemberId &Peer, const std::vector<Row> &Rows);
  /// Replaces all rows of a peer.
  void replacePeerRows(const MemberId &Peer, const std::vector<Row> &Rows);
  /// Removes all rows of a peer.
  void removePeer(const MemberId &Peer);

  /// Changes the number of this entry's running requests by \p By.
  void addRunning(const PoolName &Pool, const TeamName &Team, int By);
  /// Changes the number of this entry's waiting requests by \p By.
  void addWaiting(const PoolName &Pool, const TeamName &Team, int By);

  /// Usage over the whole fleet.
  TeamUsage total(const PoolName &Pool, const TeamName &Team) const;
  /// Usage over the whole fleet of every workspace that runs or waits in the
  /// pool.
  const std::map<TeamName, TeamUsage> &totals(const PoolName &Pool) const;
  /// Rows of this entry alone.
  std::vector<Row> localRows() const;
  /// Takes up to \p MaxRows rows of this entry that have changed since they
  /// were last taken, rows with waiting requests first. A row that has become
  /// empty is returned as zeros. Rows beyond the maximum stay for the next
  /// call.
  std::vector<Row> takeChanged(std::size_t MaxRows);
  /// Marks all rows of this entry as changed. Called periodically, so that
  /// peers recover from lost updates.
  void markAllChanged();

private:
  struct Key {
    PoolName Pool_;
    TeamName Team_;
    auto operator<=>(const Key &) const = default;
  };
  void adjustLocal(const PoolName &Pool, const TeamName &Team,
                   const TeamUsage &By, int Sign);
  void adjustTotal(const PoolName &Pool, const TeamName &Team,
                   const TeamUsage &By, int Sign);

  std::map<PoolName, std::map<TeamName, TeamUsage>> Totals_;
  std::map<Key, TeamUsage> Local_;
  std::set<Key> Changed_;
  std::unordered_map<MemberId, std::vector<Row>> Peers_;
};

} // namespace laburnumspread::sharing
