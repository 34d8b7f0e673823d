#include "scheduling/advicetable.h"

#include <algorithm>

namespace laburnumspread::scheduling {

bool AdviceTable::beginAsking(const StepName &Step, TimePoint Now) {
  Row &Known = Rows_[Step];
  if (Known.Asking_ || Now < Known.AskAgainAt_)
    return false;
  Known.Asking_ = true;
  return true;
}

void AdviceTable::answered(const StepName &Step,
                           const std::vector<Advice> &Good, Duration Valid,
                           TimePoint AskedAt) {
  Row &Known = Rows_[Step];
  Known.Asking_ = false;
  Known.Tickets_.clear();
  for (const Advice &Item : Good)
    Known.Tickets_[Item.Worker_] = Item.Ticket_;
  Known.Until_ = AskedAt + Valid;
  Known.AskAgainAt_ = Good.empty() ? AskedAt + AskAgainAfter
                                   : std::max(AskedAt + AskAgainAfter,
                                              Known.Until_ - 2 * UseMargin);
}

void AdviceTable::unanswered(const StepName &Step, TimePoint Now) {
  Row &Known = Rows_[Step];
  Known.Asking_ = false;
  Known.AskAgainAt_ = Now + AskAgainAfter;
}

std::optional<std::string> AdviceTable::ticket(const StepName &Step,
                                               const jobs::WorkerId &Worker,
                                               TimePoint Now) const {
  const auto Known = Rows_.find(Step);
  if (Known == Rows_.end() || Now + UseMargin > Known->second.Until_)
    return std::nullopt;
  const auto Found = Known->second.Tickets_.find(Worker);
  if (Found == Known->second.Tickets_.end())
    return std::nullopt;
  return Found->second;
}

void AdviceTable::refused(const StepName &Step, const jobs::WorkerId &Worker) {
  const auto Known = Rows_.find(Step);
  if (Known == Rows_.end())
    return;
  Known->second.Tickets_.erase(Worker);
  if (Known->second.Tickets_.empty())
    Known->second.AskAgainAt_ = TimePoint();
}

void AdviceTable::forget(const jobs::JobId &Job) {
  auto Row = Rows_.lower_bound(StepName{Job, 0, 0});
  while (Row != Rows_.end() && Row->first.Job_ == Job)
    Row = Rows_.erase(Row);
}

} // namespace laburnumspread::scheduling
