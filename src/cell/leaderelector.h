#pragma once

#include "cell/candidacy.h"
#include "cell/celltypes.h"
#include "cell/leaderdirectory.h"
#include "framework/clock/steadyclock.h"
#include "framework/fibers/spawn.h"
#include "framework/log/log.h"
#include "journal/leadership.h"
#include "peers/messages.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumspread::cell {

/// Functions through which a LeaderElector notifies and queries the code that
/// acts as the leader. They must not block.
struct LeaderCallbacks {
  /// This entry now leads, under the token of leadership().
  std::function<void()> OnStarted_;
  /// The leadership continues under a higher token.
  std::function<void()> OnTokenRaised_;
  /// The leadership has ended, for the given reason; no more orders may be
  /// sent.
  std::function<void(std::string_view)> OnEnded_;
  /// Whether the leader has started to answer calls. Until then the leadership
  /// is not offered to peers.
  std::function<bool()> IsServing_;
};

/// Links of a LeaderElector to the other entries. The functions must not block.
struct PeerLinks {
  /// Sends an offer of the leadership to the entries that have called this one.
  std::function<void(const peers::LeadershipOffer &)> SendOffer_;
  /// Tells the same entries that this one leads now.
  std::function<void(const peers::LeaderNotice &)> SendNotice_;
  /// Asks some entries which leader they know of.
  std::function<void()> SendQuery_;
  /// An entry, possibly this one, has published its weight and address.
  std::function<void(const Candidate &)> OnCandidate_;
  /// All entries that started together have published theirs.
  std::function<void()> OnCandidatesKnown_;
  /// There is a new leader.
  std::function<void()> OnNewLeader_;
};

