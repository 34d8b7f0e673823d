#pragma once

#include "cell/term.h"
#include "jobs/queuerecords.h"

#include <algorithm>

/// The configuration of a term that has loaded its journal: the one in force,
/// followed by the removed queues that still have open jobs.
namespace laburnumspread::cell {

/// Records the queues with open jobs whose record is missing or outdated.
template <store::KeyValueStore Store> void recordQueues(Term<Store> &T) {
  for (QueueConfig &Queue : jobs::findUnrecordedQueues(T.Config_, T.Table_))
    T.Commits_.stage(jobs::QueueRecorded{std::move(Queue)});
}

/// Applies the configuration in force to the term.
template <store::KeyValueStore Store>
void adoptConfig(Term<Store> &T, const CellConfig &InForce) {
  T.Config_ = jobs::withRecordedQueues(InForce, T.Table_);
  recordQueues(T);
  T.Table_.forgetQueues(InForce);
  T.Commits_.wake();
}

/// Forgets the removed queues whose last job has ended. \p InForce is the
/// configuration that the term has adopted.
template <store::KeyValueStore Store>
void forgetRemovedQueues(Term<Store> &T, const CellConfig &InForce) {
  const auto &Queues = T.Config_.Queues_;
  const auto Removed = Queues.begin() + std::ssize(InForce.Queues_);
  const auto &Open = T.Table_.openByQueue();
  if (std::any_of(Removed, Queues.end(), [&](const QueueConfig &Queue) {
        return !Open.contains(Queue.Name_);
      }))
    adoptConfig(T, InForce);
}

} // namespace laburnumspread::cell
