#pragma once

#include "framework/http/httpserver.h"
#include "standin/faults.h"
#include "standin/vmfleet.h"
#include "standin/workledger.h"

#include <memory>
#include <string>

namespace laburnumspread::standin {

/// One endpoint: takes a request into a slot, works for the time that the body
/// asks for (`{"workMs": 20}`) and answers with the body it was sent. Stops
/// work when its lease ends or its connection closes.
class Endpoint {
public:
  Endpoint(std::string Vm, std::uint32_t Slots, Faults &Faults, VmFleet &Vms,
           WorkLedger &Ledger)
      : Vm_(std::move(Vm)), Slots_(Slots), Faults_(Faults), Vms_(Vms),
        Ledger_(Ledger) {}

  void handle(framework::http::Exchange &Call);

private:
  void execute(framework::http::Exchange &Call, const std::string &Body);
  void answer(framework::http::Exchange &Call, const std::string &Body);

  std::string Vm_;
  std::uint32_t Slots_;
  std::uint32_t Busy_ = 0;
  Faults &Faults_;
  VmFleet &Vms_;
  WorkLedger &Ledger_;
};

} // namespace laburnumspread::standin
