#include "cell/configreads.h"

#include <algorithm>
#include <set>

namespace laburnumspread::cell {

std::string_view nameOf(ConfigNeed Need) {
  switch (Need) {
  case ConfigNeed::None:
    return "none";
  case ConfigNeed::Newer:
    return "newer";
  case ConfigNeed::Confirmation:
    return "confirmation";
  }
  return "none";
}

bool ConfigReads::due(ConfigNeed Need, TimePoint Now) {
  if (Need == ConfigNeed::None) {
    NeededSince_.reset();
    NextReadAt_ = TimePoint();
    Begun_ = 0;
    return false;
  }
  if (!NeededSince_)
    NeededSince_ = Now;
  // A confirmation is late already when it is asked for.
  const bool Waited =
      Need == ConfigNeed::Confirmation || Now - *NeededSince_ >= allowance();
  if (!Waited || Now < NextReadAt_)
    return false;
  Duration Pause = allowance();
  for (std::uint32_t I = 0; I < Begun_ && Pause < MaxPause; ++I)
    Pause *= 2;
  ++Begun_;
  NextReadAt_ = Now + std::min(Pause, MaxPause);
  return true;
}

void ConfigReads::recordRead(Duration Took, std::uint64_t Bytes,
                             TimePoint Now) {
  LastReadTook_ = Took;
  LastReadBytes_ = Bytes;
  const Duration Interval = std::chrono::seconds(Bytes / IdleBytesPerSecond);
  NextIdleReadAt_ = Now + std::max(LeastIdleInterval, Interval);
}

std::size_t ConfigReads::maxWatchBytes() const {
  // Values are transferred as base64 text, which is longer by a third.
  const std::uint64_t Encoded = LastReadBytes_ * 4 / 3;
  return std::max<std::size_t>(LeastWatchBytes,
                               (MaxVersionsPerAnswer + 1) * Encoded);
}

Duration ConfigReads::allowance() const {
  return std::max<Duration>(Patience, 2 * LastReadTook_);
}

void WatchedRevisions::recordItem(const store::KeyValue &Item) {
  fleet::Revision &Newest = Newest_[Item.Key_];
  Newest = std::max(Newest, Item.ModRevision_);
}

void WatchedRevisions::recordThrough(fleet::Revision Through) {
  Through_ = std::max(Through_, Through);
}

bool WatchedRevisions::wasMissed(const store::KeyValue &Item) const {
  const auto Newest = Newest_.find(Item.Key_);
  const bool Known =
      Newest != Newest_.end() && Newest->second >= Item.ModRevision_;
  return !Known && Item.ModRevision_ <= Through_;
}

std::vector<store::KeyValue> newestOfEach(std::vector<store::KeyValue> Items) {
  std::set<std::string> Seen;
  std::vector<store::KeyValue> Result;
  for (auto Item = Items.rbegin(); Item != Items.rend(); ++Item)
    if (Seen.insert(Item->Key_).second)
      Result.push_back(std::move(*Item));
  std::ranges::reverse(Result);
  return Result;
}

} // namespace laburnumspread::cell
