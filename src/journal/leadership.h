#pragma once

#include "framework/clock/steadyclock.h"
#include "framework/log/log.h"
#include "journal/leader.h"
#include "store/kvstore.h"

#include <map>

namespace laburnumspread::journal {

using framework::clock::Duration;
using framework::clock::SteadyClock;
using framework::clock::TimePoint;
using framework::clock::wallDeadline;

/// Number of a leadership term; distinguishes the terms of one process. A
/// rewrite of the head key raises the fencing token but does not start a new
/// term. No two terms have the same token.
using TermNumber = framework::ids::StrongNumber<struct TermNumberTag>;

/// Leadership of one cell: the head key, which is bound to a store lease. The
/// revision at which it was written is the fencing token, so the token grows
/// from leader to leader.
template <store::KeyValueStore Store> class Leadership {
public:
  /// Lease of the head key, the shortest that the platform grants. A failed
  /// leader is replaced after this time, and so is one whose renewals do not
  /// reach the store. Renewals are therefore sent several times as often, and
  /// do not wait for each other.
  static constexpr std::int64_t LeaseSeconds = 1;
  /// Timeout of a call to the store.
  static constexpr Duration CallTimeout = std::chrono::milliseconds(900);
  /// Allowance for the time between checking the clock and sending an answer.
  static constexpr Duration AnswerMargin = std::chrono::milliseconds(100);

  Leadership(Store &S, CellKeys Keys, Leader Self)
      : Store_(S), Keys_(std::move(Keys)), Self_(std::move(Self)) {}

  void setPeerAddress(std::string Address) {
    Self_.PeerAddress_ = std::move(Address);
  }

  /// Tries once to become the leader. Returns whether this process now leads.
  absl::StatusOr<bool> campaign() { return campaignAgainst(fleet::Revision()); }

private:
  /// Writes the head key if its revision is still \p Before.
  absl::StatusOr<bool> campaignAgainst(fleet::Revision Before) {
    const auto Granted =
        Store_.grantLease(LeaseSeconds, wallDeadline(CallTimeout));
    if (!Granted.ok())
      return Granted.status();
    ++Self_.Attempt_;
    Lease_ = *Granted;
    const TimePoint SentAt = SteadyClock().now();
    store::Transaction Txn;
    Txn.Compares_ = {{Keys_.head(), Before}};
    Txn.Puts_ = {{Keys_.head(), encodeLeader(Self_), Lease_}};
    const auto Written = Store_.commit(Txn, wallDeadline(CallTimeout));
    if (Written.ok() && Written->Succeeded_ && !Resigned_)
      return adopt(jobs::FencingToken(Written->StoreRevision_.value()), SentAt);
    return readBack();
  }

public:
  /// Takes over from \p Former, if its head key is unchanged, without waiting
  /// for its lease to expire. Used for a peer that has offered its leadership,
  /// and for an earlier process of this entry, which must have ended since this
  /// one runs in its place. Returns whether this process now leads.
  absl::StatusOr<bool> takeOverFrom(const Leader &Former) {
    return campaignAgainst(fleet::Revision(Former.Token_.value()));
  }

  /// Adopts a head key that names this process: the answer to an earlier
  /// campaign was lost although its write succeeded. The head key of any but
  /// the latest campaign is removed, as is any head key once this process has
  /// resigned. Otherwise its lease would persist and nobody else could lead.
  /// Returns whether this process now leads.
  absl::StatusOr<bool> adoptOwnHead(const Leader &Seen) {
    if (!Seen.sameProcess(Self_) || held())
      return false;
    if (!mayAdopt(Seen)) {
      removeStaleHead();
      return false;
    }
    const auto Alive = renew();
    if (!Alive.ok() || !*Alive)
      return Alive;
    // During the renewal the answer to the write may have arrived, a later
    // campaign may have started, or this process may have resigned. The
    // resulting state must not be changed then.
    if (!held() && mayAdopt(Seen))
      begin(Seen.Token_);
    return held();
  }

  /// Rewrites the head key under its lease. This raises the token, so that a
  /// pending takeover of the former head by a peer fails. Returns false if
  /// another process has already taken over, or Cancelled if the token changed
  /// during the call.
  absl::StatusOr<bool> rewriteHead() {
    const jobs::FencingToken Before = Self_.Token_;
    RewritePending_ = true;
    const TimePoint SentAt = SteadyClock().now();
    store::Transaction Txn;
    Txn.Compares_ = {{Keys_.head(), fleet::Revision(Before.value())}};
    Txn.Puts_ = {{Keys_.head(), encodeLeader(Self_), Lease_}};
    const auto Written = Store_.commit(Txn, wallDeadline(CallTimeout));
    if (!Written.ok())
      return Written.status();
    if (Self_.Token_ != Before)
      return absl::CancelledError("the fencing token changed during the call");
    const auto Held =
        Written->Succeeded_
            ? adopt(jobs::FencingToken(Written->StoreRevision_.value()), SentAt)
            : adoptRewritten(Before);
    if (Held.ok())
      RewritePending_ = false;
    return Held;
  }

  /// Whether a rewrite without an answer may have succeeded. A head key that
  /// has changed can then still be this process's own.
  bool rewritePending() const { return RewritePending_; }

  /// Renews the lease. Returns false if it has expired, in which case
  /// leadership is lost.
  absl::StatusOr<bool> renew() {
    const TimePoint SentAt = SteadyClock().now();
    const auto Alive = Store_.keepLease(Lease_, wallDeadline(CallTimeout));
    if (absl::IsResourceExhausted(Alive.status()) ||
        absl::IsUnavailable(Alive.status()))
      ++Refusals_;
    if (!Alive.ok())
      return Alive.status();
    if (*Alive)
      recordConfirmation(SentAt);
    return *Alive;
  }

  /// Records that the store has confirmed the leadership in response to a
  /// request sent at \p SentAt.
  void recordConfirmation(TimePoint SentAt) {
    ConfirmedAt_ = std::max(ConfirmedAt_, SentAt);
    ConfirmationReceivedAt_ = SteadyClock().now();
    Refusals_ = 0;
  }

  /// Number of renewals refused by the store since its last confirmation.
  std::uint32_t refusals() const { return Refusals_; }
  /// When the last confirmation arrived. Confirmations of a slow store arrive
  /// late, but as often as before.
  TimePoint confirmationReceivedAt() const { return ConfirmationReceivedAt_; }

  /// Gives up leadership permanently and removes the head key, so that a
  /// successor need not wait for the lease to expire.
  void resign() {
    Resigned_ = true;
    if (!held())
      return;
    const jobs::FencingToken Token = Self_.Token_;
    markLost();
    store::Transaction Txn;
    Txn.Compares_ = {{Keys_.head(), fleet::Revision(Token.value())}};
    Txn.Deletes_ = {Keys_.head()};
    const auto Written = Store_.commit(Txn, wallDeadline(CallTimeout));
    framework::log::info("leadership.resigned")
        .field("token", Token.value())
        .field("store", Written.ok() ? "acknowledged" : "no answer");
  }

  /// Records that leadership is lost: no order may be sent any more. A head key
  /// that remains is removed, not adopted. A second term under its token could
  /// not be told from the first: late calls and writes of that would count as
  /// its own, and a job that it refused could be stored.
  void markLost() {
    Self_.Token_ = jobs::FencingToken();
    ++Self_.Attempt_;
  }

  /// Whether no other process can lead at \p Now, because the lease was renewed
  /// so recently that it cannot have expired. A leader that is cut off from the
  /// store does not learn of its successor for a while. Its answers about jobs
  /// would be outdated, and "no such job" could be wrong.
  bool leaseValidAt(TimePoint Now) const {
    return held() && Now - ConfirmedAt_ <
                         std::chrono::seconds(LeaseSeconds) - AnswerMargin;
  }

  /// Records whether peers have been told that one of them may lead instead.
  void setOffered(bool Offered) { Offered_ = Offered; }
  bool offered() const { return Offered_; }
  /// Whether no other process can lead at \p Now: the lease is valid, and the
  /// leadership has not been offered.
  bool soleLeaderAt(TimePoint Now) const {
    return !Offered_ && leaseValidAt(Now);
  }

  bool held() const { return Self_.Token_.value() != 0; }
  /// The current term, or the last one if this process does not lead.
  TermNumber term() const { return Term_; }
  /// Whether this process leads and \p Which is the current term.
  bool holds(TermNumber Which) const { return held() && Term_ == Which; }
  jobs::FencingToken token() const { return Self_.Token_; }
  /// When the latest confirmed request was sent.
  TimePoint confirmedAt() const { return ConfirmedAt_; }
  /// When this process learned that its current head key had been written.
  TimePoint startedAt() const { return StartedAt_; }
  const Leader &self() const { return Self_; }

private:
  /// Whether a head key of this process may be adopted.
  bool mayAdopt(const Leader &Own) const {
    return !Resigned_ && Own.Attempt_ == Self_.Attempt_;
  }

  /// Reads the head key after a campaign without a positive answer, and adopts
  /// it if it is this process's own.
  absl::StatusOr<bool> readBack() {
    const auto Read = Store_.range(Keys_.head(), fleet::Revision(0),
                                   wallDeadline(CallTimeout));
    if (!Read.ok())
      return Read.status();
    for (const store::KeyValue &Item : Read->Items_) {
      const auto Seen = decodeLeader(Item.Value_, Item.ModRevision_);
      if (Item.Key_ == Keys_.head() && Seen)
        return adoptOwnHead(*Seen);
    }
    return false;
  }

  /// Called when the head key has changed before a rewrite: either an earlier
  /// rewrite of this process succeeded without an answer, and is adopted, or
  /// another process has taken over.
  absl::StatusOr<bool> adoptRewritten(jobs::FencingToken Before) {
    const TimePoint SentAt = SteadyClock().now();
    const auto Read = Store_.range(Keys_.head(), fleet::Revision(0),
                                   wallDeadline(CallTimeout));
    if (!Read.ok())
      return Read.status();
    // The caller's term may have ended during the read. Adopting the head key
    // would start a leadership for which no term is running.
    if (Self_.Token_ != Before)
      return absl::CancelledError("the fencing token changed during the call");
    for (const store::KeyValue &Item : Read->Items_) {
      const auto Seen = decodeLeader(Item.Value_, Item.ModRevision_);
      if (Item.Key_ == Keys_.head() && Seen && Seen->sameProcess(Self_) &&
          Seen->Attempt_ == Self_.Attempt_)
        return adopt(Seen->Token_, SentAt);
    }
    return false;
  }

  absl::StatusOr<bool> adopt(jobs::FencingToken Token, TimePoint SentAt) {
    begin(Token);
    recordConfirmation(SentAt);
    return true;
  }

  void begin(jobs::FencingToken Token) {
    if (!held())
      Term_ = TermNumber(Term_.value() + 1);
    Self_.Token_ = Token;
    RewritePending_ = false;
    StartedAt_ = SteadyClock().now();
  }

  /// Removes a head key of this process that must not be adopted.
  void removeStaleHead() {
    store::Transaction Txn;
    Txn.Deletes_ = {Keys_.head()};
    const auto Read = Store_.range(Keys_.head(), fleet::Revision(0),
                                   wallDeadline(CallTimeout));
    if (!Read.ok() || Read->Items_.empty())
      return;
    const store::KeyValue &Item = Read->Items_.front();
    const auto Seen = decodeLeader(Item.Value_, Item.ModRevision_);
    if (!Seen || !Seen->sameProcess(Self_) || mayAdopt(*Seen))
      return;
    Txn.Compares_ = {{Keys_.head(), Item.ModRevision_}};
    const auto Written = Store_.commit(Txn, wallDeadline(CallTimeout));
    framework::log::info("leadership.stale_attempt_removed")
        .field("attempt", Seen->Attempt_)
        .field("resigned", Resigned_ ? "yes" : "no")
        .field("store", Written.ok() ? "acknowledged" : "no answer");
  }

  Store &Store_;
  CellKeys Keys_;
  Leader Self_;
  std::int64_t Lease_ = 0;
  TimePoint ConfirmedAt_{};
  TimePoint ConfirmationReceivedAt_{};
  std::uint32_t Refusals_ = 0;
  bool RewritePending_ = false;
  bool Resigned_ = false;
  bool Offered_ = false;
  TermNumber Term_;
  TimePoint StartedAt_{};
};

} // namespace laburnumspread::journal
