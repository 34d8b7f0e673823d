#include "standin/kvstate.h"

#include <algorithm>

namespace laburnumspread::standin {

bool inRange(const std::string &Key, const std::string &From,
             const std::string &To) {
  if (To.empty())
    return Key == From;
  return Key >= From && (To == std::string(1, '\0') || Key < To);
}

const StoredValue *KvState::find(const std::string &Key) const {
  const auto It = Items_.find(Key);
  return It == Items_.end() ? nullptr : &It->second;
}

void KvState::record(KvEvent Event) {
  History_.push_back(std::move(Event));
  if (History_.size() > MaxHistoryEvents) {
    CompactedRevision_ = History_.front().Revision_;
    History_.pop_front();
  }
}

void KvState::put(const std::string &Key, std::string Value,
                  std::int64_t Lease) {
  StoredValue &Item = Items_[Key];
  if (Item.Version_ == 0)
    Item.CreateRevision_ = Revision_;
  ++Item.Version_;
  Item.Value_ = std::move(Value);
  Item.ModRevision_ = Revision_;
  Item.Lease_ = Lease;
  record({Key, false, Item, Revision_});
}

std::size_t KvState::eraseRange(const std::string &From,
                                const std::string &To) {
  std::size_t Erased = 0;
  for (auto It = Items_.lower_bound(From); It != Items_.end();) {
    if (!inRange(It->first, From, To))
      break;
    record({It->first, true, {}, Revision_});
    It = Items_.erase(It);
    ++Erased;
  }
  return Erased;
}

std::optional<std::vector<KvEvent>>
KvState::eventsSince(std::int64_t Revision) const {
  if (Revision <= CompactedRevision_)
    return std::nullopt;
  const auto First =
      std::lower_bound(History_.begin(), History_.end(), Revision,
                       [](const KvEvent &Event, std::int64_t Wanted) {
                         return Event.Revision_ < Wanted;
                       });
  return std::vector<KvEvent>(First, History_.end());
}

void KvState::compact(std::int64_t Revision) {
  CompactedRevision_ = std::max(CompactedRevision_, Revision);
  while (!History_.empty() && History_.front().Revision_ <= Revision)
    History_.pop_front();
}

std::int64_t KvState::grantLease(std::int64_t Seconds, TimePoint Now) {
  const std::int64_t Id = NextLease_++;
  Leases_[Id] = {Seconds, Now + std::chrono::seconds(Seconds)};
  return Id;
}

std::int64_t KvState::keepLease(std::int64_t Id, TimePoint Now) {
  const auto It = Leases_.find(Id);
  if (It == Leases_.end())
    return 0;
  It->second.ExpiresAt_ = Now + std::chrono::seconds(It->second.Seconds_);
  return It->second.Seconds_;
}

void KvState::revokeLease(std::int64_t Id) {
  if (Leases_.erase(Id) == 0)
    return;
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : Items_)
    if (Item.Lease_ == Id)
      Keys.push_back(Key);
  if (Keys.empty())
    return;
  beginWrite();
  for (const std::string &Key : Keys)
    eraseRange(Key, "");
}

void KvState::expireLeases(TimePoint Now) {
  std::vector<std::int64_t> Expired;
  for (const auto &[Id, Item] : Leases_)
    if (Item.ExpiresAt_ < Now)
      Expired.push_back(Id);
  for (std::int64_t Id : Expired)
    revokeLease(Id);
}

void KvState::restore() {
  Items_ = Backup_.Items_;
  Revision_ = Backup_.Revision_;
  History_.clear();
  CompactedRevision_ = Revision_;
}

} // namespace laburnumspread::standin
