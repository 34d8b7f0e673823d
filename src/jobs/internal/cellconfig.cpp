#include "jobs/cellconfig.h"

namespace laburnumspread::jobs {

const QueueConfig *CellConfig::find(const QueueName &Name) const {
  for (const QueueConfig &Queue : Queues_)
    if (Queue.Name_ == Name)
      return &Queue;
  return nullptr;
}

absl::flat_hash_set<QueueName> CellConfig::queueNames() const {
  absl::flat_hash_set<QueueName> Names;
  Names.reserve(Queues_.size());
  for (const QueueConfig &Queue : Queues_)
    Names.insert(Queue.Name_);
  return Names;
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

std::optional<WorkspaceName>
CellConfig::workspaceOf(std::string_view Key, const QueueConfig &Queue) const {
  const auto Owner = KeyOwners_.find(Key);
  if (Owner != KeyOwners_.end())
    return Owner->second;
  if (Queue.Public_)
    return WorkspaceName();
  return std::nullopt;
}

} // namespace laburnumspread::jobs
