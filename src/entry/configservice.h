#pragma once

#include "config/objectwriter.h"
#include "entry/entrystate.h"
#include "store/etcdstore.h"

#include <functional>

namespace laburnumspread::entry {

/// Keeps this entry's configuration and membership view up to date: from a
/// store watch, from a periodic read that bounds staleness when the watch goes
/// silent, and from snapshots of peers that hold a newer revision.
class ConfigService {
public:
  using OnChanges = std::function<void(const std::vector<config::Change> &)>;
  using OnView = std::function<void(const membership::View &)>;

  ConfigService(EntryState &State, store::EtcdStore &Store)
      : State_(State), Store_(Store) {}

  void onChanges(OnChanges Listener) { OnChanges_ = std::move(Listener); }
  void onView(OnView Listener) { OnView_ = std::move(Listener); }

  /// Starts the watch fiber and the periodic read fiber.
  void start();

  /// Reads and applies what has changed in the store. Returns false if the
  /// store did not answer or if its revision is rejected.
  bool poll();

  /// Applies stored values from the watch, the periodic read or a peer. They
  /// are complete up to revision \p Through.
  void applyItems(const std::vector<store::KeyValue> &Items,
                  fleet::Revision Through);

  /// Requests a snapshot from \p Peer if its heartbeat reports a newer
  /// configuration or view.
  void requestNewerConfig(const MemberId &Peer, const peers::Heartbeat &Beat);
  void handle(const peers::Sender &From, const peers::SnapshotRequest &Request);
  void handle(const peers::Sender &From, const peers::Snapshot &Snapshot);

  std::string viewKey() const;
  std::string plannerKey() const;

private:
  void pollLoop();
  void watchLoop();
  void applyView(const store::KeyValue &Item);
  bool rejectsStoreRevision(fleet::Revision StoreRevision);

  EntryState &State_;
  store::EtcdStore &Store_;
  OnChanges OnChanges_;
  OnView OnView_;
  store::KeyValue ViewItem_;
  TimePoint SnapshotRequestedAt_{};
};

} // namespace laburnumspread::entry
