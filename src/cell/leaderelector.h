#pragma once

#include "cell/candidacy.h"
#include "cell/celltypes.h"
#include "framework/clock/steadyclock.h"
#include "framework/fibers/spawn.h"
#include "framework/log/log.h"
#include "journal/leadership.h"
#include "peers/messages.h"

#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumspread::cell {

/// What a LeaderElector tells and asks whoever acts as the leader. None of them
/// may wait.
struct LeaderCallbacks {
  /// This entry leads, under the token of the leadership.
  std::function<void()> OnStarted_;
  /// The leadership goes on under a higher token.
  std::function<void()> OnTokenRaised_;
  /// It is over, for the reason that is given: nothing may be ordered any more.
  std::function<void(std::string_view)> OnEnded_;
  /// Whether the leader has begun to answer. Before, there is nothing to offer.
  std::function<bool()> IsServing_;
};

/// Leads the cell when no other entry does: stands as a candidate, campaigns,
/// follows the head key, renews its lease, and offers the leadership to the
/// peers while the store turns this entry away.
template <store::KeyValueStore Store> class LeaderElector {
public:
  /// The lease of a second is renewed this often, so that several renewals may
  /// get lost.
  static constexpr Duration RenewInterval = std::chrono::milliseconds(200);
  /// At the first start of all entries; they start within some tenths of a
  /// second of each other.
  static constexpr Duration FirstStartDelay = std::chrono::milliseconds(500);
  static constexpr Duration CampaignPause = std::chrono::milliseconds(100);
  static constexpr Duration ListTimeout = std::chrono::milliseconds(1500);
  /// The same for the head: a call that hangs in an outage holds up the
  /// campaign after it. Twice what a store takes that is sixty times as slow.
  static constexpr Duration LeaderReadTimeout = std::chrono::milliseconds(600);
  /// A holder that hears nothing of the store for this long, at two looks in a
  /// row, offers the leadership to its peers: renewals leave every 200 ms and
  /// commits between them, so several in a row have failed, and the process has
  /// had its turn to read what came. The lease would take a second.
  static constexpr Duration OfferAfterSilence = std::chrono::milliseconds(400);
  static constexpr std::uint32_t SilentChecksToOffer = 2;
  /// So many renewals in a row that the store refuses say the same sooner.
  static constexpr std::uint32_t OfferAfterRefusals = 2;
  /// A peer whose own calls have failed this lately takes up no offer: the
  /// store is away for all, and the holder had better go on after it.
  static constexpr Duration StoreFailureWindow =
      std::chrono::milliseconds(2000);
  /// Time of a peer for its look at the head; past it the offer is old.
  static constexpr Duration OfferTimeout = std::chrono::milliseconds(300);

  using OfferFn = std::function<void(const peers::LeadershipOffer &)>;

  LeaderElector(Store &S, const journal::CellKeys &Keys, journal::Leader Self,
                Candidacy Own, LeaderCallbacks Events)
      : Store_(S), Keys_(Keys), Candidacy_(std::move(Own)),
        Events_(std::move(Events)), Leadership_(S, Keys, std::move(Self)) {}

  void start(std::string PeerAddress) {
    Leadership_.setPeerAddress(std::move(PeerAddress));
    framework::fibers::spawn([this] { electionLoop(); });
    framework::fibers::spawn([this] { renewLoop(); });
  }

  /// From now on no leadership is sought, offered or taken over. One that is
  /// held stays so until resign().
  void stopCampaigning() { Leaving_ = true; }
  bool leaving() const { return Leaving_; }

  /// Gives up the head, after stopCampaigning().
  void resign() {
    endLeadership("leaving");
    Leadership_.resign();
  }

  /// Ends the leadership, if there is one.
  void endLeadership(std::string_view Reason) {
    if (!ActiveReign_)
      return;
    ActiveReign_.reset();
    Events_.OnEnded_(Reason);
    if (!Leaving_)
      Leadership_.markLost();
  }

  /// How an offer of the leadership reaches the peers.
  void setOfferSender(OfferFn Send) { SendOffer_ = std::move(Send); }

  /// The holder with this token cannot reach the store and lets others lead.
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

  /// Whether this entry leads, has not offered that to others, and nobody else
  /// can lead now.
  bool isSoleLeader() const {
    return !Offered_ && Leadership_.leaseValidAt(now());
  }
  /// Outlives every term that is begun under it.
  journal::Leadership<Store> &leadership() { return Leadership_; }
  /// The last holder that was seen; its token is 0 when there is none.
  const journal::Leader &leader() const { return SeenLeader_; }

private:
  static TimePoint now() { return framework::clock::SteadyClock().now(); }

  /// Tells the other entries this one's weight, and hears theirs. At the very
  /// first start the others need a moment to do the same.
  void publishCandidacy() {
    store::Transaction Txn;
    Txn.Puts_ = {{Keys_.candidates() + Leadership_.self().Entry_.str(),
                  std::to_string(Candidacy_.weight()), 0}};
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
    for (const store::KeyValue &Item : Read->Items_)
      Candidacy_.recordWeight(Item.Key_,
                              std::strtod(Item.Value_.c_str(), nullptr));
    return Read->Items_.size();
  }

  /// Follows the head key, and campaigns while there is none.
  void electionLoop() {
    publishCandidacy();
    while (true) {
      const auto Read =
          Store_.range(Keys_.head(), fleet::Revision(0),
                       framework::clock::wallDeadline(LeaderReadTimeout));
      if (!Read.ok()) {
        StoreFailedAt_ = now();
        framework::fibers::sleepFor(CampaignPause);
        continue;
      }
      SeenLeader_ = journal::Leader();
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
      SeenLeader_ = *Read;
      DelayElapsed_ = false;
      // A head of this process that is not the known one is its own rewrite,
      // seen before the answer to it.
      const bool Others = !Read->sameProcess(Leadership_.self());
      if (Others && Leadership_.held() &&
          Leadership_.token() != SeenLeader_.Token_)
        endLeadership("another holder was seen");
      else if (!Leadership_.held() &&
               Leadership_.adoptOwnHead(*Read).value_or(false))
        beginLeadership();
    }
  }

  /// Watches until the head is gone or the watch has to be renewed.
  void watchLeader(fleet::Revision After) {
    bool Gone = false;
    const absl::Status Ended = Store_.watch(
        Keys_.head(), After.next(), [&](const store::WatchBatch &Batch) {
          for (const store::KeyValue &Item : Batch.Puts_)
            observeLeader(Item);
          for (const std::string &Key : Batch.Deletes_)
            Gone = Gone || Key == Keys_.head();
          return !Gone;
        });
    if (Gone && Leadership_.held())
      endLeadership("the head key is gone");
    if (Ended.ok() || Gone)
      return;
    StoreFailedAt_ = now();
    framework::fibers::sleepFor(CampaignPause);
  }

  /// Campaigns when there is no holder, or when it was an earlier process of
  /// this entry.
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
    SeenLeader_ = Leadership_.self();
    beginLeadership();
  }

  void renewLoop() {
    while (true) {
      framework::fibers::sleepFor(RenewInterval);
      if (!Leadership_.held())
        continue;
      framework::fibers::spawn([this] { renewLease(); });
      offerIfStoreUnreachable();
    }
  }

  /// The failure: the store turns away this entry alone. Nothing can be stored
  /// and callers wait until the lease has run out, a second or more. From the
  /// offer on this entry answers no call, since a peer may lead at any moment;
  /// what runs keeps its leases, as without an offer.
  void offerIfStoreUnreachable() {
    const bool Silent =
        now() - Leadership_.confirmationReceivedAt() > OfferAfterSilence;
    SilentChecks_ = Silent ? SilentChecks_ + 1 : 0;
    const bool Unreachable = SilentChecks_ >= SilentChecksToOffer ||
                             Leadership_.refusals() >= OfferAfterRefusals;
    if (!Unreachable || !Events_.IsServing_() || Leaving_ || !SendOffer_)
      return;
    if (!std::exchange(Offered_, true))
      framework::log::warning("leadership.offered")
          .field("token", Leadership_.token().value())
          .field("confirmed_ms_ago",
                 (now() - Leadership_.confirmedAt()).count() / 1000);
    SendOffer_({Leadership_.token().value()});
  }

  /// Takes over from the holder with \p Token if the store still shows it.
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

  /// The store answers again before any peer has taken the offer up. An answer
  /// to a peer's late write must not be possible any more.
  void reclaimLeadership() {
    if (std::exchange(Reclaiming_, true))
      return;
    const auto Before = ActiveReign_;
    const auto Written = Leadership_.rewriteHead();
    Reclaiming_ = false;
    if (!ActiveReign_ || ActiveReign_ != Before || !Written.ok())
      return;
    if (!*Written)
      return endLeadership("a peer has taken the offer up");
    Events_.OnTokenRaised_();
    SeenLeader_ = Leadership_.self();
    Offered_ = false;
    framework::log::info("leadership.taken_back")
        .field("token", Leadership_.token().value());
  }

  /// Whether the wait before a campaign is over. A weaker entry waits once for
  /// each time that the cell is without a holder, and looks again.
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

  /// Not waited for: the next renewal must not be late because the answer to
  /// this one is lost.
  void renewLease() {
    const jobs::FencingToken Token = Leadership_.token();
    const auto Alive = Leadership_.renew();
    if (!Alive.ok() || Leadership_.token() != Token)
      return;
    if (!*Alive)
      endLeadership("the lease has ended");
    else if (Offered_)
      reclaimLeadership();
  }

  /// A leadership begins once. Its head may become known twice: by the watch,
  /// and by the answer to the write. A second term beside the first would take
  /// the runs that the other starts for unknown ones and stop them.
  void beginLeadership() {
    if (ActiveReign_ && Leadership_.holds(*ActiveReign_))
      return;
    if (ActiveReign_)
      Events_.OnEnded_("it was lost, and another has begun");
    ActiveReign_ = Leadership_.term();
    Offered_ = false;
    Events_.OnStarted_();
  }

  Store &Store_;
  journal::CellKeys Keys_;
  Candidacy Candidacy_;
  LeaderCallbacks Events_;
  journal::Leadership<Store> Leadership_;
  journal::Leader SeenLeader_;
  /// The leadership that was told to have begun and not to be over.
  std::optional<journal::TermNumber> ActiveReign_;
  OfferFn SendOffer_;
  /// Peers have been told that they may lead.
  bool Offered_ = false;
  bool Reclaiming_ = false;
  std::uint32_t SilentChecks_ = 0;
  TimePoint StoreFailedAt_{};
  bool Campaigning_ = false;
  bool Leaving_ = false;
  bool DelayElapsed_ = false;
};

} // namespace laburnumspread::cell
