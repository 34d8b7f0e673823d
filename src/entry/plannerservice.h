#pragma once

#include "entry/configservice.h"
#include "entry/membershipservice.h"
#include "entry/placementservice.h"
#include "maintenance/waveplanner.h"
#include "pools/moveplanner.h"

#include <map>

namespace laburnumspread::entry {

/// Runs the planners while this entry holds the planner lease. Any entry may;
/// every write is guarded by the lease's record, so that one that was paused
/// and has lost the lease changes nothing when it wakes.
class PlannerService {
public:
  using Writer = config::ObjectWriter<store::EtcdStore>;

  PlannerService(boost::asio::io_context &Io, EntryState &State,
                 store::EtcdStore &Store, Writer &Write, ConfigService &Config,
                 MembershipService &Membership);

  void start();

  bool holdsLease() const { return LeaseRevision_.value() > 0; }
  /// Duration of the last tick's decisions, without I/O.
  framework::clock::Duration lastTick() const { return LastTick_; }

private:
  void loop();
  void tick();
  bool refreshLease();
  bool acquireLease();
  void onLeaseLost();
  void applyVm(const maintenance::VmAction &Step);
  void applyWave(const maintenance::WaveUpdate &Step);
  void applyMove(const pools::Move &Step);
  void removeEntriesOfDeletedVms();
  void probe(const std::string &Vm);
  void probeVmsOnProbation();
  template <typename T>
  absl::Status
  write(const std::string &Name,
        const std::function<absl::Status(std::optional<T> &)> &Edit);
  DecisionKind decisionOf(maintenance::ActionKind Kind) const;

  boost::asio::io_context &Io_;
  EntryState &State_;
  store::EtcdStore &Store_;
  Writer &Writer_;
  ConfigService &Config_;
  MembershipService &Membership_;
  maintenance::HttpVmDirectory Directory_;
  pools::MovePlanner Moves_;
  std::map<std::string, maintenance::ProbeState> Probes_;
  std::map<std::string, TimePoint> RebootRequestedAt_;
  /// Members whose VM was on the list once, and in how many lists in a row it
  /// has been missing since.
  std::map<MemberId, int> MissingListCounts_;
  std::int64_t Lease_ = 0;
  fleet::Revision LeaseRevision_;
  TimePoint LeaseRenewedAt_{};
  TimePoint LeaseAttemptedAt_{};
  /// Revision of this planner's last write: it decides nothing on an older
  /// state.
  fleet::Revision LastWriteRevision_;
  framework::clock::Duration LastTick_{0};
};

} // namespace laburnumspread::entry
