#include "cell/workerrestriction.h"

namespace laburnumspread::cell {

std::string_view nameOf(WorkerRestriction Item) {
  switch (Item) {
  case WorkerRestriction::None:
    return "usable";
  case WorkerRestriction::Unlisted:
    return "unlisted";
  case WorkerRestriction::Ended:
    return "ended";
  case WorkerRestriction::StaleStarts:
    return "stale_starts";
  case WorkerRestriction::Draining:
    return "draining";
  case WorkerRestriction::Silent:
    return "silent";
  case WorkerRestriction::EvacuatedZone:
    return "evacuated_zone";
  case WorkerRestriction::UnreadEnds:
    return "unread_ends";
  case WorkerRestriction::OrdersUnanswered:
    return "orders_unanswered";
  case WorkerRestriction::FirstReply:
    return "first_reply";
  case WorkerRestriction::MachineOrder:
    return "machine_order";
  case WorkerRestriction::Cordoned:
    return "cordoned";
  case WorkerRestriction::OnTrial:
    return "on_trial";
  }
  return "unknown";
}

} // namespace laburnumspread::cell
