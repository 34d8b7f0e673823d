#include "sharing/fleetusage.h"

namespace laburnumspread::sharing {

void FleetUsage::shift(const PoolName &Pool, const TeamName &Team,
                       const TeamUse &By, int Sign) {
  auto &Teams = Total_[Pool];
  TeamUse &Into = Teams[Team];
  Into.Running_ += Sign * static_cast<int>(By.Running_);
  Into.Waiting_ += Sign * static_cast<int>(By.Waiting_);
  if (Into.Running_ + Into.Waiting_ == 0)
    Teams.erase(Team);
}

void FleetUsage::heard(const MemberId &Peer, const std::vector<Row> &Rows) {
  forget(Peer);
  for (const Row &Item : Rows)
    shift(Item.Pool_, Item.Team_, Item.Use_, 1);
  if (!Rows.empty())
    Peers_[Peer] = Rows;
}

void FleetUsage::forget(const MemberId &Peer) {
  const auto At = Peers_.find(Peer);
  if (At == Peers_.end())
    return;
  for (const Row &Item : At->second)
    shift(Item.Pool_, Item.Team_, Item.Use_, -1);
  Peers_.erase(At);
}

void FleetUsage::addRunning(const PoolName &Pool, const TeamName &Team,
                            int By) {
  Own_[{Pool, Team}].Running_ += By;
  shift(Pool, Team, {1, 0}, By);
}

void FleetUsage::addWaiting(const PoolName &Pool, const TeamName &Team,
                            int By) {
  Own_[{Pool, Team}].Waiting_ += By;
  shift(Pool, Team, {0, 1}, By);
}

TeamUse FleetUsage::total(const PoolName &Pool, const TeamName &Team) const {
  const auto &Teams = totals(Pool);
  const auto At = Teams.find(Team);
  return At == Teams.end() ? TeamUse() : At->second;
}

const std::map<TeamName, TeamUse> &
FleetUsage::totals(const PoolName &Pool) const {
  static const std::map<TeamName, TeamUse> None;
  const auto At = Total_.find(Pool);
  return At == Total_.end() ? None : At->second;
}

std::vector<FleetUsage::Row> FleetUsage::own() const {
  std::vector<Row> Result;
  for (const auto &[Where, Use] : Own_)
    if (Use.Running_ + Use.Waiting_ > 0)
      Result.push_back({Where.Pool_, Where.Team_, Use});
  return Result;
}

} // namespace laburnumspread::sharing
