#pragma once

#include "entry/configservice.h"
#include "entry/entrystate.h"

#include <functional>
#include <map>

namespace laburnumspread::entry {

/// Interval between heartbeats to each peer.
constexpr framework::clock::Duration HeartbeatInterval =
    std::chrono::milliseconds(500);

/// Adds this entry to the membership view and removes it, settles view changes,
/// and exchanges heartbeats.
class MembershipService {
public:
  MembershipService(EntryState &State, store::EtcdStore &Store,
                    ConfigService &Config)
      : State_(State), Store_(Store), Config_(Config) {}

  /// Starts the heartbeat fiber and the view fiber.
  void start();

  /// Switches to a view that has been read from the store or a peer.
  void adopt(const membership::View &Next);

  void handle(const peers::Sender &From, const peers::Heartbeat &Beat);

  /// Leaves the fleet permanently: marks this entry as leaving, waits until the
  /// other entries have taken over its units and records or until \p Deadline,
  /// then removes it from the view.
  void leave(TimePoint Deadline);

  /// Removes a member whose VM has stopped, as reported by an operator or the
  /// platform. \p Reason is recorded in the decision log. Returns
  /// FailedPrecondition if no view is known, NotFound if \p Stopped is not a
  /// member, or the error of viewChangeOutcome().
  absl::Status declareStopped(const MemberId &Stopped,
                              const std::string &Reason);

  /// Entries that have applied a configuration revision, and those that have
  /// not.
  struct ConfigRollout {
    std::vector<std::string> Applied_;
    std::vector<std::string> Awaited_;
  };
  ConfigRollout configRollout(fleet::Revision Wanted) const;

  /// Progress of draining a VM: slots still in use, and members that have not
  /// applied the revision under which the VM is leaving.
  struct DrainState {
    std::uint32_t Busy_ = 0;
    std::vector<std::string> Awaited_;
    bool drained() const { return Busy_ == 0 && Awaited_.empty(); }
  };
  DrainState drainState(const fleet::VmName &Vm,
                        fleet::Revision LeavingSince) const;

private:
  using Change =
      std::function<absl::StatusOr<membership::View>(const membership::View &)>;

  void heartbeatLoop();
  void forgetSilentPeers();
  void viewLoop();
  void reconcileMembership();
  absl::Status changeView(const Change &Edit);
  absl::Status createInitialView();
  void joinOrReplace();
  void settleIfDue();
  /// The part of a heartbeat that is equal for all peers; sendHeartbeat() adds
  /// the echoed time.
  peers::Heartbeat makeHeartbeat() const;
  void addPoolUsage(peers::Heartbeat &Beat);
  void sendHeartbeat(const MemberId &To, peers::Heartbeat Beat) const;
  std::vector<membership::MemberProgress> progress() const;

  EntryState &State_;
  store::EtcdStore &Store_;
  ConfigService &Config_;
  std::uint64_t HeartbeatsSent_ = 0;
  bool HasLeft_ = false;
};

} // namespace laburnumspread::entry
