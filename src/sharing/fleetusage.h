#pragma once

#include "sharing/sharingtypes.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace laburnumspread::sharing {

struct TeamUsage {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
};

/// How many requests of each team run and wait in each pool over the whole
/// fleet: counted here for this entry, heard from peers for the others.
class FleetUsage {
public:
  struct Row {
    PoolName Pool_;
    TeamName Team_;
    TeamUsage Usage_;
  };

  /// Changes what is known of a peer, row by row.
  void updatePeerRows(const MemberId &Peer, const std::vector<Row> &Rows);
  /// Replaces what is known of a peer.
  void replacePeerRows(const MemberId &Peer, const std::vector<Row> &Rows);
  void removePeer(const MemberId &Peer);

  void addRunning(const PoolName &Pool, const TeamName &Team, int By);
  void addWaiting(const PoolName &Pool, const TeamName &Team, int By);

  /// Over the fleet.
  TeamUsage total(const PoolName &Pool, const TeamName &Team) const;
  const std::map<TeamName, TeamUsage> &totals(const PoolName &Pool) const;
  /// Of this entry alone.
  std::vector<Row> localRows() const;
  /// At most \p MaxRows rows of this entry that have changed since they were
  /// last taken, those with waiting requests first; one that has become empty
  /// is given as zeros. The others stay for the next call.
  std::vector<Row> takeChanged(std::size_t MaxRows);
  /// Marks all rows as changed, so that a loss is made good in time.
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
