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

/// What a HeadKeeper tells and asks whoever acts as the leader. None of them
/// may wait.
struct HeadEvents {
  /// This entry leads, under the token of the leadership.
  std::function<void()> Begun_;
  /// The leadership goes on under a higher token.
  std::function<void()> Retaken_;
  /// It is over, for the reason that is given: nothing may be ordered any more.
  std::function<void(std::string_view)> Over_;
  /// Whether the leader has begun to answer. Before, there is nothing to offer.
  std::function<bool()> Serves_;
};

/// Leads the cell when no other entry does: stands as a candidate, campaigns,
/// follows the head key, renews its lease, and offers the leadership to the
/// peers while the store turns this entry away.
template <store::KeyValueStore Store> class HeadKeeper {
public:
  /// The lease of a second is renewed this often, so that several renewals may
  /// get lost.
  static constexpr Duration RenewEvery = std::chrono::milliseconds(200);
  /// At the first start of all entries; they start within some tenths of a
  /// second of each other.
  static constexpr Duration FirstStart = std::chrono::milliseconds(500);
  static constexpr Duration CampaignPause = std::chrono::milliseconds(100);
  static constexpr Duration ListTime = std::chrono::milliseconds(1500);
  /// The same for the head: a call that hangs in an outage holds up the
  /// campaign after it. Twice what a store takes that is sixty times as slow.
  static constexpr Duration HeadTime = std::chrono::milliseconds(600);
  /// A holder that hears nothing of the store for this long, at two looks in a
  /// row, offers the leadership to its peers: renewals leave every 200 ms and
  /// commits between them, so several in a row have failed, and the process has
  /// had its turn to read what came. The lease would take a second.
  static constexpr Duration OfferAfter = std::chrono::milliseconds(400);
  static constexpr std::uint32_t SilentLooks = 2;
  /// So many renewals in a row that the store refuses say the same sooner.
  static constexpr std::uint32_t OfferAfterRefusals = 2;
  /// A peer whose own calls have failed this lately takes up no offer: the
  /// store is away for all, and the holder had better go on after it.
  static constexpr Duration OwnTrouble = std::chrono::milliseconds(2000);
  /// Time of a peer for its look at the head; past it the offer is old.
  static constexpr Duration OfferTime = std::chrono::milliseconds(300);

  using OfferFn = std::function<void(const peers::LeadershipOffer &)>;

  HeadKeeper(Store &S, const journal::CellKeys &Keys, journal::Holder Self,
             Candidacy Mine, HeadEvents Events)
      : Store_(S), Keys_(Keys), Mine_(std::move(Mine)),
        Events_(std::move(Events)), Lead_(S, Keys, std::move(Self)) {}

  void start(std::string PeerAddress) {
    Lead_.setPeerAddress(std::move(PeerAddress));
    framework::fibers::spawn([this] { headLoop(); });
    framework::fibers::spawn([this] { renewLoop(); });
  }

  /// From now on no leadership is sought, offered or taken over. One that is
  /// held stays so until resign().
  void prepareToLeave() { Leaving_ = true; }
  bool leaving() const { return Leaving_; }

  /// Gives up the head, after prepareToLeave().
  void resign() {
    end("leaving");
    Lead_.resign();
  }

  /// Ends the leadership, if there is one.
  void end(std::string_view Reason) {
    if (!Begun_)
      return;
    Begun_.reset();
    Events_.Over_(Reason);
    if (!Leaving_)
      Lead_.forget();
  }

  /// How an offer of the leadership reaches the peers.
  void setOffer(OfferFn Offer) { Offer_ = std::move(Offer); }

  /// The holder with this token cannot reach the store and lets others lead.
  void takeOffer(const peers::LeadershipOffer &Offer) {
    if (Leaving_ || Lead_.held() || Campaigning_ ||
        now() - StoreFailedAt_ < OwnTrouble)
      return;
    Campaigning_ = true;
    framework::fibers::spawn([this, Offer] {
      takeOver(jobs::FencingToken(Offer.Token_));
      Campaigning_ = false;
    });
  }

  /// Whether this entry leads, has not offered that to others, and nobody else
  /// can lead now.
  bool surelyLeads() const { return !Offered_ && Lead_.surelyHeld(now()); }
  /// Outlives every term that is begun under it.
  journal::Leadership<Store> &leadership() { return Lead_; }
  /// The last holder that was seen; its token is 0 when there is none.
  const journal::Holder &holder() const { return Seen_; }

private:
  static TimePoint now() { return framework::clock::SteadyClock().now(); }

  /// Tells the other entries this one's weight, and hears theirs. At the very
  /// first start the others need a moment to do the same.
  void declareCandidacy() {
    store::Transaction Txn;
    Txn.Puts_ = {{Keys_.candidates() + Lead_.self().Entry_.str(),
                  std::to_string(Mine_.weight()), 0}};
    const auto Written =
        Store_.commit(Txn, framework::clock::wallDeadline(ListTime));
    if (!Written.ok())
      framework::log::warning("candidacy.not_written")
          .field("reason", std::string(Written.status().message()));
    if (readCandidates() <= 1) {
      framework::fibers::sleepFor(FirstStart);
      readCandidates();
    }
  }

  std::size_t readCandidates() {
    const auto Read = Store_.range(Keys_.candidates(), fleet::Revision(0),
                                   framework::clock::wallDeadline(ListTime));
    if (!Read.ok())
      return 0;
    for (const store::KeyValue &Item : Read->Items_)
      Mine_.note(Item.Key_, std::strtod(Item.Value_.c_str(), nullptr));
    return Read->Items_.size();
  }

  /// Follows the head key, and campaigns while there is none.
  void headLoop() {
    declareCandidacy();
    while (true) {
      const auto Read = Store_.range(Keys_.head(), fleet::Revision(0),
                                     framework::clock::wallDeadline(HeadTime));
      if (!Read.ok()) {
        StoreFailedAt_ = now();
        framework::fibers::sleepFor(CampaignPause);
        continue;
      }
      Seen_ = journal::Holder();
      for (const store::KeyValue &Item : Read->Items_)
        noteHead(Item);
      if (!Leaving_ && !Lead_.held() && !Campaigning_) {
        Campaigning_ = true;
        campaign();
        Campaigning_ = false;
      }
      if (Seen_.Token_.value() != 0 || Lead_.held())
        watchHead(Read->StoreRevision_);
      else
        framework::fibers::sleepFor(CampaignPause);
    }
  }

  void noteHead(const store::KeyValue &Item) {
    if (Item.Key_ != Keys_.head())
      return;
    if (const auto Read =
            journal::decodeHolder(Item.Value_, Item.ModRevision_)) {
      Seen_ = *Read;
      Waited_ = false;
      // A head of this process that is not the known one is its own rewrite,
      // seen before the answer to it.
      const bool Others = !Read->sameProcess(Lead_.self());
      if (Others && Lead_.held() && Lead_.token() != Seen_.Token_)
        end("another holder was seen");
      else if (!Lead_.held() && Lead_.adoptIfOwn(*Read).value_or(false))
        begin();
    }
  }

  /// Watches until the head is gone or the watch has to be renewed.
  void watchHead(fleet::Revision After) {
    bool Gone = false;
    const absl::Status Ended = Store_.watch(
        Keys_.head(), After.next(), [&](const store::WatchBatch &Batch) {
          for (const store::KeyValue &Item : Batch.Puts_)
            noteHead(Item);
          for (const std::string &Key : Batch.Deletes_)
            Gone = Gone || Key == Keys_.head();
          return !Gone;
        });
    if (Gone && Lead_.held())
      end("the head key is gone");
    if (Ended.ok() || Gone)
      return;
    StoreFailedAt_ = now();
    framework::fibers::sleepFor(CampaignPause);
  }

  /// Campaigns when there is no holder, or when it was an earlier process of
  /// this entry.
  void campaign() {
    const bool Free = Seen_.Token_.value() == 0;
    const journal::Holder &Self = Lead_.self();
    const bool Former =
        Seen_.Entry_ == Self.Entry_ && Seen_.Incarnation_ < Self.Incarnation_;
    if (!Free && !Former)
      return;
    if (Free && !waitedItsTurn())
      return;
    finishCampaign(Free ? Lead_.campaign() : Lead_.replace(Seen_),
                   Free ? "free" : "former process");
  }

  void finishCampaign(const absl::StatusOr<bool> &Won, std::string_view Cause) {
    framework::log::info("leadership.campaign")
        .field("cause", Cause)
        .field("result", !Won.ok() ? "no answer"
                         : *Won    ? "won"
                                   : "lost")
        .field("token", Lead_.token().value());
    if (!Won.ok() || !*Won)
      return;
    Seen_ = Lead_.self();
    begin();
  }

  void renewLoop() {
    while (true) {
      framework::fibers::sleepFor(RenewEvery);
      if (!Lead_.held())
        continue;
      framework::fibers::spawn([this] { renewOnce(); });
      offerIfCutOff();
    }
  }

  /// The failure: the store turns away this entry alone. Nothing can be stored
  /// and callers wait until the lease has run out, a second or more. From the
  /// offer on this entry answers no call, since a peer may lead at any moment;
  /// what runs keeps its leases, as without an offer.
  void offerIfCutOff() {
    const bool Silent = now() - Lead_.heardAt() > OfferAfter;
    SilentLooks_ = Silent ? SilentLooks_ + 1 : 0;
    const bool CutOff =
        SilentLooks_ >= SilentLooks || Lead_.refusals() >= OfferAfterRefusals;
    if (!CutOff || !Events_.Serves_() || Leaving_ || !Offer_)
      return;
    if (!std::exchange(Offered_, true))
      framework::log::warning("leadership.offered")
          .field("token", Lead_.token().value())
          .field("confirmed_ms_ago",
                 (now() - Lead_.confirmedAt()).count() / 1000);
    Offer_({Lead_.token().value()});
  }

  /// Takes over from the holder with \p Token if the store still shows it.
  void takeOver(jobs::FencingToken Token) {
    framework::fibers::sleepFor(Mine_.wait());
    const auto Read = Store_.range(Keys_.head(), fleet::Revision(0),
                                   framework::clock::wallDeadline(OfferTime));
    if (!Read.ok())
      StoreFailedAt_ = now();
    if (!Read.ok() || Lead_.held() || Leaving_)
      return;
    for (const store::KeyValue &Item : Read->Items_) {
      const auto Former = journal::decodeHolder(Item.Value_, Item.ModRevision_);
      if (Item.Key_ == Keys_.head() && Former && Former->Token_ == Token)
        finishCampaign(Lead_.replace(*Former), "offered");
    }
  }

  /// The store answers again before any peer has taken the offer up. An answer
  /// to a peer's late write must not be possible any more.
  void takeBack() {
    if (std::exchange(TakingBack_, true))
      return;
    const auto Before = Begun_;
    const auto Written = Lead_.rewrite();
    TakingBack_ = false;
    if (!Begun_ || Begun_ != Before || !Written.ok())
      return;
    if (!*Written)
      return end("a peer has taken the offer up");
    Events_.Retaken_();
    Seen_ = Lead_.self();
    Offered_ = false;
    framework::log::info("leadership.taken_back")
        .field("token", Lead_.token().value());
  }

  /// Whether the wait before a campaign is over. A weaker entry waits once for
  /// each time that the cell is without a holder, and looks again.
  bool waitedItsTurn() {
    if (std::exchange(Waited_, false))
      return true;
    const Duration Wait = Mine_.wait();
    if (Wait == Duration::zero())
      return true;
    framework::fibers::sleepFor(Wait);
    Waited_ = true;
    return false;
  }

  /// Not waited for: the next renewal must not be late because the answer to
  /// this one is lost.
  void renewOnce() {
    const jobs::FencingToken Token = Lead_.token();
    const auto Alive = Lead_.renew();
    if (!Alive.ok() || Lead_.token() != Token)
      return;
    if (!*Alive)
      end("the lease has ended");
    else if (Offered_)
      takeBack();
  }

  /// A leadership begins once. Its head may become known twice: by the watch,
  /// and by the answer to the write. A second term beside the first would take
  /// the runs that the other starts for unknown ones and stop them.
  void begin() {
    if (Begun_ && Lead_.holds(*Begun_))
      return;
    if (Begun_)
      Events_.Over_("it was lost, and another has begun");
    Begun_ = Lead_.reign();
    Offered_ = false;
    Events_.Begun_();
  }

  Store &Store_;
  journal::CellKeys Keys_;
  Candidacy Mine_;
  HeadEvents Events_;
  journal::Leadership<Store> Lead_;
  journal::Holder Seen_;
  /// The leadership that was told to have begun and not to be over.
  std::optional<journal::Reign> Begun_;
  OfferFn Offer_;
  /// Peers have been told that they may lead.
  bool Offered_ = false;
  bool TakingBack_ = false;
  std::uint32_t SilentLooks_ = 0;
  TimePoint StoreFailedAt_{};
  bool Campaigning_ = false;
  bool Leaving_ = false;
  bool Waited_ = false;
};

} // namespace laburnumspread::cell