/// Makes this entry the leader of the cell when there is none: registers as a
/// candidate, campaigns, watches the head key, renews its lease, and offers the
/// leadership to the peers while the store is unreachable for this entry.
template <store::KeyValueStore Store> class LeaderElector {
public:
  /// The lease lasts one second; at this interval several renewals in a row may
  /// fail.
  static constexpr Duration RenewInterval = std::chrono::milliseconds(200);
  /// Delays of a renewal that are logged: half of the interval.
  static constexpr Duration LateRenewal = RenewInterval / 2;
  /// Delay at the very first start of all entries, which start within a few
  /// tenths of a second of each other.
  static constexpr Duration FirstStartDelay = std::chrono::milliseconds(500);
  static constexpr Duration LateCandidatesDelay =
      std::chrono::milliseconds(3000);
  static constexpr Duration CampaignPause = std::chrono::milliseconds(100);
  static constexpr Duration ListTimeout = std::chrono::milliseconds(1500);
  /// Timeout for reading the head key; a call that hangs during an outage
  /// delays the next campaign. Twice the response time of a store that is 60
  /// times slower than normal.
  static constexpr Duration LeaderReadTimeout = std::chrono::milliseconds(600);
  /// A leader that receives nothing from the store for this long, in two
  /// consecutive checks, offers the leadership to its peers. Renewals are sent
  /// every 200 ms and commits in between, so several in a row must have failed,
  /// and the process has had time to read any replies. The lease would take a
  /// second to expire.
  static constexpr Duration OfferAfterSilence = std::chrono::milliseconds(400);
  static constexpr std::uint32_t SilentChecksToOffer = 2;
  /// This many consecutive refused renewals trigger the offer earlier.
  static constexpr std::uint32_t OfferAfterRefusals = 2;
  /// A peer whose own store calls failed within this time ignores offers: the
  /// store is unreachable for all entries, and the current leader should
  /// continue after the outage.
  static constexpr Duration StoreFailureWindow =
      std::chrono::milliseconds(2000);
  /// Timeout of a peer's read of the head key; after that the offer is
  /// outdated.
  static constexpr Duration OfferTimeout = std::chrono::milliseconds(300);

  LeaderElector(Store &S, const journal::CellKeys &Keys, journal::Leader Self,
                Candidacy Own, LeaderCallbacks Events)
      : Store_(S), Keys_(Keys), Candidacy_(std::move(Own)),
        Events_(std::move(Events)), Leadership_(S, Keys, std::move(Self)) {}

  /// Starts the election. \p PeerAddress is published in the head key.
  void start(std::string PeerAddress) {
    Leadership_.setPeerAddress(std::move(PeerAddress));
    framework::fibers::spawn([this] { electionLoop(); });
    framework::fibers::spawnUrgent([this] { renewLoop(); });
    framework::fibers::spawn([this] { readLateCandidates(); });
  }

  /// Stops seeking, offering and taking over leadership. A leadership that is
  /// held remains so until resign().
  void stopCampaigning() { Leaving_ = true; }
  /// Whether stopCampaigning() was called.
  bool leaving() const { return Leaving_; }

  /// Releases the head key, after stopCampaigning().
  void resign() {
    endLeadership("leaving");
    Leadership_.resign();
  }

  /// Ends the leadership, if there is one.
  void endLeadership(std::string_view Reason) {
    if (!ActiveTerm_)
      return;
    ActiveTerm_.reset();
    Events_.OnEnded_(Reason);
    if (!Leaving_)
      Leadership_.markLost();
  }

  void setPeerLinks(PeerLinks Links) { Peers_ = std::move(Links); }

  /// Handles a peer's offer: the leader with its token cannot reach the store
  /// and lets others lead.
  void handleOffer(const peers::LeadershipOffer &Offer) {
    if (Leaving_ || Leadership_.held() || Campaigning_ ||
        now() - StoreFailedAt_ < StoreFailureWindow)
      return;
    Campaigning_ = true;
    framework::fibers::spawn([this, Offer] {
      takeOver(jobs::FencingToken(Offer.Token_));
      Campaigning_ = false;
    });
  }

  /// Records the leader that a peer knows of. A leader that learns of its
  /// successor from a peer stops at once.
  void learnLeader(const journal::Leader &Leader) {
    recordLeader(Leader);
    if (Leadership_.held() && Leader.Token_ > Leadership_.token() &&
        !Leader.sameProcess(Leadership_.self()))
      endLeadership("a peer named a later leader");
  }

  /// Whether this entry leads, has not offered the leadership, and no other
  /// entry can lead at present.
  bool isSoleLeader() const { return Leadership_.soleLeaderAt(now()); }
  /// Outlives every term that was started under it.
  journal::Leadership<Store> &leadership() { return Leadership_; }
  /// The latest leader known; its token is 0 if there is none.
  const journal::Leader &leader() const { return Directory_.latest(); }

private:
  static TimePoint now() { return framework::clock::SteadyClock().now(); }

  /// Publishes this entry's weight and address and reads those of the others.
  /// At the very first start, the other entries need a moment to publish
  /// theirs.
  void publishCandidacy() {
    const journal::Leader &Self = Leadership_.self();
    store::Transaction Txn;
    Txn.Puts_ = {{Keys_.candidates() + Self.Entry_.str(),
                  encodeCandidate({Candidacy_.weight(),
                                   {Self.Entry_, Self.Incarnation_},
                                   Self.PeerAddress_}),
                  0}};
    const auto Written =
        Store_.commit(Txn, framework::clock::wallDeadline(ListTimeout));
    if (!Written.ok())
      framework::log::warning("candidacy.not_written")
          .field("reason", std::string(Written.status().message()));
    if (readCandidates() <= 1) {
      framework::fibers::sleepFor(FirstStartDelay);
      readCandidates();
    }
  }

  std::size_t readCandidates() {
    const auto Read = Store_.range(Keys_.candidates(), fleet::Revision(0),
                                   framework::clock::wallDeadline(ListTimeout));
    if (!Read.ok())
      return 0;
    for (const store::KeyValue &Item : Read->Items_) {
      const Candidate Other = decodeCandidate(
          fleet::EntryName(Item.Key_.substr(Keys_.candidates().size())),
          Item.Value_);
      Candidacy_.recordWeight(Item.Key_, Other.Weight_);
      if (!Other.PeerAddress_.empty() && Peers_.OnCandidate_)
        Peers_.OnCandidate_(Other);
    }
    return Read->Items_.size();
  }

  /// Reads the candidates once more when all entries that started together
  /// have published theirs.
  void readLateCandidates() {
    framework::fibers::sleepFor(LateCandidatesDelay);
    readCandidates();
    if (Peers_.OnCandidatesKnown_)
      Peers_.OnCandidatesKnown_();
  }

  /// The store does not answer this entry: peers may know of a new leader.
  void handleStoreFailure() {
    StoreFailedAt_ = now();
    if (Peers_.SendQuery_)
      Peers_.SendQuery_();
    framework::fibers::sleepFor(CampaignPause);
  }

  /// Watches the head key and campaigns while it does not exist.
  void electionLoop() {
    publishCandidacy();
    while (true) {
      const auto Read =
          Store_.range(Keys_.head(), fleet::Revision(0),
                       framework::clock::wallDeadline(LeaderReadTimeout));
      if (!Read.ok()) {
        handleStoreFailure();
        continue;
      }
      SeenLeader_ = journal::Leader();
      if (Read->Items_.empty())
        Directory_.recordNone(Read->StoreRevision_);
      for (const store::KeyValue &Item : Read->Items_)
        observeLeader(Item);
      if (!Leaving_ && !Leadership_.held() && !Campaigning_) {
        Campaigning_ = true;
        campaign();
        Campaigning_ = false;
      }
      if (SeenLeader_.Token_.value() != 0 || Leadership_.held())
        watchLeader(Read->StoreRevision_);
      else
        framework::fibers::sleepFor(CampaignPause);
    }
  }

  void observeLeader(const store::KeyValue &Item) {
    if (Item.Key_ != Keys_.head())
      return;
    if (const auto Read =
            journal::decodeLeader(Item.Value_, Item.ModRevision_)) {
      setSeenLeader(*Read);
      DelayElapsed_ = false;
      // A head of this process with an unknown token is its own rewrite, seen
      // before the reply to it.
      const bool OtherProcess = !Read->sameProcess(Leadership_.self());
      if (OtherProcess && Leadership_.held() &&
          Leadership_.token() != SeenLeader_.Token_)
        endLeadership("another leader was seen");
      else if (!Leadership_.held() &&
               Leadership_.adoptOwnHead(*Read).value_or(false))
        beginLeadership();
    }
  }

  /// Watches until the head key is deleted or the watch has to be restarted.
  void watchLeader(fleet::Revision After) {
    bool Deleted = false;
    const absl::Status Ended = Store_.watch(
        Keys_.head(), After.next(), [&](const store::WatchBatch &Batch) {
          for (const store::KeyValue &Item : Batch.Puts_)
            observeLeader(Item);
          for (const std::string &Key : Batch.Deletes_)
            Deleted = Deleted || Key == Keys_.head();
          return !Deleted;
        });
    if (Deleted && Leadership_.held())
      endLeadership("the head key was deleted");
    if (!Ended.ok() && !Deleted)
      handleStoreFailure();
  }

  void setSeenLeader(const journal::Leader &Leader) {
    SeenLeader_ = Leader;
    recordLeader(Leader);
  }

  void recordLeader(const journal::Leader &Leader) {
    if (Directory_.record(Leader) && Peers_.OnNewLeader_)
      Peers_.OnNewLeader_();
  }

  /// Campaigns if there is no leader, or if the leader was an earlier process
  /// of this entry.
  void campaign() {
    const bool Free = SeenLeader_.Token_.value() == 0;
    const journal::Leader &Self = Leadership_.self();
    const bool Former = SeenLeader_.Entry_ == Self.Entry_ &&
                        SeenLeader_.Incarnation_ < Self.Incarnation_;
    if (!Free && !Former)
      return;
    if (Free && !campaignDelayElapsed())
      return;
    handleCampaignResult(Free ? Leadership_.campaign()
                              : Leadership_.takeOverFrom(SeenLeader_),
                         Free ? "free" : "former process");
  }

  void handleCampaignResult(const absl::StatusOr<bool> &Won,
                            std::string_view Cause) {
    framework::log::info("leadership.campaign")
        .field("cause", Cause)
        .field("result", !Won.ok() ? "no answer"
                         : *Won    ? "won"
                                   : "lost")
        .field("token", Leadership_.token().value());
    if (!Won.ok() || !*Won)
      return;
    setSeenLeader(Leadership_.self());
    beginLeadership();
  }

  void renewLoop() {
    while (true) {
      const TimePoint SleptAt = now();
      framework::fibers::sleepFor(RenewInterval);
      if (!Leadership_.held())
        continue;
      logLateRenewal(now() - SleptAt - RenewInterval);
      framework::fibers::spawnUrgent([this] { renewLease(); });
      offerIfStoreUnreachable();
    }
  }

  /// Other work of this process kept the renewal waiting. Without this line, a
  /// lease that was lost for lack of processor time looks like one that the
  /// store did not renew.
  void logLateRenewal(Duration Late) const {
    if (Late > LateRenewal)
      framework::log::warning("leadership.renewal_late")
          .field("token", Leadership_.token().value())
          .field("late_ms", Late.count() / 1000)
          .field("confirmed_ms_ago",
                 (now() - Leadership_.confirmedAt()).count() / 1000);
  }

  /// Handles a store that is unreachable for this entry alone. Without an
  /// offer, nothing could be stored and callers would wait until the lease
  /// expires, a second or more. After the offer this entry answers no calls,
  /// since a peer may lead at any moment; runs keep their leases, as without an
  /// offer.
  void offerIfStoreUnreachable() {
    const bool Silent =
        now() - Leadership_.confirmationReceivedAt() > OfferAfterSilence;
    SilentChecks_ = Silent ? SilentChecks_ + 1 : 0;
    const bool Unreachable = SilentChecks_ >= SilentChecksToOffer ||
                             Leadership_.refusals() >= OfferAfterRefusals;
    if (!Unreachable || !Events_.IsServing_() || Leaving_ || !Peers_.SendOffer_)
      return;
    if (!Leadership_.offered())
      framework::log::warning("leadership.offered")
          .field("token", Leadership_.token().value())
          .field("confirmed_ms_ago",
                 (now() - Leadership_.confirmedAt()).count() / 1000);
    Leadership_.setOffered(true);
    Peers_.SendOffer_({Leadership_.token().value()});
  }

  /// Takes over from the leader with \p Token if the store still shows it.
  void takeOver(jobs::FencingToken Token) {
    framework::fibers::sleepFor(Candidacy_.campaignDelay());
    const auto Read =
        Store_.range(Keys_.head(), fleet::Revision(0),
                     framework::clock::wallDeadline(OfferTimeout));
    if (!Read.ok())
      StoreFailedAt_ = now();
    if (!Read.ok() || Leadership_.held() || Leaving_)
      return;
    for (const store::KeyValue &Item : Read->Items_) {
      const auto Former = journal::decodeLeader(Item.Value_, Item.ModRevision_);
      if (Item.Key_ == Keys_.head() && Former && Former->Token_ == Token)
        handleCampaignResult(Leadership_.takeOverFrom(*Former), "offered");
    }
  }

  /// Resumes the leadership when the store is reachable again before a peer has
  /// accepted the offer. The head key is rewritten so that a delayed write of a
  /// peer can no longer succeed.
  void reclaimLeadership() {
    if (std::exchange(Reclaiming_, true))
      return;
    const auto Before = ActiveTerm_;
    const auto Written = Leadership_.rewriteHead();
    Reclaiming_ = false;
    if (!ActiveTerm_ || ActiveTerm_ != Before || !Written.ok())
      return;
    if (!*Written)
      return endLeadership("a peer accepted the offered leadership");
    Events_.OnTokenRaised_();
    setSeenLeader(Leadership_.self());
    Leadership_.setOffered(false);
    framework::log::info("leadership.taken_back")
        .field("token", Leadership_.token().value());
  }

  /// Whether the delay before a campaign has elapsed. An entry of lower weight
  /// waits once each time the cell has no leader, and then reads the head key
  /// again.
  bool campaignDelayElapsed() {
    if (std::exchange(DelayElapsed_, false))
      return true;
    const Duration Wait = Candidacy_.campaignDelay();
    if (Wait == Duration::zero())
      return true;
    framework::fibers::sleepFor(Wait);
    DelayElapsed_ = true;
    return false;
  }

  /// Runs in a fiber of its own, so that a lost reply does not delay the next
  /// renewal.
  void renewLease() {
    const jobs::FencingToken Token = Leadership_.token();
    const auto Alive = Leadership_.renew();
    if (!Alive.ok() || Leadership_.token() != Token)
      return;
    if (!*Alive)
      endLeadership("the lease has expired");
    else if (Leadership_.offered())
      reclaimLeadership();
  }

  /// Starts a leadership once, although the head key may become known twice:
  /// from the watch and from the reply to the write. Two terms in parallel
  /// would each treat the other's runs as unknown and stop them.
  void beginLeadership() {
    if (ActiveTerm_ && Leadership_.holds(*ActiveTerm_))
      return;
    if (ActiveTerm_)
      Events_.OnEnded_("lost; a new leadership has started");
    ActiveTerm_ = Leadership_.term();
    Leadership_.setOffered(false);
    recordLeader(Leadership_.self());
    if (Peers_.SendNotice_)
      Peers_.SendNotice_(toNotice(Leadership_.self()));
    Events_.OnStarted_();
  }

  Store &Store_;
  journal::CellKeys Keys_;
  Candidacy Candidacy_;
  LeaderCallbacks Events_;
  journal::Leadership<Store> Leadership_;
  /// The leader that the store showed last; campaigns depend on it alone.
  journal::Leader SeenLeader_;
  /// Where calls go.
  LeaderDirectory Directory_;
  /// The leadership for which OnStarted_ was called, and OnEnded_ was not.
  std::optional<journal::TermNumber> ActiveTerm_;
  PeerLinks Peers_;
  bool Reclaiming_ = false;
  std::uint32_t SilentChecks_ = 0;
  TimePoint StoreFailedAt_{};
  bool Campaigning_ = false;
  bool Leaving_ = false;
  bool DelayElapsed_ = false;
};

} // namespace laburnumspread::cell
