#pragma once

#include "entry/configservice.h"
#include "entry/entrystate.h"

#include <functional>
#include <map>

namespace laburnumspread::entry {

/// Time between two heartbeats to each peer.
constexpr framework::clock::Duration HeartbeatInterval =
    std::chrono::milliseconds(500);

/// Brings this entry into the view and out of it, settles views, and exchanges
/// heartbeats.
class MembershipService {
public:
  MembershipService(EntryState &State, store::EtcdStore &Store,
                    ConfigService &Config)
      : State_(State), Store_(Store), Config_(Config) {}

  /// Starts the fibers of heartbeats and of changes to the view.
  void start();

  /// Takes a view that has come into force.
  void adopt(const membership::View &Next);

  void handle(const peers::Sender &From, const peers::Heartbeat &Beat);

  /// Leaves for good: hands everything over, waits until the others have it or
  /// \p Deadline, then takes this entry out of the view.
  void leave(TimePoint Deadline);

  /// Declares that a member's VM has stopped, on an operator's or the
  /// platform's word. \p Why is shown in the decisions.
  absl::Status declareStopped(const MemberId &Gone, const std::string &Why);

  /// Entries that have a revision in force, and those still awaited.
  struct ConfigRollout {
    std::vector<std::string> Applied_;
    std::vector<std::string> Awaited_;
  };
  ConfigRollout configRollout(fleet::Revision Wanted) const;

  /// Whether every member has the revision in force and reports no use of the
  /// VM's slots under it.
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
  absl::Status changeView(const Change &Make);
  absl::Status createInitialView();
  void joinOrReplace();
  void settleIfDue();
  /// What all peers are told; only the echo differs.
  peers::Heartbeat makeHeartbeat() const;
  void addPoolUsage(peers::Heartbeat &Into);
  void sendHeartbeat(const MemberId &To, peers::Heartbeat Beat) const;
  std::vector<membership::MemberProgress> progress() const;

  EntryState &State_;
  store::EtcdStore &Store_;
  ConfigService &Config_;
  std::uint64_t HeartbeatsSent_ = 0;
  bool HasLeft_ = false;
};

} // namespace laburnumspread::entry
