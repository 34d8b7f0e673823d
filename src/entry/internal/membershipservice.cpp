#include "entry/membershipservice.h"

#include "entry/viewchangeoutcome.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/log/log.h"

#include <algorithm>

namespace laburnumspread::entry {

using framework::clock::Duration;
using framework::fibers::sleepFor;
using framework::fibers::spawn;
using membership::Member;
using membership::View;
using namespace std::chrono_literals;

namespace {

constexpr Duration ViewCheckInterval = 250ms;
constexpr Duration WriteTimeout = 2s;
/// All usage rows are sent again once per this number of heartbeats.
constexpr std::uint64_t FullUsageInterval = 20;
/// Share of usage rows in the 18 KB/s budget for control traffic, counting both
/// directions.
constexpr std::size_t UsageBytesPerSecond = 5000;
constexpr std::size_t HeartbeatsPerSecond = 2;
/// Encoded size, measured for names as long as those in the examples.
constexpr std::size_t BytesPerRow = 25;
constexpr std::size_t MinUsageRows = 4;
constexpr Duration LeaveCheckInterval = 50ms;
constexpr Duration StoreOutageTolerance = 4s;
/// Peers that are not in the view are forgotten after this time without a
/// heartbeat.
constexpr Duration PeerExpiry = 60s;

std::string textOf(const MemberId &Id) {
  return Id.Name_.str() + "#" + std::to_string(Id.Incarnation_.value());
}

} // namespace

void MembershipService::start() {
  spawn([this] { heartbeatLoop(); });
  spawn([this] { viewLoop(); });
}

void MembershipService::adopt(const View &Next) {
  if (Next.Number_ < State_.View_.Number_)
    return;
  if (Next.Number_ != State_.View_.Number_)
    framework::log::info("view.adopted")
        .field("view", Next.Number_.value())
        .field("members", static_cast<std::uint64_t>(Next.Members_.size()));
  State_.View_ = Next;
  State_.Ledger_.adoptView(Next, State_.now());
  State_.Replicas_.adoptView(Next, State_.now());
}

// Heartbeats

peers::Heartbeat MembershipService::makeHeartbeat() const {
  peers::Heartbeat Beat;
  Beat.View_ = State_.View_.Number_;
  Beat.SettledThrough_ = State_.View_.SettledThrough_;
  Beat.ConfigRevision_ = State_.Config_.revision();
  if (!State_.View_.settled()) {
    Beat.StillHeld_ = State_.Ledger_.releaseStatement().StillHeld_;
    Beat.BucketsToCopy_ = State_.Replicas_.bucketsToCopy();
  }
  for (const auto &[Name, Vm] : State_.Config_.tables().Vms_) {
    if (Vm.Status_.Phase_ == fleet::VmPhase::Active && !Vm.Spec_.Drain_)
      continue;
    const auto Subject = State_.Ledger_.find(slotsSubject(Name));
    const std::uint32_t Busy = Subject ? State_.Ledger_.busyUnits(*Subject) : 0;
    if (Busy > 0)
      Beat.LeavingVms_.push_back({fleet::VmName(Name), Busy});
  }
  Beat.StoreInTouch_ = State_.Reachability_.isStoreReachable(State_.now());
  Beat.Ready_ = State_.Started_ && !State_.Leaving_;
  return Beat;
}

/// Adds as many changed usage rows as the control traffic budget allows: a row
/// for every team in every heartbeat would take 10 KB at the design size. Rows
/// of a lost heartbeat stay stale until all rows are sent again.
void MembershipService::addPoolUsage(peers::Heartbeat &Beat) {
  if (HeartbeatsSent_++ % FullUsageInterval == 0)
    State_.Usage_.markAllChanged();
  const std::size_t Peers =
      std::max<std::size_t>(1, State_.otherMembers().size());
  const std::size_t MaxRows =
      std::max(MinUsageRows, UsageBytesPerSecond /
                                 (HeartbeatsPerSecond * Peers * BytesPerRow));
  for (const auto &Row : State_.Usage_.takeChanged(MaxRows))
    Beat.PoolUsage_.push_back(
        {Row.Pool_, Row.Team_, Row.Usage_.Running_, Row.Usage_.Waiting_});
}

void MembershipService::sendHeartbeat(const MemberId &To,
                                      peers::Heartbeat Beat) const {
  if (const auto Row = State_.Peers_.find(To); Row != State_.Peers_.end())
    Beat.EchoedSentAt_ = Row->second.SentAt_;
  State_.Send_(To, Beat);
}

void MembershipService::heartbeatLoop() {
  while (!HasLeft_) {
    peers::Heartbeat Beat = makeHeartbeat();
    addPoolUsage(Beat);
    for (const Member &Peer : State_.otherMembers())
      sendHeartbeat(Peer.Id_, Beat);
    if (!State_.isMember()) {
      // Not a member yet: contact the configured seeds.
      for (const std::string &Seed : State_.Settings_.Seeds_)
        sendHeartbeat({fleet::EntryName("@" + Seed), {}}, Beat);
    }
    forgetSilentPeers();
    sleepFor(HeartbeatInterval);
  }
}

void MembershipService::handle(const peers::Sender &From,
                               const peers::Heartbeat &Beat) {
  PeerInfo &Row = State_.Peers_[From.Id_];
  if (From.SentAt_ < Row.SentAt_)
    return;
  Row.Last_ = Beat;
  Row.Address_ = From.Address_;
  Row.SentAt_ = From.SentAt_;
  Row.HeardAt_ = State_.now();
  if (framework::clock::toMicros(Beat.EchoedSentAt_) != 0)
    State_.Reachability_.recordPeerReply(From.Id_, Beat.EchoedSentAt_);
  State_.Ledger_.applyReleaseStatement({From.Id_, Beat.View_, Beat.StillHeld_});
  std::vector<sharing::FleetUsage::Row> Use;
  for (const peers::PoolUsage &Item : Beat.PoolUsage_)
    Use.push_back({Item.Pool_, Item.Team_, {Item.Running_, Item.Waiting_}});
  State_.Usage_.updatePeerRows(From.Id_, Use);
  Config_.requestNewerConfig(From.Id_, Beat);
  // Members send heartbeats only to members, so answer an entry that is about
  // to join.
  if (!State_.View_.find(From.Id_))
    sendHeartbeat(From.Id_, makeHeartbeat());
}

/// Drops silent peers that are not in the view, and their usage from the fair
/// shares.
void MembershipService::forgetSilentPeers() {
  std::erase_if(State_.Peers_, [&](const auto &Row) {
    if (State_.View_.find(Row.first) ||
        State_.now() - Row.second.HeardAt_ <= PeerExpiry)
      return false;
    State_.Usage_.removePeer(Row.first);
    return true;
  });
}

// View changes

absl::Status MembershipService::changeView(const Change &Edit) {
  if (State_.ViewRevision_.value() == 0)
    return absl::FailedPreconditionError("no view is known");
  absl::StatusOr<View> Next = Edit(State_.View_);
  if (!Next.ok())
    return Next.status();
  store::Transaction Txn;
  Txn.Compares_.push_back({Config_.viewKey(), State_.ViewRevision_});
  Txn.Puts_.push_back({Config_.viewKey(), membership::toText(*Next)});
  const auto Result = Store_.commit(Txn, State_.now() + WriteTimeout);
  // Whether the write took effect, lost to another one or its answer was lost:
  // reading the store shows the agreed view.
  Config_.poll();
  return viewChangeOutcome(Result, *Next, State_.View_);
}

absl::Status MembershipService::createInitialView() {
  View Initial;
  Initial.Number_ = Initial.SettledThrough_ = Initial.LastJoin_ =
      membership::ViewNumber(1);
  Initial.Members_.push_back(State_.Self_);
  store::Transaction Txn;
  Txn.Compares_.push_back({Config_.viewKey(), fleet::Revision(0)});
  Txn.Puts_.push_back({Config_.viewKey(), membership::toText(Initial)});
  const auto Result = Store_.commit(Txn, State_.now() + WriteTimeout);
  Config_.poll();
  return Result.status();
}

void MembershipService::joinOrReplace() {
  for (const Member &Item : State_.View_.Members_) {
    const bool SameEntry = Item.Vm_ == State_.Self_.Vm_ ||
                           Item.Id_.Name_ == State_.Self_.Id_.Name_;
    if (!SameEntry)
      continue;
    if (Item.Id_.Incarnation_ > State_.Self_.Id_.Incarnation_) {
      framework::log::warning("membership.superseded")
          .field("by", textOf(Item.Id_));
      return;
    }
    // A newer incarnation on the same VM proves that the former one has
    // stopped.
    declareStopped(Item.Id_, "replaced by a newer incarnation on its VM")
        .IgnoreError();
    return;
  }
  const absl::Status Status = changeView([this](const View &Current) {
    return membership::withJoined(Current, State_.Self_);
  });
  if (Status.ok())
    State_.Decisions_.add(
        DecisionKind::Membership, State_.Self_.Id_.Name_.str(), "joined",
        "view " + std::to_string(State_.View_.Number_.value()));
}

absl::Status MembershipService::declareStopped(const MemberId &Stopped,
                                               const std::string &Reason) {
  // Endpoints may keep running its requests until the last task lease that it
  // could have granted ends. Its units must not be reused before.
  const TimePoint Reusable = State_.now() + membership::MaxTaskLease +
                             framework::clock::ClockSkewMargin;
  const absl::Status Status = changeView([&](const View &Current) {
    return membership::withRemoved(Current, Stopped, Reusable);
  });
  if (Status.ok())
    State_.Decisions_.add(DecisionKind::Membership, Stopped.Name_.str(),
                          "removed", Reason);
  return Status;
}

std::vector<membership::MemberProgress> MembershipService::progress() const {
  std::vector<membership::MemberProgress> Result;
  Result.push_back({State_.Self_.Id_, State_.Ledger_.view(),
                    State_.Ledger_.releaseStatement().StillHeld_.size(),
                    State_.Replicas_.bucketsToCopy()});
  for (const auto &[Id, Row] : State_.Peers_)
    Result.push_back({Id, Row.Last_.View_, Row.Last_.StillHeld_.size(),
                      Row.Last_.BucketsToCopy_});
  return Result;
}

void MembershipService::settleIfDue() {
  if (State_.View_.settled() || !State_.isMember())
    return;
  // Only the first member by name that is in touch writes. If two members
  // disagree on which one that is, the compare-and-swap lets one succeed.
  for (const Member &Item : State_.View_.Members_)
    if (Item.Id_ < State_.Self_.Id_ &&
        State_.Reachability_.isPeerReachable(Item.Id_, State_.now()))
      return;
  const auto Known = progress();
  if (!membership::canSettle(State_.View_, Known, State_.now()))
    return;
  changeView([](const View &Current) -> absl::StatusOr<View> {
    return membership::asSettled(Current);
  }).IgnoreError();
}

void MembershipService::reconcileMembership() {
  if (!State_.Reachability_.isStoreReachable(State_.now()))
    return;
  if (State_.ViewRevision_.value() == 0)
    createInitialView().IgnoreError();
  else if (!State_.isMember() && !State_.Leaving_)
    joinOrReplace();
  else
    settleIfDue();
}

void MembershipService::viewLoop() {
  while (!HasLeft_) {
    reconcileMembership();
    sleepFor(ViewCheckInterval);
  }
}

void MembershipService::leave(TimePoint Deadline) {
  State_.Leaving_ = true;
  // Leaving needs the store. If it stays unreachable, the next incarnation on
  // this VM removes this one; a short outage is waited for.
  const TimePoint OutageDeadline = State_.now() + StoreOutageTolerance;
  while (State_.isMember() && State_.now() < Deadline &&
         (State_.Reachability_.isStoreReachable(State_.now()) ||
          State_.now() < OutageDeadline)) {
    const Member *Self = State_.View_.find(State_.Self_.Id_);
    if (!Self->Leaving_)
      changeView([this](const View &Current) {
        return membership::withLeaving(Current, State_.Self_.Id_);
      }).IgnoreError();
    else if (State_.View_.settled() || State_.View_.owners().empty())
      // The other members have taken over everything this entry owned.
      changeView([this](const View &Current) {
        return membership::withRemoved(Current, State_.Self_.Id_, State_.now());
      }).IgnoreError();
    sleepFor(LeaveCheckInterval);
  }
  HasLeft_ = true;
}

// Configuration rollout and draining

MembershipService::ConfigRollout
MembershipService::configRollout(fleet::Revision Wanted) const {
  ConfigRollout Result;
  for (const Member &Item : State_.View_.Members_) {
    fleet::Revision Has;
    if (Item.Id_ == State_.Self_.Id_)
      Has = State_.Config_.revision();
    else if (const auto Row = State_.Peers_.find(Item.Id_);
             Row != State_.Peers_.end())
      Has = Row->second.Last_.ConfigRevision_;
    (Has >= Wanted ? Result.Applied_ : Result.Awaited_)
        .push_back(Item.Id_.Name_.str());
  }
  return Result;
}

MembershipService::DrainState
MembershipService::drainState(const fleet::VmName &Vm,
                              fleet::Revision LeavingSince) const {
  DrainState Result;
  Result.Awaited_ = configRollout(LeavingSince).Awaited_;
  if (const auto Subject = State_.Ledger_.find(slotsSubject(Vm.str())))
    Result.Busy_ += State_.Ledger_.busyUnits(*Subject);
  for (const auto &[Id, Row] : State_.Peers_)
    for (const peers::VmUsage &Item : Row.Last_.LeavingVms_)
      if (Item.Vm_ == Vm)
        Result.Busy_ += Item.Busy_;
  return Result;
}

} // namespace laburnumspread::entry
