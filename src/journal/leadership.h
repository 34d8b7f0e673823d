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

/// Tells the leaderships of one process apart. A head that is written anew
/// stays in its reign, though its token rises; a head that is found again after
/// the leadership was given up begins another.
using TermNumber = framework::ids::StrongNumber<struct TermNumberTag>;

/// Leadership of one cell: a key that dies with a store lease. The revision at
/// which it was written is the fencing token, so tokens rise from holder to
/// holder.
template <store::KeyValueStore Store> class Leadership {
public:
  /// Lease of the head key, the shortest that the platform grants: a dead
  /// holder is replaced after this time. A holder that the store does not hear
  /// for as long is replaced too, so renewals are sent several times as often
  /// and do not wait for each other.
  static constexpr std::int64_t LeaseSeconds = 1;
  static constexpr Duration CallTime = std::chrono::milliseconds(900);
  /// Between the look at the clock and the answer's leaving.
  static constexpr Duration AnswerMargin = std::chrono::milliseconds(100);

  Leadership(Store &S, CellKeys Keys, Leader Self)
      : Store_(S), Keys_(std::move(Keys)), Self_(std::move(Self)) {}

  void setPeerAddress(std::string Address) {
    Self_.PeerAddress_ = std::move(Address);
  }

  /// Tries once to become the holder. True when this entry now is.
  absl::StatusOr<bool> campaign() { return campaignAgainst(fleet::Revision()); }

private:
  /// Writes the head if it is still as it was at \p Before.
  absl::StatusOr<bool> campaignAgainst(fleet::Revision Before) {
    const auto Granted =
        Store_.grantLease(LeaseSeconds, wallDeadline(CallTime));
    if (!Granted.ok())
      return Granted.status();
    ++Self_.Attempt_;
    Lease_ = *Granted;
    const TimePoint Asked = SteadyClock().now();
    store::Transaction Txn;
    Txn.Compares_ = {{Keys_.head(), Before}};
    Txn.Puts_ = {{Keys_.head(), encodeLeader(Self_), Lease_}};
    const auto Written = Store_.commit(Txn, wallDeadline(CallTime));
    if (Written.ok() && Written->Succeeded_ && !Resigned_)
      return adopt(jobs::FencingToken(Written->StoreRevision_.value()), Asked);
    return readBack();
  }

public:
  /// Takes over from an earlier process of this entry. It has ended, or this
  /// one could not run in its place; so nobody need wait for its lease.
  absl::StatusOr<bool> takeOverFrom(const Leader &Former) {
    return campaignAgainst(fleet::Revision(Former.Token_.value()));
  }

  /// Takes up a head that names this process: the answer to an earlier attempt
  /// was lost, and the write came through after all. An attempt before the last
  /// one is given back, and so is any head once this process has resigned: its
  /// lease would run on, and nobody else could lead.
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
    // Meanwhile the answer to the write may have come, or a later attempt may
    // have begun, or this process has resigned; what that has made of the
    // leadership stays.
    if (!held() && mayAdopt(Seen))
      begin(Seen.Token_);
    return held();
  }

  /// Writes the head anew under the lease that holds it. The token rises, and a
  /// peer that still means to take the former one over fails. False when
  /// another has.
  absl::StatusOr<bool> rewriteHead() {
    const jobs::FencingToken Before = Self_.Token_;
    RewritePending_ = true;
    const TimePoint Asked = SteadyClock().now();
    store::Transaction Txn;
    Txn.Compares_ = {{Keys_.head(), fleet::Revision(Before.value())}};
    Txn.Puts_ = {{Keys_.head(), encodeLeader(Self_), Lease_}};
    const auto Written = Store_.commit(Txn, wallDeadline(CallTime));
    if (!Written.ok())
      return Written.status();
    if (Self_.Token_ != Before)
      return absl::CancelledError("the token has changed meanwhile");
    const auto Held =
        Written->Succeeded_
            ? adopt(jobs::FencingToken(Written->StoreRevision_.value()), Asked)
            : adoptRewritten(Before);
    if (Held.ok())
      RewritePending_ = false;
    return Held;
  }

  /// Whether a rewrite may have come through of which the answer is missing:
  /// then a head that is not as it was may still be this process's own.
  bool rewritePending() const { return RewritePending_; }

  /// Renews the lease. False when it has ended: leadership is lost.
  absl::StatusOr<bool> renew() {
    const TimePoint Asked = SteadyClock().now();
    const auto Alive = Store_.keepLease(Lease_, wallDeadline(CallTime));
    if (absl::IsResourceExhausted(Alive.status()) ||
        absl::IsUnavailable(Alive.status()))
      ++Refusals_;
    if (!Alive.ok())
      return Alive.status();
    if (*Alive)
      recordConfirmation(Asked);
    return *Alive;
  }

  /// Notes that the store has proved the leadership at \p Asked or later.
  void recordConfirmation(TimePoint Asked) {
    ConfirmedAt_ = std::max(ConfirmedAt_, Asked);
    ConfirmationReceivedAt_ = SteadyClock().now();
    Refusals_ = 0;
  }

  /// Renewals that the store has refused since it last confirmed anything.
  std::uint32_t refusals() const { return Refusals_; }
  /// When the last confirmation arrived. A slow store's arrive late, but as
  /// often as before.
  TimePoint confirmationReceivedAt() const { return ConfirmationReceivedAt_; }

  /// Gives up leadership for good, so that a successor need not wait for the
  /// lease.
  void resign() {
    Resigned_ = true;
    if (!held())
      return;
    const jobs::FencingToken Token = Self_.Token_;
    markLost();
    store::Transaction Txn;
    Txn.Compares_ = {{Keys_.head(), fleet::Revision(Token.value())}};
    Txn.Deletes_ = {Keys_.head()};
    const auto Written = Store_.commit(Txn, wallDeadline(CallTime));
    framework::log::info("leadership.resigned")
        .field("token", Token.value())
        .field("store", Written.ok() ? "acknowledged" : "no answer");
  }

  /// Leadership has been lost: no order may leave any more.
  void markLost() { Self_.Token_ = jobs::FencingToken(); }

  /// Whether nobody else can lead at \p Now: the store has renewed the lease
  /// so lately that it cannot have ended. A holder that is cut off from the
  /// store goes on for a while without knowing of its successor; what it said
  /// of a job then would be old, and "no such job" could be false.
  bool leaseValidAt(TimePoint Now) const {
    return held() && Now - ConfirmedAt_ <
                         std::chrono::seconds(LeaseSeconds) - AnswerMargin;
  }

  bool held() const { return Self_.Token_.value() != 0; }
  /// The present reign, or the last one when nothing is held.
  TermNumber term() const { return Term_; }
  /// Whether \p Which is the reign that is held.
  bool holds(TermNumber Which) const { return held() && Term_ == Which; }
  jobs::FencingToken token() const { return Self_.Token_; }
  TimePoint confirmedAt() const { return ConfirmedAt_; }
  /// When this leadership was found to be won.
  TimePoint startedAt() const { return StartedAt_; }
  const Leader &self() const { return Self_; }

