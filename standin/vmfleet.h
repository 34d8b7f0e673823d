#pragma once

#include "framework/clock/clock.h"
#include "standin/faults.h"

#include <deque>
#include <map>
#include <string>

namespace laburnumspread::standin {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// State of a VM.
struct VmRow {
  /// "live", "leaving" or "gone".
  std::string State_ = "live";
  std::uint64_t Boots_ = 1;
  TimePoint RebootedAt_{};
  bool Rebooting_ = false;
  std::uint64_t Reboots_ = 0;
  /// List version of the last change.
  std::int64_t ChangedAt_ = 0;

  std::string bootId(const std::string &Name) const {
    return Name + "-boot-" + std::to_string(Boots_);
  }
};

/// VMs of the platform: their current state, and the VM list, which lags behind
/// it by Faults::ListLagMs_.
class VmFleet {
public:
  VmFleet(Faults &Faults, Duration RebootTime)
      : Faults_(Faults), RebootTime_(RebootTime) {}

  void add(const std::string &Name, TimePoint Now);
  /// Returns false if the VM does not exist.
  bool setState(const std::string &Name, const std::string &State,
                TimePoint Now);
  /// Starts a reboot if the VM's boot ID is \p IfBootId. A repeated call for a
  /// past boot has no effect. Returns false if the VM does not exist.
  bool reboot(const std::string &Name, const std::string &IfBootId,
              TimePoint Now);
  /// Completes reboots that were started at least the reboot time ago.
  void tick(TimePoint Now);

  /// Whether the VM exists, is not rebooting and is not gone.
  bool running(const std::string &Name) const;
  /// Current state of all VMs.
  const std::map<std::string, VmRow> &rows() const { return Rows_; }
  /// The VM list at \p Now: the state as it was Faults::ListLagMs_ earlier.
  const std::map<std::string, VmRow> &listedRows(TimePoint Now);

private:
  struct Snapshot {
    TimePoint TakenAt_;
    std::map<std::string, VmRow> Rows_;
  };
  void recordChange(TimePoint Now, const std::string &Name);

  Faults &Faults_;
  Duration RebootTime_;
  std::map<std::string, VmRow> Rows_;
  std::deque<Snapshot> Snapshots_;
  std::int64_t Version_ = 0;
};

} // namespace laburnumspread::standin
