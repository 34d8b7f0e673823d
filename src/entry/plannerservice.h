#pragma once

#include "entry/configservice.h"
#include "entry/membershipservice.h"
#include "entry/placementservice.h"
#include "maintenance/waveplanner.h"
#include "pools/moveplanner.h"

#include <map>

namespace laburnumspread::entry {

/// Runs the wave and move planners while this entry holds the planner lease,
/// which any entry may acquire. Every store write is conditional on the lease
/// record, so a process that was paused and lost the lease changes nothing.
class PlannerService {
public:
  using Writer = config::ObjectWriter<store::EtcdStore>;

  PlannerService(boost::asio::io_context &Io, EntryState &State,
                 store::EtcdStore &Store, Writer &Write, ConfigService &Config,
                 MembershipService &Membership);

  void start();

  bool holdsLease() const { return LeaseRevision_.value() > 0; }
  /// Time spent on planning in the last tick, without I/O.
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
  /// Members whose VM has been listed by the platform, with the number of
  /// consecutive lists that lacked it since.
  std::map<MemberId, int> MissingListCounts_;
  std::int64_t LeaseId_ = 0;
  fleet::Revision LeaseRevision_;
  TimePoint LeaseRenewedAt_{};
  TimePoint LeaseAttemptedAt_{};
  /// Revision of this planner's last write. It does not plan on older state.
  fleet::Revision LastWriteRevision_;
  framework::clock::Duration LastTick_{0};
};

} // namespace laburnumspread::entry
