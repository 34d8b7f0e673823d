#pragma once

#include "jobs/jobtypes.h"

#include <variant>

namespace laburnumspread::jobs {

/// A job was taken on.
struct JobAccepted {
  JobSpec Spec_;
};

/// A task is about to be started. Written before the order leaves, so that a
/// successor knows each worker on which the run may exist.
struct RunIntended {
  RunName Run_;
  WorkerIncarnation Worker_;
};

/// A run is over for good: it works no more and can never start again.
struct RunEnded {
  RunName Run_;
  EndKind Kind_ = EndKind::Lost;
  Checkpoint Saved_;
  /// Attempts that the queue allowed when it ended, by which a failure counts
  /// at every replay; 0 when the entry does not tell.
  std::uint32_t AttemptLimit_ = 0;
};

struct JobCancelled {
  JobId Job_;
};

/// The upkeep of a machine has begun, as a wave asks.
struct UpkeepBegun {
  WaveNumber Wave_;
  MachineId Machine_;
};

/// An order for a machine is about to leave. Written before it does, so that a
/// successor knows which machines its orders must leave alone for a while, and
/// from which pool each machine was first taken.
struct MachineOrdered {
  MachineId Machine_;
  fleet::PoolName From_;
};

/// What changes a cell. The cell's state is the outcome of its events in order.
using Event = std::variant<JobAccepted, RunIntended, RunEnded, JobCancelled,
                           UpkeepBegun, MachineOrdered>;

/// When a group of events was written: how long after the takeover of the
/// holder with this token, by that holder's own steady clock.
struct GroupStamp {
  FencingToken Token_;
  Duration SinceTakeover_{};
};

/// A group as it was read from the journal.
struct EventGroup {
  std::vector<Event> Events_;
  GroupStamp Stamp_;
};

} // namespace laburnumspread::jobs