private:
  /// Whether an own head may be taken up.
  bool mayAdopt(const Leader &Own) const {
    return !Resigned_ && Own.Attempt_ == Self_.Attempt_;
  }

  absl::StatusOr<bool> readBack() {
    const auto Read =
        Store_.range(Keys_.head(), fleet::Revision(0), wallDeadline(CallTime));
    if (!Read.ok())
      return Read.status();
    for (const store::KeyValue &Item : Read->Items_) {
      const auto Seen = decodeLeader(Item.Value_, Item.ModRevision_);
      if (Item.Key_ == Keys_.head() && Seen)
        return adoptOwnHead(*Seen);
    }
    return false;
  }

  /// The head is not as it was: an earlier rewrite of this process came through
  /// without an answer, or it is another's.
  absl::StatusOr<bool> adoptRewritten(jobs::FencingToken Before) {
    const TimePoint Asked = SteadyClock().now();
    const auto Read =
        Store_.range(Keys_.head(), fleet::Revision(0), wallDeadline(CallTime));
    if (!Read.ok())
      return Read.status();
    // The term may have ended meanwhile. A leadership that begins here has
    // none, and would go on without one.
    if (Self_.Token_ != Before)
      return absl::CancelledError("the token has changed meanwhile");
    for (const store::KeyValue &Item : Read->Items_) {
      const auto Seen = decodeLeader(Item.Value_, Item.ModRevision_);
      if (Item.Key_ == Keys_.head() && Seen && Seen->sameProcess(Self_) &&
          Seen->Attempt_ == Self_.Attempt_)
        return adopt(Seen->Token_, Asked);
    }
    return false;
  }

  absl::StatusOr<bool> adopt(jobs::FencingToken Token, TimePoint Asked) {
    begin(Token);
    recordConfirmation(Asked);
    return true;
  }

  void begin(jobs::FencingToken Token) {
    if (!held())
      Term_ = TermNumber(Term_.value() + 1);
    Self_.Token_ = Token;
    RewritePending_ = false;
    StartedAt_ = SteadyClock().now();
  }

  void removeStaleHead() {
    store::Transaction Txn;
    Txn.Deletes_ = {Keys_.head()};
    const auto Read =
        Store_.range(Keys_.head(), fleet::Revision(0), wallDeadline(CallTime));
    if (!Read.ok() || Read->Items_.empty())
      return;
    const store::KeyValue &Item = Read->Items_.front();
    const auto Seen = decodeLeader(Item.Value_, Item.ModRevision_);
    if (!Seen || !Seen->sameProcess(Self_) || mayAdopt(*Seen))
      return;
    Txn.Compares_ = {{Keys_.head(), Item.ModRevision_}};
    const auto Written = Store_.commit(Txn, wallDeadline(CallTime));
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
  TermNumber Term_;
  TimePoint StartedAt_{};
};

} // namespace laburnumspread::journal
