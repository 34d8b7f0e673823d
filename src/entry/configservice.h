#pragma once

#include "config/objectwriter.h"
#include "entry/entrystate.h"
#include "store/etcdstore.h"

#include <functional>

namespace laburnumspread::entry {

/// Keeps the configuration and the view in force: by one watch, by a periodic
/// read that bounds how stale a silent watch can leave them, and from peers
/// that know more.
class ConfigService {
public:
  using OnChanges = std::function<void(const std::vector<config::Change> &)>;
  using OnView = std::function<void(const membership::View &)>;

  ConfigService(EntryState &State, store::EtcdStore &Store)
      : State_(State), Store_(Store) {}

  void onChanges(OnChanges Listener) { OnChanges_ = std::move(Listener); }
  void onView(OnView Listener) { OnView_ = std::move(Listener); }

  /// Starts the fibers of the watch and the periodic read.
  void start();

  /// Takes what is in the store now. Returns whether the store answered.
  bool poll();

  /// Takes values from any source.
  void applyItems(const std::vector<store::KeyValue> &Items,
                  fleet::Revision Through);

  /// A peer knows a later revision: asks it for the difference.
  void requestNewerConfig(const MemberId &Peer, const peers::Heartbeat &Beat);
  void handle(const peers::Sender &From, const peers::SnapshotRequest &Asked);
  void handle(const peers::Sender &From, const peers::Snapshot &Part);

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
