#include "scheduling/advicetable.h"

#include <algorithm>

namespace laburnumspread::scheduling {

bool AdviceTable::beginRequest(const StepName &Step, TimePoint Now) {
  Row &Known = Rows_[Step];
  if (Known.RequestPending_ || Now < Known.NextRequestAt_)
    return false;
  Known.RequestPending_ = true;
  return true;
}

void AdviceTable::recordAnswer(const StepName &Step,
                               const std::vector<AdvisedWorker> &Workers,
                               Duration ValidFor, TimePoint RequestedAt) {
  Row &Known = Rows_[Step];
  Known.RequestPending_ = false;
  Known.Tickets_.clear();
  for (const AdvisedWorker &Item : Workers)
    Known.Tickets_[Item.Worker_] = Item.Ticket_;
  Known.ExpiresAt_ = RequestedAt + ValidFor;
  Known.NextRequestAt_ = Workers.empty()
                             ? RequestedAt + RetryInterval
                             : std::max(RequestedAt + RetryInterval,
                                        Known.ExpiresAt_ - 2 * UseMargin);
}

void AdviceTable::recordNoAnswer(const StepName &Step, TimePoint Now) {
  Row &Known = Rows_[Step];
  Known.RequestPending_ = false;
  Known.NextRequestAt_ = Now + RetryInterval;
}

std::optional<std::string> AdviceTable::ticket(const StepName &Step,
                                               const jobs::WorkerId &Worker,
                                               TimePoint Now) const {
  const auto Known = Rows_.find(Step);
  if (Known == Rows_.end() || Now + UseMargin > Known->second.ExpiresAt_)
    return std::nullopt;
  const auto Found = Known->second.Tickets_.find(Worker);
  if (Found == Known->second.Tickets_.end())
    return std::nullopt;
  return Found->second;
}

void AdviceTable::recordRefusal(const StepName &Step,
                                const jobs::WorkerId &Worker) {
  const auto Known = Rows_.find(Step);
  if (Known == Rows_.end())
    return;
  Known->second.Tickets_.erase(Worker);
  if (Known->second.Tickets_.empty())
    Known->second.NextRequestAt_ = TimePoint();
}

void AdviceTable::forget(const jobs::JobId &Job) {
  auto Row = Rows_.lower_bound(StepName{Job, 0, 0});
  while (Row != Rows_.end() && Row->first.Job_ == Job)
    Row = Rows_.erase(Row);
}

} // namespace laburnumspread::scheduling
