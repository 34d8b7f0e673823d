#pragma once

#include "jobs/cellconfig.h"

#include <variant>

namespace laburnumspread::jobs {

/// A job was accepted.
struct JobAccepted {
  JobSpec Spec_;
};

/// A task is about to be started. Written before the start is sent, so that the
/// next leader knows every worker on which the run may exist.
struct RunIntended {
  RunName Run_;
  WorkerIncarnation Worker_;
};

/// A run has ended: it no longer executes and can never start again.
struct RunEnded {
  RunName Run_;
  EndKind Kind_ = EndKind::Lost;
  Checkpoint Saved_;
  /// The queue's attempt limit when the run ended; every replay applies it to a
  /// failure. 0 in entries written before the field existed.
  std::uint32_t AttemptLimit_ = 0;
};

/// A caller has cancelled a job.
struct JobCancelled {
  JobId Job_;
};

/// The upkeep of a machine has started as part of a wave.
struct UpkeepBegun {
  WaveNumber Wave_;
  MachineId Machine_;
};

/// An order for a machine is about to be sent. Written before it is sent, so
/// that the next leader knows which machines it must not order for a while, and
/// the home pool of each machine.
struct MachineOrdered {
  MachineId Machine_;
  fleet::PoolName From_;
};

/// The configuration of a queue that has jobs. Written before the first job
/// that is accepted under it, so that a leader which takes over after the queue
/// was removed can finish its jobs.
struct QueueRecorded {
  QueueConfig Queue_;
};

/// A change of a cell's state. The state results from applying the cell's
/// events in order.
using Event = std::variant<JobAccepted, RunIntended, RunEnded, JobCancelled,
                           UpkeepBegun, MachineOrdered, QueueRecorded>;

/// When a group of events was written: the fencing token of the leader that
/// wrote it, and the time since its takeover by its own steady clock.
struct GroupStamp {
  FencingToken Token_;
  Duration SinceTakeover_{};
};

/// A journal entry: events that were committed together, and their stamp.
struct EventGroup {
  std::vector<Event> Events_;
  GroupStamp Stamp_;
};

} // namespace laburnumspread::jobs
