#include "jobs/queuerecords.h"

namespace laburnumspread::jobs {

CellConfig withRecordedQueues(CellConfig InForce, const CellTable &Table) {
  // Without a configuration the limits of workspaces are unknown.
  if (InForce.Version_ == ConfigVersion())
    return InForce;
  const auto Known = InForce.queueNames();
  for (const auto &[Name, Queue] : Table.queueRecords())
    if (Table.openByQueue().contains(Name) && !Known.contains(Name))
      InForce.Queues_.push_back(Queue);
  return InForce;
}

bool needsRecord(const QueueConfig &Queue, const CellTable &Table) {
  const auto Row = Table.queueRecords().find(Queue.Name_);
  return Row == Table.queueRecords().end() || Row->second != Queue;
}

std::vector<QueueConfig> findUnrecordedQueues(const CellConfig &Config,
                                              const CellTable &Table) {
  std::vector<QueueConfig> Result;
  for (const QueueConfig &Queue : Config.Queues_)
    if (Table.openByQueue().contains(Queue.Name_) && needsRecord(Queue, Table))
      Result.push_back(Queue);
  return Result;
}

} // namespace laburnumspread::jobs
