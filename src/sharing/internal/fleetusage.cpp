#include "sharing/fleetusage.h"

#include <algorithm>

namespace laburnumspread::sharing {

void FleetUsage::adjustTotal(const PoolName &Pool, const TeamName &Team,
                             const TeamUsage &By, int Sign) {
  auto &Teams = Totals_[Pool];
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
    adjustTotal(Item.Pool_, Item.Team_, Item.Usage_, 1);
  if (!Rows.empty())
    Peers_[Peer] = Rows;
}

void FleetUsage::removePeer(const MemberId &Peer) {
  const auto At = Peers_.find(Peer);
  if (At == Peers_.end())
    return;
  for (const Row &Item : At->second)
    adjustTotal(Item.Pool_, Item.Team_, Item.Usage_, -1);
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

void FleetUsage::adjustLocal(const PoolName &Pool, const TeamName &Team,
                             const TeamUsage &By, int Sign) {
  const Key Where{Pool, Team};
  TeamUsage &Into = Local_[Where];
  Into.Running_ += Sign * static_cast<int>(By.Running_);
  Into.Waiting_ += Sign * static_cast<int>(By.Waiting_);
  if (Into.Running_ + Into.Waiting_ == 0)
    Local_.erase(Where);
  Changed_.insert(Where);
  adjustTotal(Pool, Team, By, Sign);
}

std::vector<FleetUsage::Row> FleetUsage::takeChanged(std::size_t MaxRows) {
  std::vector<Row> Rows;
  for (const Key &Where : Changed_) {
    const auto At = Local_.find(Where);
    Rows.push_back({Where.Pool_, Where.Team_,
                    At == Local_.end() ? TeamUsage() : At->second});
  }
  std::stable_partition(Rows.begin(), Rows.end(), [](const Row &Item) {
    return Item.Usage_.Waiting_ > 0;
  });
  Rows.resize(std::min(Rows.size(), MaxRows));
  for (const Row &Item : Rows)
    Changed_.erase({Item.Pool_, Item.Team_});
  return Rows;
}

void FleetUsage::markAllChanged() {
  for (const auto &[Where, Use] : Local_)
    Changed_.insert(Where);
}

void FleetUsage::addRunning(const PoolName &Pool, const TeamName &Team,
                            int By) {
  adjustLocal(Pool, Team, {1, 0}, By);
}

void FleetUsage::addWaiting(const PoolName &Pool, const TeamName &Team,
                            int By) {
  adjustLocal(Pool, Team, {0, 1}, By);
}

TeamUsage FleetUsage::total(const PoolName &Pool, const TeamName &Team) const {
  const auto &Teams = totals(Pool);
  const auto At = Teams.find(Team);
  return At == Teams.end() ? TeamUsage() : At->second;
}

const std::map<TeamName, TeamUsage> &
FleetUsage::totals(const PoolName &Pool) const {
  static const std::map<TeamName, TeamUsage> None;
  const auto At = Totals_.find(Pool);
  return At == Totals_.end() ? None : At->second;
}

std::vector<FleetUsage::Row> FleetUsage::localRows() const {
  std::vector<Row> Result;
  for (const auto &[Where, Use] : Local_)
    if (Use.Running_ + Use.Waiting_ > 0)
      Result.push_back({Where.Pool_, Where.Team_, Use});
  return Result;
}

} // namespace laburnumspread::sharing
