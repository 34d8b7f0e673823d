#pragma once

#include "cell/celltypes.h"

#include <set>

namespace laburnumspread::cell {

/// Availability zones that the operator has evacuated, as this entry knows
/// them. No task is started in such a zone; what runs there continues.
///
/// An entry that misses a change, because it is paused, cut off, or its watch
/// is silent, would go on starting tasks there. Starts are therefore sent only
/// while the knowledge is current: a store answer requested after a change
/// shows it, so an answer requested less than the maximum age ago leaves out
/// only changes that the operator may still wait for.
class ZoneEvacuations {
public:
  /// \p ObeyWithin is the operator's bound for obeying an evacuation; zero if
  /// there is none, and knowledge of any age is then current.
  explicit ZoneEvacuations(Duration ObeyWithin = {})
      : ObeyWithin_(ObeyWithin) {}

  void setBound(Duration ObeyWithin) { ObeyWithin_ = ObeyWithin; }

  /// Replaces all zones by those of a full read that was requested at
  /// \p RequestedAt.
  void replaceAll(std::set<ZoneName> Zones, TimePoint RequestedAt);
  /// Adds a zone that the operator has evacuated since the last read.
  void add(const ZoneName &Zone);
  /// Records that the store has reported all changes up to \p RequestedAt.
  void confirm(TimePoint RequestedAt);

  bool contains(const ZoneName &Zone) const { return Zones_.contains(Zone); }
  const std::set<ZoneName> &zones() const { return Zones_; }
  /// Whether tasks may be started in the zones that are not evacuated.
  bool current(TimePoint Now) const;

private:
  /// Part of the bound that is left for a change to reach a start that is
  /// being sent: workers are given StartTransitTime to receive one.
  static constexpr Duration StartTransitTime = std::chrono::milliseconds(1500);

  Duration ObeyWithin_;
  std::set<ZoneName> Zones_;
  TimePoint ConfirmedAt_{};
};

} // namespace laburnumspread::cell
