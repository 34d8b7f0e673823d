#pragma once

#include "framework/clock/adaptivetimeout.h"
#include "framework/fibers/waiter.h"
#include "jobs/eventcodec.h"
#include "journal/leadership.h"

namespace laburnumspread::journal {

struct JournalCounters {
  std::uint64_t Commits_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t Snapshots_ = 0;
  std::uint64_t Bytes_ = 0;
};

/// How much time passed between the entries of a journal, by the steady clocks
/// of those who wrote them. The time between two holders is not counted but
/// for what the later one measured itself, so the sum is never too long.
class JournalClock {
public:
  /// Time since the entry before, at least.
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

/// The journal of one cell under one leadership. Each entry is a key of its own
/// that is created only while the head key is the holder's, so that a write of
/// a former holder, or one that was delayed, can never take effect. A write
/// without an answer is sent again as it was: either of the two creates the
/// key, and the content is the same. It is sent only under the leadership that
/// was held when the journal was made: the tables of the next one of this
/// process were read without it.
template <store::KeyValueStore Store> class Journal {
public:
  static constexpr std::size_t SnapshotPartBytes = 256 * 1024;
  /// Entries after which a snapshot shortens the next replay: a page of the
  /// store's list holds about 500 items.
  static constexpr std::uint64_t EntriesPerSnapshot = 300;
  static constexpr std::size_t KeysPerTransaction = 30;
  /// Bounds of the wait for an answer. The store answers in a few
  /// milliseconds, and sixty times as slow when it is in trouble; an entry's
  /// own pauses last up to a tenth of a second. All entries behind a lost
  /// answer wait for it.
  static constexpr Duration MinAnswerTimeout = std::chrono::milliseconds(120);
  static constexpr Duration MaxAnswerTimeout = std::chrono::milliseconds(1200);
  /// After a refusal: nothing was done, and asking at once would be refused.
  static constexpr Duration RetryPause = std::chrono::milliseconds(50);

  Journal(Store &S, CellKeys Keys, Leadership<Store> &Lead)
      : Store_(S), Keys_(std::move(Keys)), Lead_(Lead), Term_(Lead.term()) {}

  /// Reads the whole state into \p Into. Called once after a takeover, when
  /// nobody else can write any more.
  absl::Status load(jobs::CellTable &Into, TimePoint Now) {
    Next_ = 1;
    const auto Head =
        Store_.range(Keys_.base(), fleet::Revision(0), wallDeadline(LoadTime));
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
    if (absl::Status Read = loadSnapshot(Into, Now); !Read.ok())
      return Read;
    return loadLog(Into, Now);
  }

  /// Appends one entry. Ok once the store has it for good. Aborted when the
  /// leadership is over: then nobody here knows whether it was written.
  absl::Status append(const std::vector<jobs::Event> &Events) {
    const std::string Bytes = jobs::encodeGroup(
        Events, {Lead_.token(), SteadyClock().now() - Lead_.startedAt()});
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

  bool snapshotDue() const { return Next_ - Base_.Index_ > EntriesPerSnapshot; }

  /// Writes \p Table as the new base, and removes what it replaces. The table
  /// holds all committed entries, and may hold later events: replaying those on
  /// top changes nothing.
  absl::Status writeSnapshot(const jobs::CellTable &Table) {
    const Base Old = Base_;
    const std::uint64_t Index = Next_ - 1;
    const auto Parts = jobs::encodeSnapshot(Table, SnapshotPartBytes);
    for (std::size_t I = 0; I < Parts.size(); ++I) {
      store::Transaction Txn = fencedTransaction();
      Txn.Puts_ = {{Keys_.snapshot(Index, I), Parts[I], 0}};
      const auto Put =
          commitExactlyOnce(Txn, Keys_.snapshot(Index, I), Parts[I]);
      if (!Put.ok())
        return Put.status();
    }
    const Base Fresh{Index, Parts.size()};
    store::Transaction Txn = fencedTransaction();
    // A write of an older base that is carried out late must not take the
    // place of this one: the entries that it counts on are gone by then.
    Txn.Compares_.push_back({Keys_.base(), BaseRevision_});
    Txn.Puts_ = {{Keys_.base(), encodeBase(Fresh), 0}};
    const auto Put = commitExactlyOnce(Txn, Keys_.base(), encodeBase(Fresh));
    if (!Put.ok())
      return Put.status();
    BaseRevision_ = *Put;
    Base_ = Fresh;
    ++Counters_.Snapshots_;
    return removeCompacted(Old);
  }

  /// Whether a write that was asked for now would not be stored soon: the store
  /// has refused the one on its way, or owes an answer for much longer than it
  /// took lately.
  bool stalled(TimePoint Now) const {
    return PendingSince_ &&
           (Refused_ ||
            Now - *PendingSince_ > MinStallTime + 3 * TypicalCommitTime_);
  }
  const JournalCounters &counters() const { return Counters_; }

private:
  static constexpr Duration MinStallTime = std::chrono::milliseconds(250);
  /// Weight of the newest write in the usual time: about the last five count.
  static constexpr int CommitTimeSmoothing = 5;
  static constexpr Duration LoadTime = std::chrono::milliseconds(2000);

  store::Transaction fencedTransaction() const {
    store::Transaction Txn;
    Txn.Compares_ = {headRevisionIs(Lead_.token())};
    return Txn;
  }

  store::Compare headRevisionIs(jobs::FencingToken Token) const {
    return {Keys_.head(), fleet::Revision(Token.value())};
  }

  absl::Status loadSnapshot(jobs::CellTable &Into, TimePoint Now) {
    if (Base_.Parts_ == 0)
      return absl::OkStatus();
    const auto Parts = Store_.range(Keys_.snapshotPrefix(Base_.Index_),
                                    fleet::Revision(0), wallDeadline(LoadTime));
    if (!Parts.ok())
      return Parts.status();
    if (Parts->Items_.size() != Base_.Parts_)
      return absl::DataLossError("a part of the snapshot is missing");
    for (const store::KeyValue &Item : Parts->Items_)
      if (absl::Status Read = jobs::decodeSnapshot(Item.Value_, Now, Into);
          !Read.ok())
        return Read;
    return absl::OkStatus();
  }

  absl::Status loadLog(jobs::CellTable &Into, TimePoint Now) {
    const auto Log = Store_.range(Keys_.logPrefix(), fleet::Revision(0),
                                  wallDeadline(LoadTime));
    if (!Log.ok())
      return Log.status();
    Next_ = Base_.Index_ + 1;
    JournalClock Ages;
    for (const store::KeyValue &Item : Log->Items_) {
      const std::uint64_t Index = indexOfLogKey(Item.Key_);
      if (Index <= Base_.Index_)
        continue;
      if (Index != Next_)
        return absl::DataLossError("journal entry " + std::to_string(Next_) +
                                   " is missing");
      const auto Group = jobs::decodeGroup(Item.Value_);
      if (!Group.ok())
        return Group.status();
      Into.advanceTime(Ages.advance(Group->Stamp_));
      for (const jobs::Event &Event : Group->Events_)
        Into.apply(Event, Now);
      ++Next_;
    }
    return absl::OkStatus();
  }

  /// Commits until the outcome is known; the revision of the write.
  absl::StatusOr<fleet::Revision>
  commitExactlyOnce(const store::Transaction &Txn, const std::string &Key,
                    const std::string &Value) {
    PendingSince_ = SteadyClock().now();
    auto Outcome = commitUntilKnown(Txn, Key, Value);
    const Duration Took = SteadyClock().now() - *PendingSince_;
    TypicalCommitTime_ += (Took - TypicalCommitTime_) / CommitTimeSmoothing;
    PendingSince_.reset();
    Refused_ = false;
    return Outcome;
  }

  absl::StatusOr<fleet::Revision>
  commitUntilKnown(const store::Transaction &Txn, const std::string &Key,
                   const std::string &Value) {
    store::Transaction Guarded = Txn;
    while (Lead_.holds(Term_)) {
      // The head may have been written anew since the last try.
      const jobs::FencingToken Token = Lead_.token();
      Guarded.Compares_.front() = headRevisionIs(Token);
      const TimePoint Asked = SteadyClock().now();
      const auto Written =
          Store_.commit(Guarded, wallDeadline(Answers_.timeout()));
      if (Written.ok())
        Answers_.recordResponse(SteadyClock().now() - Asked);
      if (Written.ok() && Written->Succeeded_) {
        Lead_.recordConfirmation(Asked);
        return Written->StoreRevision_;
      }
      if (Written.ok()) {
        const auto Settled = resolveOutcome(Key, Value);
        const bool Over = absl::IsAborted(Settled.status()) &&
                          Lead_.token() == Token && !Lead_.rewritePending();
        if (Settled.ok() || Over)
          return Settled;
      }
      ++Counters_.Retries_;
      Refused_ = absl::IsResourceExhausted(Written.status());
      if (absl::IsDeadlineExceeded(Written.status()))
        Answers_.recordTimeout();
      else
        framework::fibers::sleepFor(RetryPause);
    }
    return absl::AbortedError("leadership was lost before the store answered");
  }

  /// The condition did not hold: an earlier try has come through, or the head
  /// is another's.
  absl::StatusOr<fleet::Revision> resolveOutcome(const std::string &Key,
                                                 const std::string &Value) {
    const auto Read =
        Store_.range(Key, fleet::Revision(0), wallDeadline(Answers_.timeout()));
    if (!Read.ok())
      return Read.status();
    for (const store::KeyValue &Item : Read->Items_)
      if (Item.Key_ == Key && Item.Value_ == Value)
        return Item.ModRevision_;
    return absl::AbortedError("the cell has another holder");
  }

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
      if (!Lead_.holds(Term_))
        return absl::AbortedError("leadership was lost before the removal");
      // A removal without an answer only leaves keys that a replay passes over.
      const auto Removed = Store_.commit(Txn, wallDeadline(MaxAnswerTimeout));
      if (!Removed.ok())
        framework::log::warning("journal.removal_unanswered")
            .field("reason", std::string(Removed.status().message()));
    }
    return absl::OkStatus();
  }

  Store &Store_;
  CellKeys Keys_;
  Leadership<Store> &Lead_;
  TermNumber Term_;
  std::uint64_t Next_ = 1;
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
