#include "cell/celltypes.h"

namespace laburnumspread::cell {

std::string_view nameOf(OrderResult Result) {
  switch (Result) {
  case OrderResult::Done:
    return "done";
  case OrderResult::Fenced:
    return "fenced";
  case OrderResult::OldRun:
    return "old_run";
  case OrderResult::TooLate:
    return "too_late";
  case OrderResult::NoRoom:
    return "no_room";
  case OrderResult::BadTicket:
    return "bad_ticket";
  case OrderResult::Malformed:
    return "malformed";
  case OrderResult::Unhealthy:
    return "unhealthy";
  case OrderResult::OtherIncarnation:
    return "other_life";
  case OrderResult::NotSent:
    return "not_sent";
  case OrderResult::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view nameOf(MachineResult Result) {
  switch (Result) {
  case MachineResult::Done:
    return "done";
  case MachineResult::Fenced:
    return "fenced";
  case MachineResult::Busy:
    return "busy";
  case MachineResult::WrongWave:
    return "wrong_wave";
  case MachineResult::Malformed:
    return "malformed";
  case MachineResult::Refused:
    return "refused";
  case MachineResult::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace laburnumspread::cell
