#pragma once

#include "cell/listreads.h"
#include "cell/machinemanager.h"

#include <algorithm>
#include <limits>
#include <map>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace laburnumspread::cell {

/// Prefix of the keys under which the platform lists workers, and the parser
/// for an item.
struct WorkerDirectory {
  std::string Prefix_;
  /// Returns nullopt if the item does not describe a usable worker.
  std::function<std::optional<WorkerRecord>(const store::KeyValue &)> Read_;
};

/// Follows the platform's worker list for one term: opens a session for each
/// new worker, and ends the incarnations that newer ones replace.
template <store::KeyValueStore Store, WorkerClient Client,
          MachineService Service>
class WorkerFollower {
public:
  using TermPtr = std::shared_ptr<Term<Store>>;
  using SessionsPtr = std::shared_ptr<WorkerSessions<Store, Client>>;
  using MachinesPtr = std::shared_ptr<MachineManager<Store, Client, Service>>;

  static constexpr Duration RetryPause = std::chrono::milliseconds(100);
  static constexpr Duration ListTimeout = std::chrono::milliseconds(1500);
  /// Time without a read or an answer of the watch after which the list counts
  /// as lost. A new store, or one that is slow, takes less.
  static constexpr Duration LongestUnread = std::chrono::seconds(3);
  /// Number of workers of a full list that are taken in at a time. After each
  /// batch the other fibers run: a new leader opens a connection to each
  /// worker, and with thousands of them at once its renewals would wait for
  /// longer than its lease lasts, and the next leader would fare the same.
  static constexpr std::size_t ListBatch = 32;
  static constexpr Duration BatchPause = std::chrono::milliseconds(1);

  WorkerFollower(Store &S, WorkerDirectory Where, TermPtr T,
                 SessionsPtr Sessions, MachinesPtr M)
      : Store_(S), Directory_(std::move(Where)), Term_(std::move(T)),
        Sessions_(std::move(Sessions)), Machines_(std::move(M)),
        Reads_("workers", LongestUnread, Term_->Metrics_, now()) {}

  /// Reads and watches the list until the term ends.
  void follow() {
    const TermPtr T = Term_;
    while (!T->ended()) {
      const auto Read =
          Store_.range(Directory_.Prefix_, fleet::Revision(0),
                       framework::clock::wallDeadline(ListTimeout));
      if (T->ended())
        return;
      if (!Read.ok()) {
        Reads_.recordFailure(Read.status(), now());
        framework::fibers::sleepFor(RetryPause);
        continue;
      }
      Reads_.recordRead(now());
      applyFullList(*T, Read->Items_);
      T->WorkersSeenAt_ = now();
      const absl::Status Ended =
          Store_.watch(Directory_.Prefix_, Read->StoreRevision_.next(),
                       [&](const store::WatchBatch &Batch) {
                         if (T->ended())
                           return false;
                         T->WorkersSeenAt_ = now();
                         Reads_.recordRead(now());
                         for (const store::KeyValue &Item : Batch.Puts_)
                           recordEntry(*T, Item);
                         for (const std::string &Key : Batch.Deletes_)
                           recordDeletion(*T, Key);
                         return true;
                       });
      if (!Ended.ok())
        framework::fibers::sleepFor(RetryPause);
    }
  }

  /// Takes in the listed workers whose pool the term's configuration has now.
  void takeInConfiguredWorkers() {
    std::vector<WorkerRecord> Configured;
    std::erase_if(OfUnknownPools_, [&](const auto &Listed) {
      const auto Record = Directory_.Read_(Listed.second);
      const bool Usable = Record && namesWorkerToUse(*Term_, *Record);
      if (Usable)
        Configured.push_back(*Record);
      return Usable;
    });
    for (const WorkerRecord &Record : Configured)
      recordWorker(*Term_, Record);
  }

private:
  static TimePoint now() { return Term<Store>::now(); }

  void applyFullList(Term<Store> &T, std::vector<store::KeyValue> Items) {
    moveWorkersInUseToFront(T, Items);
    OfUnknownPools_.clear();
    std::set<WorkerIncarnation> Listed;
    for (std::size_t I = 0; I < Items.size(); ++I) {
      if (I % ListBatch == ListBatch - 1)
        framework::fibers::sleepFor(BatchPause);
      if (T.ended())
        return;
      if (const auto Incarnation = recordEntry(T, Items[I]))
        Listed.insert(*Incarnation);
    }
    for (const auto &[Incarnation, Row] : T.Workers_)
      if (!Listed.contains(Incarnation))
        Row->Listed_ = false;
  }

  WorkerId idOf(const std::string &Key) const {
    return WorkerId(std::string_view(Key).substr(Directory_.Prefix_.size()));
  }

  /// Workers with runs come first: their leases are to be renewed, and ended
  /// runs make room for others.
  void moveWorkersInUseToFront(const Term<Store> &T,
                               std::vector<store::KeyValue> &Items) const {
    absl::flat_hash_set<WorkerId> InUse;
    for (const auto &[Incarnation, Use] : T.Table_.workers())
      InUse.insert(Incarnation.Id_);
    std::stable_partition(Items.begin(), Items.end(),
                          [&](const store::KeyValue &Item) {
                            return InUse.contains(idOf(Item.Key_));
                          });
  }

