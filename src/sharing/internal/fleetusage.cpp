#include "sharing/fleetusage.h"

namespace laburnumspread::sharing {

void FleetUsage::shift(TeamUse &Into, const TeamUse &By, int Sign) {
  Into.Running_ += Sign * static_cast<int>(By.Running_);
  Into.Waiting_ += Sign * static_cast<int>(By.Waiting_);
}

void FleetUsage::heard(const MemberId &Peer, const std::vector<Row> &Rows) {
  forget(Peer);
  for (const Row &Item : Rows)
    shift(Total_[{Item.Pool_, Item.Team_}], Item.Use_, 1);
  if (!Rows.empty())
    Peers_[Peer] = Rows;
}

void FleetUsage::forget(const MemberId &Peer) {
  const auto At = Peers_.find(Peer);
  if (At == Peers_.end())
    return;
  for (const Row &Item : At->second)
    shift(Total_[{Item.Pool_, Item.Team_}], Item.Use_, -1);
  Peers_.erase(At);
}

void FleetUsage::addRunning(const PoolName &Pool, const TeamName &Team,
                            int By) {
  Own_[{Pool, Team}].Running_ += By;
  Total_[{Pool, Team}].Running_ += By;
}

void FleetUsage::addWaiting(const PoolName &Pool, const TeamName &Team,
                            int By) {
  Own_[{Pool, Team}].Waiting_ += By;
  Total_[{Pool, Team}].Waiting_ += By;
}

TeamUse FleetUsage::total(const PoolName &Pool, const TeamName &Team) const {
  const auto At = Total_.find({Pool, Team});
  return At == Total_.end() ? TeamUse() : At->second;
}

std::map<TeamName, TeamUse> FleetUsage::totals(const PoolName &Pool) const {
  std::map<TeamName, TeamUse> Result;
  for (auto It = Total_.lower_bound({Pool, TeamName()});
       It != Total_.end() && It->first.Pool_ == Pool; ++It)
    if (It->second.Running_ + It->second.Waiting_ > 0)
      Result[It->first.Team_] = It->second;
  return Result;
}

std::vector<FleetUsage::Row> FleetUsage::own() const {
  std::vector<Row> Result;
  for (const auto &[Where, Use] : Own_)
    if (Use.Running_ + Use.Waiting_ > 0)
      Result.push_back({Where.Pool_, Where.Team_, Use});
  return Result;
}

} // namespace laburnumspread::sharing
