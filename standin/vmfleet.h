#pragma once

#include "framework/clock/clock.h"
#include "standin/faults.h"

#include <deque>
#include <map>
#include <string>

namespace laburnumspread::standin {

using framework::clock::Duration;
using framework::clock::TimePoint;

struct VmRow {
  /// "live", "leaving" or "gone".
  std::string State_ = "live";
  std::uint64_t Boots_ = 1;
  TimePoint RebootedAt_{};
  bool Rebooting_ = false;
  std::uint64_t Reboots_ = 0;
  /// Version of the list in which the row last changed.
  std::int64_t ChangedAt_ = 0;

  std::string bootId(const std::string &Name) const {
    return Name + "-boot-" + std::to_string(Boots_);
  }
};

/// The platform's VMs: the true state, and the list that lags behind it.
class VmFleet {
public:
  VmFleet(Faults &Faults, Duration RebootTime)
      : Faults_(Faults), RebootTime_(RebootTime) {}

  void add(const std::string &Name, TimePoint Now);
  /// False when there is no such VM.
  bool setState(const std::string &Name, const std::string &State,
                TimePoint Now);
  /// Starts a reboot if the VM's boot is still \p IfBootId; a repeated call
  /// for a boot that is over changes nothing.
  bool reboot(const std::string &Name, const std::string &IfBootId,
              TimePoint Now);
  /// Ends reboots whose time has come.
  void tick(TimePoint Now);

  bool running(const std::string &Name) const;
  const std::map<std::string, VmRow> &rows() const { return Rows_; }
  /// The list as it was a lag ago.
  const std::map<std::string, VmRow> &listedRows(TimePoint Now);

private:
  struct Snapshot {
    TimePoint TakenAt_;
    std::map<std::string, VmRow> Rows_;
  };
  void recordChange(TimePoint Now, const std::string &Changed);

  Faults &Faults_;
  Duration RebootTime_;
  std::map<std::string, VmRow> Rows_;
  std::deque<Snapshot> Snapshots_;
  std::int64_t Version_ = 0;
};

} // namespace laburnumspread::standin
