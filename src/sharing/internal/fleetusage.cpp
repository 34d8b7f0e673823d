#include "sharing/fleetusage.h"

#include <algorithm>

namespace laburnumspread::sharing {

void FleetUsage::shift(const PoolName &Pool, const TeamName &Team,
                       const TeamUsage &By, int Sign) {
  auto &Teams = Total_[Pool];
  TeamUsage &Into = Teams[Team];
  Into.Running_ += Sign * static_cast<int>(By.Running_);
  Into.Waiting_ += Sign * static_cast<int>(By.Waiting_);
  if (Into.Running_ + Into.Waiting_ == 0)
    Teams.erase(Team);
}

void FleetUsage::replacePeerRows(const MemberId &Peer,
                                 const std::vector<Row> &Rows) {
  removePeer(Peer);
  for (const Row &Item : Rows)
    shift(Item.Pool_, Item.Team_, Item.Usage_, 1);
  if (!Rows.empty())
    Peers_[Peer] = Rows;
}

void FleetUsage::removePeer(const MemberId &Peer) {
  const auto At = Peers_.find(Peer);
  if (At == Peers_.end())
    return;
  for (const Row &Item : At->second)
    shift(Item.Pool_, Item.Team_, Item.Usage_, -1);
  Peers_.erase(At);
}

void FleetUsage::updatePeerRows(const MemberId &Peer,
                                const std::vector<Row> &Rows) {
  std::vector<Row> Known = Peers_[Peer];
  for (const Row &Item : Rows) {
    std::erase_if(Known, [&](const Row &Old) {
      return Old.Pool_ == Item.Pool_ && Old.Team_ == Item.Team_;
    });
    if (Item.Usage_.Running_ + Item.Usage_.Waiting_ > 0)
      Known.push_back(Item);
  }
  replacePeerRows(Peer, Known);
}

void FleetUsage::changeOwn(const PoolName &Pool, const TeamName &Team,
                           const TeamUsage &By, int Sign) {
  const Key Where{Pool, Team};
  TeamUsage &Into = Own_[Where];
  Into.Running_ += Sign * static_cast<int>(By.Running_);
  Into.Waiting_ += Sign * static_cast<int>(By.Waiting_);
  if (Into.Running_ + Into.Waiting_ == 0)
    Own_.erase(Where);
  Changed_.insert(Where);
  shift(Pool, Team, By, Sign);
}

std::vector<FleetUsage::Row> FleetUsage::takeChanged(std::size_t Most) {
  std::vector<Row> Rows;
  for (const Key &Where : Changed_) {
    const auto At = Own_.find(Where);
    Rows.push_back({Where.Pool_, Where.Team_,
                    At == Own_.end() ? TeamUsage() : At->second});
  }
  std::stable_partition(Rows.begin(), Rows.end(), [](const Row &Item) {
    return Item.Usage_.Waiting_ > 0;
  });
  Rows.resize(std::min(Rows.size(), Most));
  for (const Row &Item : Rows)
    Changed_.erase({Item.Pool_, Item.Team_});
  return Rows;
}

void FleetUsage::markAllChanged() {
  for (const auto &[Where, Use] : Own_)
    Changed_.insert(Where);
}

void FleetUsage::addRunning(const PoolName &Pool, const TeamName &Team,
                            int By) {
  changeOwn(Pool, Team, {1, 0}, By);
}

void FleetUsage::addWaiting(const PoolName &Pool, const TeamName &Team,
                            int By) {
  changeOwn(Pool, Team, {0, 1}, By);
}

TeamUsage FleetUsage::total(const PoolName &Pool, const TeamName &Team) const {
  const auto &Teams = totals(Pool);
  const auto At = Teams.find(Team);
  return At == Teams.end() ? TeamUsage() : At->second;
}

const std::map<TeamName, TeamUsage> &
FleetUsage::totals(const PoolName &Pool) const {
  static const std::map<TeamName, TeamUsage> None;
  const auto At = Total_.find(Pool);
  return At == Total_.end() ? None : At->second;
}

std::vector<FleetUsage::Row> FleetUsage::localRows() const {
  std::vector<Row> Result;
  for (const auto &[Where, Use] : Own_)
    if (Use.Running_ + Use.Waiting_ > 0)
      Result.push_back({Where.Pool_, Where.Team_, Use});
  return Result;
}

} // namespace laburnumspread::sharing
