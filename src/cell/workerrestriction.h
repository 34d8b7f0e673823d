#pragma once

#include "framework/metrics/countsby.h"

#include <string_view>

namespace laburnumspread::cell {

/// What keeps a worker from new tasks; of several, the first in this order.
enum class WorkerRestriction {
  None,
  /// The platform's list does not contain it.
  Unlisted,
  /// Its process has exited or was restarted.
  Ended,
  /// It may execute starts that were sent to its former incarnation.
  StaleStarts,
  Draining,
  /// It does not reply, or has to be polled first (WorkerRow::suspect).
  Silent,
  /// Its availability zone is evacuated.
  EvacuatedZone,
  /// A late hold may drop ends that nobody has read (WorkerHistory).
  UnreadEnds,
  /// It did not reply to the latest orders, and is not tried yet.
  OrdersUnanswered,
  /// The journal shows runs on it, and it has not replied to this leader.
  FirstReply,
  /// An order for its machine is open.
  MachineOrder,
  /// Its machine is cordoned for upkeep.
  Cordoned,
  /// It gets one new task only, until it has replied.
  OnTrial,
};

/// Whether the worker gets new tasks.
constexpr bool allowsTasks(WorkerRestriction Item) {
  return Item == WorkerRestriction::None || Item == WorkerRestriction::OnTrial;
}

/// Name for logs and metrics.
std::string_view nameOf(WorkerRestriction Item);

/// Number of workers by their restriction.
using WorkerCounts =
    framework::metrics::CountsBy<WorkerRestriction, WorkerRestriction::OnTrial>;

} // namespace laburnumspread::cell
