#pragma once

#include "cell/machinemanager.h"

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

  WorkerFollower(Store &S, WorkerDirectory Where, TermPtr T,
                 SessionsPtr Sessions, MachinesPtr M)
      : Store_(S), Directory_(std::move(Where)), Term_(std::move(T)),
        Sessions_(std::move(Sessions)), Machines_(std::move(M)) {}

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
        framework::fibers::sleepFor(RetryPause);
        continue;
      }
      applyFullList(*T, Read->Items_);
      const absl::Status Ended =
          Store_.watch(Directory_.Prefix_, Read->StoreRevision_.next(),
                       [&](const store::WatchBatch &Batch) {
                         if (T->ended())
                           return false;
                         for (const store::KeyValue &Item : Batch.Puts_)
                           recordWorker(*T, Item);
                         for (const std::string &Key : Batch.Deletes_)
                           markUnlisted(*T, Key);
                         return true;
                       });
      if (!Ended.ok())
        framework::fibers::sleepFor(RetryPause);
    }
  }

private:
  static TimePoint now() { return Term<Store>::now(); }

  void applyFullList(Term<Store> &T,
                     const std::vector<store::KeyValue> &Items) {
    std::set<WorkerIncarnation> Listed;
    for (const store::KeyValue &Item : Items)
      if (const auto Incarnation = recordWorker(T, Item))
        Listed.insert(*Incarnation);
    for (const auto &[Incarnation, Row] : T.Workers_)
      if (!Listed.contains(Incarnation))
        Row->Listed_ = false;
  }

  std::optional<WorkerIncarnation> recordWorker(Term<Store> &T,
                                                const store::KeyValue &Item) {
    const auto Record = Directory_.Read_(Item);
    if (!Record || T.EndedIncarnations_.contains(Record->Incarnation_))
      return std::nullopt;
    const auto Known = T.Workers_.find(Record->Incarnation_);
    if (Known != T.Workers_.end()) {
      if (Record->Draining_ != Known->second->Record_.Draining_)
        framework::log::info("worker.changed")
            .field("worker", Record->Incarnation_.Id_.str())
            .field("draining", Record->Draining_ ? "yes" : "no");
      Known->second->Record_ = *Record;
      Known->second->Listed_ = true;
    } else {
      addWorker(T, *Record);
    }
    Machines_->recordWorker(*Record);
    T.Commits_.wake();
    return Record->Incarnation_;
  }

  void addWorker(Term<Store> &T, const WorkerRecord &Record) {
    // A worker is one incarnation on one machine, and an id belongs to one
    // incarnation at a time.
    std::vector<WorkerRowPtr> Replaced;
    for (const auto &[Incarnation, Row] : T.Workers_)
      if ((Incarnation.Id_ == Record.Incarnation_.Id_ &&
           Incarnation.StartedMs_ < Record.Incarnation_.StartedMs_) ||
          (!Record.Machine_.empty() &&
           Incarnation.Id_ != Record.Incarnation_.Id_ &&
           Row->Record_.Machine_ == Record.Machine_ &&
           Incarnation.StartedMs_ < Record.Incarnation_.StartedMs_))
        Replaced.push_back(Row);
    auto Row = std::make_shared<WorkerRow>();
    Row->Record_ = Record;
    Row->ClockAt_ = now();
    Row->ListedAt_ = now();
    T.Workers_[Record.Incarnation_] = Row;
    framework::log::info("worker.listed")
        .field("worker", Record.Incarnation_.Id_.str())
        .field("born_ms", Record.Incarnation_.StartedMs_)
        .field("pool", Record.Pool_.str());
    Sessions_->open(Row);
    for (const WorkerRowPtr &Old : Replaced)
      Sessions_->endIncarnation(*Old, "a newer incarnation is listed",
                                Old->Record_.Incarnation_.Id_ ==
                                    Record.Incarnation_.Id_);
  }

  void markUnlisted(Term<Store> &T, const std::string &Key) {
    const std::string Id = Key.substr(Directory_.Prefix_.size());
    for (const auto &[Incarnation, Row] : T.Workers_)
      if (Incarnation.Id_.str() == Id) {
        Row->Listed_ = false;
        Row->wake();
        framework::log::info("worker.unlisted").field("worker", Id);
      }
  }

  Store &Store_;
  WorkerDirectory Directory_;
  TermPtr Term_;
  SessionsPtr Sessions_;
  MachinesPtr Machines_;
};

} // namespace laburnumspread::cell
