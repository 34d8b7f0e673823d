#include "entry/configservice.h"

#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/log/log.h"

#include <random>

namespace laburnumspread::entry {

using framework::clock::Duration;
using framework::fibers::sleepFor;
using framework::fibers::spawn;
using namespace std::chrono_literals;

namespace {

/// Bounds how long a silent watch can hide the withdrawal of a key.
constexpr Duration PollInterval = 1s;
constexpr Duration PollTimeout = 900ms;
constexpr Duration InitialWatchBackoff = 100ms;
constexpr Duration MaxWatchBackoff = 5s;
constexpr Duration SnapshotRequestInterval = 200ms;

/// Between half and all of \p Backoff, so that entries that lost the store at
/// the same time do not reconnect at the same time.
Duration jittered(Duration Backoff) {
  static std::mt19937_64 Random(std::random_device{}());
  return Backoff / 2 + Duration(Random() % (Backoff.count() / 2 + 1));
}

} // namespace

std::string ConfigService::viewKey() const {
  return State_.Settings_.StorePrefix_ + "agreed/view";
}

std::string ConfigService::plannerKey() const {
  return State_.Settings_.StorePrefix_ + "agreed/planner";
}

void ConfigService::start() {
  spawn([this] { pollLoop(); });
  spawn([this] { watchLoop(); });
}

bool ConfigService::rejectsStoreRevision(fleet::Revision StoreRevision) {
  const bool WasRejected = State_.Config_.storeRolledBack();
  if (!State_.Config_.detectStoreRollback(StoreRevision))
    return false;
  if (!WasRejected) {
    framework::log::error("store.went_back")
        .field("store_revision", StoreRevision.value())
        .field("revision_in_force", State_.Config_.revision().value());
    State_.Decisions_.add(
        DecisionKind::Store, "store", "store-went-back",
        "the store answered with revision " +
            std::to_string(StoreRevision.value()) + " after " +
            std::to_string(State_.Config_.revision().value()) +
            "; its data is ignored until this entry is restarted");
  }
  return true;
}

bool ConfigService::poll() {
  const TimePoint SentAt = State_.now();
  const fleet::Revision Known = State_.Config_.revision();
  const fleet::Revision Since = Known.value() == 0 ? Known : Known.next();
  const absl::StatusOr<store::RangeResult> Read =
      Store_.range(State_.Settings_.StorePrefix_, Since, SentAt + PollTimeout);
  if (!Read.ok() || rejectsStoreRevision(Read->StoreRevision_))
    return false;
  State_.Reachability_.recordStoreReply(SentAt);
  applyItems(Read->Items_, Read->StoreRevision_);
  return true;
}

void ConfigService::pollLoop() {
  while (true) {
    poll();
    sleepFor(PollInterval);
  }
}

void ConfigService::watchLoop() {
  Duration Backoff = InitialWatchBackoff;
  while (true) {
    const fleet::Revision From = State_.Config_.revision().next();
    bool ReceivedBatch = false;
    const absl::Status Ended =
        Store_.watch(State_.Settings_.StorePrefix_, From,
                     [&](const store::WatchBatch &Batch) {
                       if (rejectsStoreRevision(Batch.StoreRevision_))
                         return false;
                       ReceivedBatch = true;
                       applyItems(Batch.Puts_, Batch.StoreRevision_);
                       for (const std::string &Key : Batch.Deletes_)
                         if (Key == plannerKey())
                           State_.PlannerLeaseSeen_ = false;
                       return true;
                     });
    State_.Metrics_.counter("store_watch_ended_total").add();
    // Not an error when the history was compacted: the periodic read delivers
    // the changes that the watch can no longer send.
    framework::log::debug("store.watch_ended")
        .field("reason", std::string(Ended.message()));
    Backoff = ReceivedBatch ? InitialWatchBackoff
                            : std::min(2 * Backoff, MaxWatchBackoff);
    sleepFor(jittered(Backoff));
  }
}

void ConfigService::applyItems(const std::vector<store::KeyValue> &Items,
                               fleet::Revision Through) {
  const auto Changes = State_.Config_.apply(Items, Through);
  if (!Changes.empty() && OnChanges_)
    OnChanges_(Changes);
  State_.Changes_.add(Changes, State_.Config_.revision());
  const std::string Key = viewKey();
  for (const store::KeyValue &Item : Items) {
    if (Item.Key_ == Key)
      applyView(Item);
    if (Item.Key_ == plannerKey())
      State_.PlannerLeaseSeen_ = true;
  }
}

void ConfigService::applyView(const store::KeyValue &Item) {
  if (Item.ModRevision_ <= State_.ViewRevision_)
    return;
  const absl::StatusOr<membership::View> Read =
      membership::parseView(Item.Value_);
  if (!Read.ok()) {
    framework::log::error("view.unreadable")
        .field("reason", std::string(Read.status().message()));
    return;
  }
  State_.ViewRevision_ = Item.ModRevision_;
  ViewItem_ = Item;
  if (OnView_)
    OnView_(*Read);
}

void ConfigService::requestNewerConfig(const MemberId &Peer,
                                       const peers::Heartbeat &Beat) {
  const bool Newer = Beat.ConfigRevision_ > State_.Config_.revision() ||
                     Beat.View_ > State_.View_.Number_;
  if (!Newer || State_.now() - SnapshotRequestedAt_ < SnapshotRequestInterval)
    return;
  SnapshotRequestedAt_ = State_.now();
  State_.Send_(Peer, peers::SnapshotRequest{State_.Config_.revision()});
}

void ConfigService::handle(const peers::Sender &From,
                           const peers::SnapshotRequest &Request) {
  peers::Snapshot Snapshot;
  Snapshot.Items_ = State_.Config_.itemsSince(Request.Since_);
  Snapshot.Through_ = State_.Config_.revision();
  if (!ViewItem_.Key_.empty())
    Snapshot.Items_.push_back(ViewItem_);
  State_.Send_(From.Id_, Snapshot);
}

void ConfigService::handle(const peers::Sender &,
                           const peers::Snapshot &Snapshot) {
  applyItems(Snapshot.Items_, Snapshot.Through_);
}

} // namespace laburnumspread::entry
