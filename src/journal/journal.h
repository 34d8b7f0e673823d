#pragma once

#include "framework/clock/adaptivetimeout.h"
#include "framework/fibers/waiter.h"
#include "jobs/eventcodec.h"
#include "journal/leadership.h"
#include "journal/loadsteps.h"

#include <span>

namespace laburnumspread::journal {

/// Counters of one journal, for metrics.
struct JournalCounters {
  std::uint64_t Commits_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t Snapshots_ = 0;
  std::uint64_t Bytes_ = 0;
};

/// Computes the time that passed between journal entries, by the steady clocks
/// of the leaders that wrote them. Of the time between two leaders, only the
/// part since the later one's takeover counts, so the sum is a lower bound.
class JournalClock {
public:
  /// Returns a lower bound on the time since the previous entry.
  Duration advance(const jobs::GroupStamp &Stamp) {
    const Duration Before =
        Stamp.Token_ == Last_.Token_ ? Last_.SinceTakeover_ : Duration::zero();
    const bool First = Last_.Token_.value() == 0;
    Last_ = Stamp;
    return First ? Duration::zero()
                 : std::max(Duration::zero(), Stamp.SinceTakeover_ - Before);
  }

private:
  jobs::GroupStamp Last_;
};

/// The journal of one cell during one leadership term. Each entry is a key of
/// its own, created on the condition that the head key is unchanged, so that a
/// delayed write or a write of a former leader never takes effect. A write
/// without an answer is repeated unchanged: only one of the two can create the
/// key, and their content is the same. Writes are sent only during the term in
/// which the journal was created, because the tables of this process's next
/// term have been loaded without them.
template <store::KeyValueStore Store> class Journal {
public:
  static constexpr std::size_t SnapshotPartBytes = 256 * 1024;
  /// Number of entries after which a snapshot is written to shorten the next
  /// replay. A page of the store's range results holds about 500 items.
  static constexpr std::uint64_t EntriesPerSnapshot = 300;
  static constexpr std::size_t KeysPerTransaction = 30;
  /// Limits of the adaptive answer timeout. The store answers within a few
  /// milliseconds, and 60 times slower when it is overloaded; pauses of this
  /// process last up to 100 ms. All writes behind a lost answer wait for it.
  static constexpr Duration MinAnswerTimeout = std::chrono::milliseconds(120);
  static constexpr Duration MaxAnswerTimeout = std::chrono::milliseconds(1200);
  /// Pause after a refused write: it had no effect, and an immediate retry
  /// would be refused as well.
  static constexpr Duration RetryPause = std::chrono::milliseconds(50);

  /// \p MaxValueBytes is the largest value that the store accepts.
  Journal(Store &S, CellKeys Keys, Leadership<Store> &Lead,
          std::size_t MaxValueBytes = store::DefaultMaxValueBytes)
      : Store_(S), Keys_(std::move(Keys)), Leadership_(Lead),
        Term_(Lead.term()), MaxValueBytes_(MaxValueBytes) {}

  /// Loads the snapshot and replays the journal into \p Into. Called once after
  /// a takeover, when no other process can write any more. Returns DataLoss if
  /// a part or an entry is missing or malformed, Aborted once \p GivenUp
  /// returns true, or the store's error. Lets other fibers run.
  absl::Status load(jobs::CellTable &Into, TimePoint Now,
                    const std::function<bool()> &GivenUp = nullptr) {
    LoadSteps Steps(GivenUp);
    Next_ = 1;
    const auto Head = Store_.range(Keys_.base(), fleet::Revision(0),
                                   wallDeadline(LoadTimeout));
    if (!Head.ok())
      return Head.status();
    Base_ = Base();
    BaseRevision_ = fleet::Revision(0);
    for (const store::KeyValue &Item : Head->Items_) {
      const auto Read = decodeBase(Item.Value_);
      if (Item.Key_ != Keys_.base() || !Read)
        continue;
      Base_ = *Read;
      BaseRevision_ = Item.ModRevision_;
    }
    if (absl::Status Read = loadSnapshot(Into, Now, Steps); !Read.ok())
      return Read;
    const absl::Status Read = loadLog(Into, Now, Steps);
    FormerLeader_ = Next_ > 1;
    return Read;
  }

  /// Called with the number of events that the store holds, from the first.
  using OnStored = std::function<void(std::size_t)>;

  /// Appends the events in their order, in as many entries as needed. Returns
  /// Ok once the store has persisted all of them, Aborted if the leadership was
  /// lost, or InvalidArgument if the store refuses an entry for good. After an
  /// error it is unknown whether the events were written of which \p Stored has
  /// not been told.
  absl::Status append(const std::vector<jobs::Event> &Events,
                      const OnStored &Stored = nullptr) {
    std::span<const jobs::Event> Left(Events);
    while (!Left.empty()) {
      const jobs::EncodedGroup Entry =
          jobs::encodeFirst(Left, stamp(), MaxValueBytes_);
      if (Entry.Events_ == 0)
        return refuseEvent();
      if (absl::Status Written = appendEntry(Entry.Bytes_); !Written.ok())
        return Written;
      Left = Left.subspan(Entry.Events_);
      if (Stored)
        Stored(Events.size() - Left.size());
    }
    return absl::OkStatus();
  }

  /// Whether enough entries have been written since the last snapshot for a new
  /// one.
  bool snapshotDue() const { return Next_ - Base_.Index_ > EntriesPerSnapshot; }

  /// Writes a snapshot of \p Table as the new base and compacts the log:
  /// removes the entries and the snapshot that it replaces. The table contains
  /// all committed entries and may contain later events, because replaying
  /// these on top of the snapshot has no effect. Returns the errors of
  /// append().
  absl::Status writeSnapshot(const jobs::CellTable &Table) {
    const TimePoint StartedAt = SteadyClock().now();
    const Base Old = Base_;
    const std::uint64_t Index = Next_ - 1;
    const auto Parts = jobs::encodeSnapshot(
        Table, std::min(SnapshotPartBytes, MaxValueBytes_), MaxValueBytes_);
    for (std::size_t I = 0; I < Parts.size(); ++I) {
      store::Transaction Txn = fencedTransaction();
      Txn.Puts_ = {{Keys_.snapshot(Index, I), Parts[I], 0}};
      const auto Written =
          commitExactlyOnce(Txn, Keys_.snapshot(Index, I), Parts[I]);
      if (!Written.ok())
        return Written.status();
    }
    const Base NewBase{Index, Parts.size()};
    store::Transaction Txn = fencedTransaction();
    // A delayed write of an older base must not replace this one, because the
    // entries that follow the older base have been removed by then.
    Txn.Compares_.push_back({Keys_.base(), BaseRevision_});
    Txn.Puts_ = {{Keys_.base(), encodeBase(NewBase), 0}};
    const auto Written =
        commitExactlyOnce(Txn, Keys_.base(), encodeBase(NewBase));
    if (!Written.ok())
      return Written.status();
    BaseRevision_ = *Written;
    Base_ = NewBase;
    ++Counters_.Snapshots_;
    absl::Status Removed = removeCompacted(Old);
    reportIfSlow(Parts, SteadyClock().now() - StartedAt);
    return Removed;
  }

  /// Whether an earlier leader has written to the journal; known once it is
  /// loaded.
  bool hasFormerLeader() const { return FormerLeader_; }

  /// Returns the highest fencing token that this leader may use: the latest
  /// revision that the store gave to a write on the condition that the head key
  /// is this leader's. A successor writes the head key later, so its token is
  /// higher.
  jobs::FencingToken newestToken() const {
    return std::max(Leadership_.token(), Newest_);
  }

  /// Writes a key that nothing reads, to raise newestToken(). Returns the
  /// store's error, or Aborted if the head key has changed.
  absl::Status writeFence() {
    store::Transaction Txn = fencedTransaction();
    Txn.Puts_ = {{Keys_.fence(), "1", 0}};
    const TimePoint SentAt = SteadyClock().now();
    const auto Written = Store_.commit(Txn, wallDeadline(Answers_.timeout()));
    if (!Written.ok())
      return Written.status();
    if (!Written->Succeeded_ || !Leadership_.holds(Term_))
      return absl::AbortedError("the head key has changed");
    Leadership_.recordConfirmation(SentAt);
    recordWritten(Written->StoreRevision_);
    return absl::OkStatus();
  }

  /// Whether a new write would be delayed: the store has refused the pending
  /// write, or has not answered it for much longer than recent writes took.
  bool stalled(TimePoint Now) const {
    return PendingSince_ &&
           (Refused_ ||
            Now - *PendingSince_ > MinStallTime + 3 * TypicalCommitTime_);
  }
  const JournalCounters &counters() const { return Counters_; }

private:
  static constexpr Duration MinStallTime = std::chrono::milliseconds(250);
  /// Divisor of the moving average of commit times: about the last five writes
  /// count.
  static constexpr int CommitTimeSmoothing = 5;
  /// Time from which a snapshot is logged.
  static constexpr Duration SlowSnapshot = std::chrono::milliseconds(250);
  static constexpr Duration LoadTimeout = std::chrono::milliseconds(2000);

  /// Nothing else is stored while a snapshot is written.
  static void reportIfSlow(const std::vector<std::string> &Parts,
                           Duration Took) {
    if (Took < SlowSnapshot)
      return;
    std::uint64_t Bytes = 0;
    for (const std::string &Part : Parts)
      Bytes += Part.size();
    framework::log::warning("journal.snapshot_slow")
        .field("took_ms", Took.count() / 1000)
        .field("parts", static_cast<std::uint64_t>(Parts.size()))
        .field("bytes", Bytes);
  }

  void recordWritten(fleet::Revision At) {
    Newest_ = std::max(Newest_, jobs::FencingToken(At.value()));
  }

  jobs::GroupStamp stamp() const {
    return {Leadership_.token(), SteadyClock().now() - Leadership_.startedAt()};
  }

  absl::Status appendEntry(const std::string &Bytes) {
    const std::string Key = Keys_.log(Next_);
    store::Transaction Txn = fencedTransaction();
    Txn.Compares_.push_back({Key, fleet::Revision(0)});
    Txn.Puts_ = {{Key, Bytes, 0}};
    const auto Written = commitExactlyOnce(Txn, Key, Bytes);
    if (!Written.ok())
      return Written.status();
    ++Next_;
    ++Counters_.Commits_;
    Counters_.Bytes_ += Bytes.size();
    return absl::OkStatus();
  }

  absl::Status refuseEvent() const {
    framework::log::error("journal.event_too_large")
        .field("key", Keys_.log(Next_))
        .field("max_bytes", static_cast<std::uint64_t>(MaxValueBytes_));
    return absl::InvalidArgumentError("an event is larger than a value may be");
  }

  /// Without this a leader repeats a write for ever that can never succeed, and
  /// stores nothing more while it keeps its lease. Its successor knows only
  /// what is stored, so it does not send the same write.
  static absl::Status refusedForGood(const std::string &Key,
                                     const std::string &Value,
                                     const absl::Status &Why) {
    framework::log::error("journal.write_refused")
        .field("key", Key)
        .field("bytes", static_cast<std::uint64_t>(Value.size()))
        .field("reason", std::string(Why.message()));
    return Why;
  }

  /// Returns a transaction that applies only while the head key is this
  /// leader's.
  store::Transaction fencedTransaction() const {
    store::Transaction Txn;
    Txn.Compares_ = {headRevisionIs(Leadership_.token())};
    return Txn;
  }

  store::Compare headRevisionIs(jobs::FencingToken Token) const {
    return {Keys_.head(), fleet::Revision(Token.value())};
  }

  absl::Status loadSnapshot(jobs::CellTable &Into, TimePoint Now,
                            LoadSteps &Steps) {
    if (Base_.Parts_ == 0)
      return absl::OkStatus();
    const auto Parts =
        Store_.range(Keys_.snapshotPrefix(Base_.Index_), fleet::Revision(0),
                     wallDeadline(LoadTimeout));
    if (!Parts.ok())
      return Parts.status();
    if (Parts->Items_.size() != Base_.Parts_)
      return absl::DataLossError("a part of the snapshot is missing");
    for (const store::KeyValue &Item : Parts->Items_) {
      if (absl::Status Next = Steps.next(); !Next.ok())
        return Next;
      if (absl::Status Read = jobs::decodeSnapshot(Item.Value_, Now, Into);
          !Read.ok())
        return Read;
    }
    return absl::OkStatus();
  }

  absl::Status loadLog(jobs::CellTable &Into, TimePoint Now, LoadSteps &Steps) {
    const auto Log = Store_.range(Keys_.logPrefix(), fleet::Revision(0),
                                  wallDeadline(LoadTimeout));
    if (!Log.ok())
      return Log.status();
    Next_ = Base_.Index_ + 1;
    JournalClock Clock;
    for (const store::KeyValue &Item : Log->Items_) {
      if (absl::Status Next = Steps.next(); !Next.ok())
        return Next;
      const std::uint64_t Index = indexOfLogKey(Item.Key_);
      if (Index <= Base_.Index_)
        continue;
      if (Index != Next_)
        return absl::DataLossError("journal entry " + std::to_string(Next_) +
                                   " is missing");
      const auto Group = jobs::decodeGroup(Item.Value_);
      if (!Group.ok())
        return Group.status();
      Into.advanceTime(Clock.advance(Group->Stamp_));
      for (const jobs::Event &Event : Group->Events_)
        Into.apply(Event, Now);
      ++Next_;
    }
    return absl::OkStatus();
  }

  /// Repeats the commit until its outcome is known, or it is refused for good.
  /// Returns the revision of the write.
  absl::StatusOr<fleet::Revision>
  commitExactlyOnce(const store::Transaction &Txn, const std::string &Key,
                    const std::string &Value) {
    PendingSince_ = SteadyClock().now();
    auto Outcome = commitUntilKnown(Txn, Key, Value);
    const Duration Elapsed = SteadyClock().now() - *PendingSince_;
    TypicalCommitTime_ += (Elapsed - TypicalCommitTime_) / CommitTimeSmoothing;
    PendingSince_.reset();
    Refused_ = false;
    return Outcome;
  }

  absl::StatusOr<fleet::Revision>
  commitUntilKnown(const store::Transaction &Txn, const std::string &Key,
                   const std::string &Value) {
    store::Transaction Fenced = Txn;
    while (Leadership_.holds(Term_)) {
      // The head may have been rewritten since the last attempt.
      const jobs::FencingToken Token = Leadership_.token();
      Fenced.Compares_.front() = headRevisionIs(Token);
      const TimePoint SentAt = SteadyClock().now();
      const auto Written =
          Store_.commit(Fenced, wallDeadline(Answers_.timeout()));
      if (Written.ok())
        Answers_.recordResponse(SteadyClock().now() - SentAt);
      if (Written.ok() && Written->Succeeded_) {
        Leadership_.recordConfirmation(SentAt);
        recordWritten(Written->StoreRevision_);
        return Written->StoreRevision_;
      }
      if (Written.ok()) {
        const auto Resolved = resolveOutcome(Key, Value);
        const bool LeadershipEnded = absl::IsAborted(Resolved.status()) &&
                                     Leadership_.token() == Token &&
                                     !Leadership_.rewritePending();
        if (Resolved.ok() || LeadershipEnded)
          return Resolved;
      }
      if (absl::IsInvalidArgument(Written.status()))
        return refusedForGood(Key, Value, Written.status());
      ++Counters_.Retries_;
      Refused_ = absl::IsResourceExhausted(Written.status());
      if (absl::IsDeadlineExceeded(Written.status()))
        Answers_.recordTimeout();
      else
        framework::fibers::sleepFor(RetryPause);
    }
    return absl::AbortedError("leadership was lost before the store answered");
  }

  /// Called when the condition of a write failed: either an earlier attempt has
  /// succeeded, and its revision is returned, or the head key is another
  /// leader's, and Aborted is returned.
  absl::StatusOr<fleet::Revision> resolveOutcome(const std::string &Key,
                                                 const std::string &Value) {
    const auto Read =
        Store_.range(Key, fleet::Revision(0), wallDeadline(Answers_.timeout()));
    if (!Read.ok())
      return Read.status();
    for (const store::KeyValue &Item : Read->Items_)
      if (Item.Key_ == Key && Item.Value_ == Value)
        return Item.ModRevision_;
    return absl::AbortedError("the cell has another leader");
  }

  /// Removes the former snapshot and the log entries that the new base covers.
  absl::Status removeCompacted(const Base &Old) {
    std::vector<std::string> Keys;
    for (std::uint64_t P = 0; P < Old.Parts_; ++P)
      Keys.push_back(Keys_.snapshot(Old.Index_, P));
    for (std::uint64_t I = Old.Index_ + 1; I <= Base_.Index_; ++I)
      Keys.push_back(Keys_.log(I));
    for (std::size_t At = 0; At < Keys.size(); At += KeysPerTransaction) {
      store::Transaction Txn = fencedTransaction();
      const std::size_t End = std::min(At + KeysPerTransaction, Keys.size());
      Txn.Deletes_.assign(Keys.begin() + At, Keys.begin() + End);
      if (!Leadership_.holds(Term_))
        return absl::AbortedError("leadership was lost before log compaction");
      // A removal that fails only leaves keys that a replay skips.
      const auto Removed = Store_.commit(Txn, wallDeadline(MaxAnswerTimeout));
      if (!Removed.ok())
        framework::log::warning("journal.removal_unanswered")
            .field("reason", std::string(Removed.status().message()));
    }
    return absl::OkStatus();
  }

  Store &Store_;
  CellKeys Keys_;
  Leadership<Store> &Leadership_;
  TermNumber Term_;
  std::size_t MaxValueBytes_;
  std::uint64_t Next_ = 1;
  jobs::FencingToken Newest_;
  bool FormerLeader_ = false;
  Base Base_;
  fleet::Revision BaseRevision_;
  std::optional<TimePoint> PendingSince_;
  bool Refused_ = false;
  Duration TypicalCommitTime_{};
  framework::clock::AdaptiveTimeout Answers_{MinAnswerTimeout,
                                             MaxAnswerTimeout};
  JournalCounters Counters_;
};

} // namespace laburnumspread::journal
