#pragma once

#include "config/changelog.h"
#include "config/configtable.h"
#include "entry/decisionlog.h"
#include "entry/entrysettings.h"
#include "framework/metrics/metrics.h"
#include "idempotency/replicatable.h"
#include "limits/unitledger.h"
#include "membership/reachability.h"
#include "membership/viewchanges.h"
#include "peers/messages.h"
#include "routing/endpointtable.h"
#include "routing/runtimeestimates.h"
#include "sharing/fleetusage.h"

#include <functional>
#include <unordered_map>

namespace laburnumspread::entry {

using membership::MemberId;

/// Last heartbeat received from a peer.
struct PeerInfo {
  peers::Heartbeat Last_;
  std::string Address_;
  /// Sending time by the peer's clock. Heartbeats that arrive out of order are
  /// ignored.
  TimePoint SentAt_{};
  TimePoint HeardAt_{};
};

/// Ledger subjects of a team's limit and of an endpoint's slots.
limits::SubjectName teamSubject(std::string_view Team);
limits::SubjectName slotsSubject(std::string_view Vm);

/// The tables of one entry, shared by its services. All services run on one
/// thread, and each table is modified by only one of them.
struct EntryState {
  EntryState(EntrySettings Settings, membership::Member Self)
      : Settings_(std::move(Settings)), Self_(std::move(Self)),
        Config_(Settings_.StorePrefix_), Ledger_(Self_.Id_),
        Replicas_(Self_.Id_) {}

  EntrySettings Settings_;
  membership::Member Self_;
  config::ConfigTable Config_;
  config::ChangeLog Changes_;
  membership::View View_;
  /// Store revision of the write that produced View_.
  fleet::Revision ViewRevision_;
  membership::ReachabilityTracker Reachability_;
  limits::UnitLedger Ledger_;
  idempotency::ReplicaTable Replicas_;
  routing::EndpointTable Endpoints_;
  routing::RunTimeEstimates Estimates_;
  sharing::FleetUsage Usage_;
  std::unordered_map<MemberId, PeerInfo> Peers_;
  DecisionLog Decisions_;
  framework::metrics::Registry Metrics_;
  /// Whether some entry holds the planner lease, according to the watch.
  bool PlannerLeaseSeen_ = false;
  bool Started_ = false;
  bool Leaving_ = false;

  TimePoint now() const { return framework::clock::SystemClock().now(); }
  bool isMember() const { return View_.find(Self_.Id_) != nullptr; }
  bool fenced() const { return Reachability_.fenced(View_, Self_.Id_, now()); }

  /// Members of the view other than this entry.
  std::vector<membership::Member> otherMembers() const;

  /// Sends a message to a peer. Set by the app once the peer mesh is listening.
  std::function<void(const MemberId &, const peers::Message &)> Send_;
};

} // namespace laburnumspread::entry
