#include "cell/zoneevacuations.h"

#include "framework/log/log.h"

#include <algorithm>

namespace laburnumspread::cell {

void ZoneEvacuations::replaceAll(std::set<ZoneName> Zones,
                                 TimePoint RequestedAt) {
  for (const ZoneName &Zone : Zones)
    add(Zone);
  for (const ZoneName &Zone : Zones_)
    if (!Zones.contains(Zone))
      framework::log::info("zone.returned").field("zone", Zone.str());
  Zones_ = std::move(Zones);
  confirm(RequestedAt);
}

void ZoneEvacuations::add(const ZoneName &Zone) {
  if (Zones_.insert(Zone).second)
    framework::log::info("zone.evacuating").field("zone", Zone.str());
}

void ZoneEvacuations::confirm(TimePoint RequestedAt) {
  ConfirmedAt_ = std::max(ConfirmedAt_, RequestedAt);
}

bool ZoneEvacuations::current(TimePoint Now) const {
  return ObeyWithin_ == Duration::zero() ||
         Now - ConfirmedAt_ < ObeyWithin_ - StartTransitTime;
}

} // namespace laburnumspread::cell