  /// Records the worker that an item names. An item that names none is another
  /// writer's: a worker that had the key gets no new task until it has written
  /// its own item again, as after a full list.
  std::optional<WorkerIncarnation> recordEntry(Term<Store> &T,
                                               const store::KeyValue &Item) {
    const auto Record = Directory_.Read_(Item);
    OfUnknownPools_.erase(Item.Key_);
    if (Record && namesWorkerToUse(T, *Record))
      return recordWorker(T, *Record);
    if (Record)
      OfUnknownPools_.insert({Item.Key_, Item});
    T.Metrics_
        .counter(Record ? "worker_entries_of_unknown_pools_total"
                        : "worker_entries_unreadable_total")
        .add();
    markUnlisted(T, Item.Key_);
    return std::nullopt;
  }

  /// Whether the item names a worker of a pool of the configuration, or one
  /// that was in use when its pool was removed. Without this check, the item of
  /// another writer on a worker's machine ended that worker, and its tasks ran
  /// a second time elsewhere.
  static bool namesWorkerToUse(const Term<Store> &T,
                               const WorkerRecord &Record) {
    if (T.Config_.Pools_.contains(Record.Pool_))
      return true;
    const auto Known = T.Workers_.find(Record.Incarnation_);
    if (Known != T.Workers_.end())
      return Known->second->Record_.Pool_ == Record.Pool_;
    return T.Table_.usageOf(Record.Incarnation_) != nullptr;
  }

  std::optional<WorkerIncarnation> recordWorker(Term<Store> &T,
                                                const WorkerRecord &Record) {
    if (T.EndedIncarnations_.contains(Record.Incarnation_))
      return std::nullopt;
    const auto Known = T.Workers_.find(Record.Incarnation_);
    if (Known != T.Workers_.end()) {
      if (Record.Draining_ != Known->second->Record_.Draining_)
        framework::log::info("worker.changed")
            .field("worker", Record.Incarnation_.Id_.str())
            .field("draining", Record.Draining_ ? "yes" : "no");
      Known->second->Record_ = Record;
      Known->second->Listed_ = true;
    } else {
      addWorker(T, Record);
    }
    Machines_->recordWorker(Record);
    T.Commits_.wake();
    return Record.Incarnation_;
  }

  /// Returns the workers that a newly listed one replaces: a worker is one
  /// incarnation on one machine, and an id belongs to one incarnation at a
  /// time.
  std::vector<WorkerRowPtr> replacedBy(const Term<Store> &T,
                                       const WorkerRecord &Record) {
    std::vector<WorkerRowPtr> Replaced;
    const WorkerIncarnation &New = Record.Incarnation_;
    forEachIncarnation(T, New.Id_, [&](const WorkerRowPtr &Row) {
      if (Row->Record_.Incarnation_.StartedMs_ < New.StartedMs_)
        Replaced.push_back(Row);
    });
    const auto Former = OnMachine_.find(Record.Machine_);
    if (Former == OnMachine_.end())
      return Replaced;
    std::erase_if(Former->second, [&](const WorkerIncarnation &Item) {
      const auto Found = T.Workers_.find(Item);
      if (Found != T.Workers_.end() && Item.StartedMs_ >= New.StartedMs_)
        return false;
      if (Found != T.Workers_.end() && Item.Id_ != New.Id_)
        Replaced.push_back(Found->second);
      return true;
    });
    return Replaced;
  }

  template <typename Fn>
  static void forEachIncarnation(const Term<Store> &T, const WorkerId &Id,
                                 Fn &&Visit) {
    constexpr auto Earliest = std::numeric_limits<std::int64_t>::min();
    for (auto At = T.Workers_.lower_bound({Id, Earliest});
         At != T.Workers_.end() && At->first.Id_ == Id; ++At)
      Visit(At->second);
  }

  void addWorker(Term<Store> &T, const WorkerRecord &Record) {
    const std::vector<WorkerRowPtr> Replaced = replacedBy(T, Record);
    auto Row = std::make_shared<WorkerRow>();
    Row->Record_ = Record;
    Row->ClockAt_ = now();
    Row->ListedAt_ = now();
    T.Workers_[Record.Incarnation_] = Row;
    if (!Record.Machine_.empty())
      OnMachine_[Record.Machine_].push_back(Record.Incarnation_);
    framework::log::info("worker.listed")
        .field("worker", Record.Incarnation_.Id_.str())
        .field("born_ms", Record.Incarnation_.StartedMs_)
        .field("pool", Record.Pool_.str());
    Sessions_->add(Row);
    for (const WorkerRowPtr &Old : Replaced)
      Sessions_->endIncarnation(*Old, "a newer incarnation is listed",
                                Old->Record_.Incarnation_.Id_ ==
                                    Record.Incarnation_.Id_);
  }

  void recordDeletion(Term<Store> &T, const std::string &Key) {
    OfUnknownPools_.erase(Key);
    markUnlisted(T, Key);
  }

  void markUnlisted(Term<Store> &T, const std::string &Key) {
    const WorkerId Id = idOf(Key);
    forEachIncarnation(T, Id, [&](const WorkerRowPtr &Row) {
      Row->Listed_ = false;
      framework::log::info("worker.unlisted").field("worker", Id.str());
    });
  }

  Store &Store_;
  WorkerDirectory Directory_;
  TermPtr Term_;
  SessionsPtr Sessions_;
  MachinesPtr Machines_;
  ListReads Reads_;
  /// Items that name a worker of a pool that the configuration does not have,
  /// by their keys.
  std::map<std::string, store::KeyValue> OfUnknownPools_;
  /// Incarnations that were listed on each machine.
  absl::flat_hash_map<MachineId, std::vector<WorkerIncarnation>> OnMachine_;
};

} // namespace laburnumspread::cell
