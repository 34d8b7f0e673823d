#pragma once

#include "framework/http/httpserver.h"
#include "standin/faults.h"
#include "standin/vmfleet.h"
#include "standin/workledger.h"

#include <memory>
#include <string>

namespace laburnumspread::standin {

/// Simulated endpoint. A request occupies a slot for the duration given in its
/// body (`{"workMs": 20}`, in milliseconds), and the response echoes the body.
/// Work stops when the task lease ends or the connection closes.
class Endpoint {
public:
  Endpoint(std::string Vm, std::uint32_t Slots, Faults &Faults, VmFleet &Vms,
           WorkLedger &Ledger)
      : Vm_(std::move(Vm)), Slots_(Slots), Faults_(Faults), Vms_(Vms),
        Ledger_(Ledger) {}

  /// Serves a request. Refuses it with status 503 if all slots are busy or its
  /// task lease has ended, and drops the connection if the VM is down.
  void handle(framework::http::Exchange &Call);

private:
  void execute(framework::http::Exchange &Call, const std::string &Body);
  void answer(framework::http::Exchange &Call, const std::string &Body);

  std::string Vm_;
  std::uint32_t Slots_;
  std::uint32_t BusySlots_ = 0;
  Faults &Faults_;
  VmFleet &Vms_;
  WorkLedger &Ledger_;
};

} // namespace laburnumspread::standin
