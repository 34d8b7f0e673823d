#include "jobs/cellconfig.h"

namespace laburnumspread::jobs {

const QueueConfig *CellConfig::find(const QueueName &Name) const {
  for (const QueueConfig &Queue : Queues_)
    if (Queue.Name_ == Name)
      return &Queue;
  return nullptr;
}

const QueueConfig *CellConfig::route(std::string_view Host,
                                     std::string_view Path) const {
  const QueueConfig *Best = nullptr;
  for (const QueueConfig &Queue : Queues_) {
    if (Queue.Host_ != Host || !Path.starts_with(Queue.PathPrefix_))
      continue;
    if (!Best || Queue.PathPrefix_.size() > Best->PathPrefix_.size())
      Best = &Queue;
  }
  return Best;
}

} // namespace laburnumspread::jobs
