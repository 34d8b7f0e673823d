#include "peers/internal/callbacklog.h"

namespace laburnumspread::peers {

void CallBacklog::add(const Sender &From, JobCall Call, std::size_t Bytes,
                      TimePoint Now) {
  const Key Name = keyOf(From, Call);
  Bytes_ += Bytes;
  if (const auto Known = ByKey_.find(Name); Known != ByKey_.end()) {
    Item &Earlier = *Known->second;
    Bytes_ -= Earlier.Bytes_;
    Earlier = {From, std::move(Call), Bytes, Earlier.ArrivedAt_};
    ++Superseded_;
  } else {
    Waiting_.push_back({From, std::move(Call), Bytes, Now});
    ByKey_.emplace(Name, std::prev(Waiting_.end()));
  }
  while (Bytes_ > MaxBytes) {
    removeOldest();
    ++Displaced_;
  }
}

std::optional<CallBacklog::Item> CallBacklog::takeNext(TimePoint Now) {
  while (!Waiting_.empty()) {
    Item Next = removeOldest();
    if (Now - Next.ArrivedAt_ < MaxAge)
      return Next;
    ++Expired_;
  }
  return std::nullopt;
}

Duration CallBacklog::oldestAge(TimePoint Now) const {
  return Waiting_.empty() ? Duration::zero()
                          : Now - Waiting_.front().ArrivedAt_;
}

CallBacklog::Item CallBacklog::removeOldest() {
  Item Oldest = std::move(Waiting_.front());
  ByKey_.erase(keyOf(Oldest.From_, Oldest.Call_));
  Waiting_.pop_front();
  Bytes_ -= Oldest.Bytes_;
  return Oldest;
}

} // namespace laburnumspread::peers
