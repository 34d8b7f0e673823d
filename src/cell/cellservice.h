#pragma once

#include "cell/candidacy.h"
#include "cell/directory.h"
#include "cell/jobcalls.h"
#include "scheduling/scheduler.h"

namespace laburnumspread::cell {

/// Asks the advisor which of the workers may run a step.
using AskAdvisor = std::function<absl::StatusOr<scheduling::AdviceReply>(
    const scheduling::StepName &, const std::vector<WorkerId> &)>;

/// Leads the cell when no other entry does, and while it leads takes jobs,
/// schedules them and keeps them running.
template <store::KeyValueStore Store, WorkerClient Client,
          MachineService Service>
class CellService {
public:
  using TermPtr = std::shared_ptr<Term<Store>>;
  using SessionsPtr = std::shared_ptr<Sessions<Store, Client>>;
  using MachinesPtr = std::shared_ptr<Machines<Store, Client, Service>>;

  /// The lease of a second is renewed this often, so that several renewals may
  /// get lost.
  static constexpr Duration RenewEvery = std::chrono::milliseconds(200);
  /// At the first start of all entries; they start within some tenths of a
  /// second of each other.
  static constexpr Duration FirstStart = std::chrono::milliseconds(500);
  static constexpr Duration CampaignPause = std::chrono::milliseconds(100);
  static constexpr Duration TickEvery = std::chrono::milliseconds(100);
  /// An order may be carried out this long after it was sent (the platform's
  /// word is "seconds later").
  static constexpr Duration LatestOrder = std::chrono::seconds(12);
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

  using OfferFn = std::function<void(const peers::HeadOffer &)>;

  CellService(Store &S, Client &C, Service &Api, WorkerDirectory Directory,
              WaveReports Reports, AskAdvisor Ask, Candidacy Mine,
              const journal::CellKeys &Keys, journal::Holder Self,
              CellBounds Bounds, framework::metrics::Registry &Metrics)
      : Store_(S), Client_(C), Api_(Api), Directory_(std::move(Directory)),
        Reports_(std::move(Reports)), Ask_(std::move(Ask)),
        Mine_(std::move(Mine)), Keys_(Keys), Bounds_(Bounds), Metrics_(Metrics),
        Lead_(S, Keys, std::move(Self)) {}

  void start(std::string PeerAddress) {
    Lead_.setPeerAddress(std::move(PeerAddress));
    framework::fibers::spawn([this] { headLoop(); });
    framework::fibers::spawn([this] { renewLoop(); });
    framework::fibers::spawn([this] { tickLoop(); });
  }

  /// Hands the cell over: what is on its way is committed, then the head is
  /// given up.
  void leave() {
    Leaving_ = true;
    const TimePoint Until = now() + std::chrono::seconds(1);
    while (Term_ && !Term_->Commits_.idle() && now() < Until)
      framework::fibers::sleepFor(std::chrono::milliseconds(10));
    if (Term_)
      endTerm("leaving");
    Lead_.resign();
  }

  /// How an offer of the leadership reaches the peers.
  void setOffer(OfferFn Offer) { Offer_ = std::move(Offer); }

  /// The holder with this token cannot reach the store and lets others lead.
  void takeOffer(const peers::HeadOffer &Offer) {
    if (Leaving_ || Lead_.held() || Campaigning_ ||
        now() - StoreFailedAt_ < OwnTrouble)
      return;
    Campaigning_ = true;
    framework::fibers::spawn([this, Offer] {
      takeOver(jobs::FencingToken(Offer.Token_));
      Campaigning_ = false;
    });
  }

  /// Bounds of the terms that begin from now on: what runs under the present
  /// one has been given its leases by the old ones.
  void setBounds(const CellBounds &Bounds) { Bounds_ = Bounds; }

  void setConfig(const CellConfig &Config) {
    Config_ = Config;
    if (Term_)
      adoptConfig(*Term_);
  }

  void setWave(const WaveRecord &Wave) {
    Waves_[Wave.Number_] = Wave;
    if (Machines_)
      Machines_->setWaves(Waves_);
  }

  /// Whether this entry may answer calls: it leads, and surely nobody else.
  bool leads() const {
    return Term_ && !Term_->over() && Term_->Loaded_ && !Offered_ &&
           Lead_.surelyHeld(now());
  }
  const TermPtr &term() const { return Term_; }
  /// The last holder that was seen; its token is 0 when there is none.
  const journal::Holder &holder() const { return Seen_; }

  /// Sets the gauges of the term. All are zero when there is none, or when the
  /// store has not confirmed it for so long that nothing is ordered any more: a
  /// holder that is cut off may never hear of its successor.
  void fillGauges(framework::metrics::Registry &Into) const {
    const bool Acts = Term_ && Term_->mayOrder();
    (Acts ? Term_->gauges() : TermGauges()).publish(Into);
  }

  /// Serves a call if this entry leads; \p Reply may run later, once.
  void handle(const peers::JobCall &Call, const JobReplyFn &Reply) {
    if (!leads())
      return Reply({Call.Sequence_, peers::JobVerdict::NotHolder, "", 0, 0});
    Calls_->handle(Call, Leaving_, Reply);
  }

private:
  static TimePoint now() { return framework::clock::SteadyClock().now(); }

  // Leadership.

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
        endTerm("another holder was seen");
      else if (!Lead_.held() && Lead_.adoptIfOwn(*Read).value_or(false))
        beginTerm();
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
      endTerm("the head key is gone");
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
    beginTerm();
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
    if (!CutOff || !Term_ || !Term_->Loaded_ || Leaving_ || !Offer_)
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
    const TermPtr T = Term_;
    const auto Written = Lead_.rewrite();
    TakingBack_ = false;
    if (!T || Term_ != T || !Written.ok())
      return;
    if (!*Written)
      return endTerm("a peer has taken the offer up");
    Term_->Token_ = Lead_.token();
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
      endTerm("the lease has ended");
    else if (Offered_)
      takeBack();
  }

  /// A leadership has one term. Its head may become known twice: by the watch,
  /// and by the answer to the write. A second term beside the first would take
  /// the runs that the other starts for unknown ones and stop them.
  void beginTerm() {
    if (Term_ && !Term_->over())
      return;
    Offered_ = false;
    Term_ =
        std::make_shared<Term<Store>>(Store_, Keys_, Lead_, Metrics_, Bounds_);
    Sessions_ = std::make_shared<Sessions<Store, Client>>(Term_, Client_);
    Machines_ = std::make_shared<Machines<Store, Client, Service>>(
        Term_, Sessions_, Store_, Api_, Reports_);
    Machines_->setKeys(Keys_);
    Calls_ = std::make_shared<JobCalls<Store, Client>>(Term_, Sessions_);
    Metrics_.counter("takeovers_total").add();
    framework::fibers::spawn(
        [this, T = Term_, Talks = Sessions_, Orders = Machines_] {
          runTerm(T, Talks, Orders);
        });
  }

  void endTerm(std::string_view Reason) {
    if (!Term_)
      return;
    framework::log::warning("leadership.ended")
        .field("token", Term_->Token_.value())
        .field("reason", Reason);
    Term_->Over_ = true;
    Term_->Commits_.stop();
    for (const auto &[Life, Row] : Term_->Workers_)
      Row->wake();
    if (!Leaving_)
      Lead_.forget();
    Term_ = nullptr;
    Sessions_ = nullptr;
    Machines_ = nullptr;
    Calls_ = nullptr;
  }

  /// Works for a term from takeover to end, with what was made for it: the
  /// service may hold the next term's by now.
  void runTerm(const TermPtr &T, const SessionsPtr &Talks,
               const MachinesPtr &Orders) {
    const TimePoint Begun = now();
    if (!load(*T))
      return;
    adoptConfig(*T);
    T->Loaded_ = true;
    Metrics_.histogram("takeover_seconds")
        .record(std::chrono::duration<double>(now() - Begun).count());
    framework::log::info("leadership.begun")
        .field("token", T->Token_.value())
        .field("jobs_open", static_cast<std::uint64_t>(T->Table_.open().size()))
        .field("jobs_known",
               static_cast<std::uint64_t>(T->Table_.jobs().size()))
        .field("runs_unwanted", unwantedRuns(*T))
        .field("load_ms", (now() - Begun).count() / 1000);
    framework::fibers::spawn(
        [List = std::make_shared<Directory<Store, Client, Service>>(
             Store_, Directory_, T, Talks, Orders)] { List->follow(); });
    Orders->setWaves(Waves_);
    Orders->start();
    T->Commits_.run([this, T, Talks] { schedule(*T, *Talks); });
    if (Term_ == T)
      endTerm("the journal cannot be written");
  }

  /// An empty table that knows how many attempts each queue allows.
  static jobs::CellTable emptyTable(const Term<Store> &T) {
    jobs::CellTable Table;
    Table.setAttemptLimit([&T](const QueueName &Name) {
      const QueueConfig *Queue = T.Config_.find(Name);
      return Queue ? Queue->MaxAttempts_ : DefaultAttempts;
    });
    return Table;
  }

  bool load(Term<Store> &T) {
    while (!T.over()) {
      T.Table_ = emptyTable(T);
      adoptConfig(T);
      const absl::Status Read = T.Log_.load(T.Table_, now());
      if (Read.ok()) {
        T.Table_.setAges(
            framework::clock::toMillis(framework::clock::SystemClock().now()),
            now());
        // It may have ended while the answer was on its way.
        return !T.over();
      }
      framework::log::error("journal.load_failed")
          .field("reason", std::string(Read.message()));
      framework::fibers::sleepFor(CampaignPause);
    }
    return false;
  }

  /// Live runs of jobs that have ended: an earlier holder did not stop them, or
  /// did not hear of their ends.
  static std::uint64_t unwantedRuns(const Term<Store> &T) {
    std::uint64_t Count = 0;
    for (const auto &[Id, Job] : T.Table_.jobs())
      if (Job.ended())
        Count += Job.LiveRuns_;
    return Count;
  }

  /// Queues that have been removed stay known to the term, so that jobs taken
  /// before still end.
  void adoptConfig(Term<Store> &T) {
    std::vector<QueueConfig> Removed;
    for (const QueueConfig &Old : T.Config_.Queues_)
      if (!Config_.find(Old.Name_))
        Removed.push_back(Old);
    T.Config_ = Config_;
    for (QueueConfig &Old : Removed)
      T.Config_.Queues_.push_back(std::move(Old));
    T.Commits_.wake();
  }

  // Time.

  void tickLoop() {
    while (true) {
      framework::fibers::sleepFor(TickEvery);
      const TermPtr T = Term_;
      if (!T || T->over() || !T->Loaded_)
        continue;
      if (T->Superseded_) {
        endTerm("a worker has seen a later holder");
        continue;
      }
      for (const auto &[Life, Row] : T->Workers_)
        Row->Distrust_ *= DistrustFade;
      T->Table_.forgetEnded(now() - Bounds_.StatusKept_);
      loseUnreachable(*T);
      if (!T->Table_.open().empty())
        T->Commits_.wake();
    }
  }

  /// Runs on workers that nobody lists: their leases have run out by now.
  void loseUnreachable(Term<Store> &T) {
    if (!Sessions_)
      return;
    std::vector<WorkerLife> Lost;
    for (const auto &[Life, Use] : T.Table_.workers())
      if (!T.Workers_.contains(Life) && now() > goneAfter(T, Life))
        Lost.push_back(Life);
    for (const WorkerLife &Life : Lost)
      Sessions_->loseRuns(Life, "unlisted, lease ran out");
  }

  /// When nothing can run any more on a life without a row. A process that has
  /// started again settles the runs of its former life itself; if it is never
  /// listed, an order that is carried out late may still reach it.
  static TimePoint goneAfter(const Term<Store> &T, const WorkerLife &Life) {
    const auto Newer = T.Workers_.upper_bound(Life);
    if (Newer != T.Workers_.end() && Newer->first.Id_ == Life.Id_)
      return TimePoint::max();
    const auto Ended = T.EndedLives_.find(Life);
    const TimePoint Orders =
        Ended == T.EndedLives_.end()
            ? T.BegunAt_
            : std::max(T.BegunAt_, Ended->second + LatestOrder);
    return inheritedLeaseEnds(Orders, T.Bounds_.LongestHold_);
  }

  // Scheduling.

  void schedule(Term<Store> &T, Sessions<Store, Client> &Talks) {
    if (!T.mayOrder())
      return;
    std::vector<scheduling::Candidate> Workers;
    for (const auto &[Life, Row] : T.Workers_) {
      if (!Row->usable() || (Machines_ && Machines_->heldBack(Row->Record_)))
        continue;
      const jobs::WorkerUse *Use = T.Table_.useOf(Life);
      Workers.push_back(
          {&Row->Record_,
           Use ? Row->Record_.Room_ - Use->Used_ : Row->Record_.Room_,
           Row->Distrust_ < LeastDistrust ? 0 : Row->Distrust_});
    }
    const scheduling::Scheduler Decide(T.Table_, T.Config_, T.Learned_,
                                       T.Advised_);
    const scheduling::Plan Next = Decide.plan(
        Workers, {now(), framework::clock::toMillis(
                             framework::clock::SystemClock().now())});
    for (const scheduling::StepName &Step : Next.WantAdvice_)
      askAdvice(T, Step, Workers);
    for (const jobs::RunIntended &Item : Next.Starts_) {
      Talks.staged(Item.Run_);
      T.Commits_.stage(Item, [Item, S = Sessions_](CommitOutcome Outcome) {
        if (Outcome == CommitOutcome::Stored && S)
          S->start(Item);
      });
    }
  }

  /// Asks about a step if nobody is asking: the advisor answers one call of
  /// this entry at a time, so the next step waits for the next pass.
  void askAdvice(Term<Store> &T, const scheduling::StepName &Step,
                 const std::vector<scheduling::Candidate> &Workers) {
    const jobs::JobRow *Job = T.Table_.find(Step.Job_);
    const QueueConfig *Queue =
        Job ? T.Config_.find(Job->Spec_.Queue_) : nullptr;
    if (!Queue || AskingAdvisor_ || !T.Advised_.beginAsking(Step, now()))
      return;
    std::vector<WorkerId> Ids;
    for (const scheduling::Candidate &Item : Workers)
      if (Item.Worker_->Pool_ == Queue->Pool_ && Ids.size() < WorkersAskedAbout)
        Ids.push_back(Item.Worker_->Life_.Id_);
    AskingAdvisor_ = true;
    framework::fibers::spawn([this, T = Term_, Step, Ids] {
      const TimePoint AskedAt = now();
      const auto Reply = Ask_(Step, Ids);
      AskingAdvisor_ = false;
      framework::log::info("advice.answered")
          .field("step", Step.str())
          .field("asked", static_cast<std::uint64_t>(Ids.size()))
          .field("good", static_cast<std::uint64_t>(
                             Reply.ok() ? Reply->Good_.size() : 0))
          .field("result", Reply.ok() ? "answered" : "no answer");
      if (!T || T->over())
        return;
      if (Reply.ok())
        T->Advised_.answered(Step, Reply->Good_, Reply->Valid_, AskedAt);
      else
        T->Advised_.unanswered(Step, now());
      T->Commits_.wake();
    });
  }

  /// The advisor takes its time for each worker that is named.
  static constexpr std::size_t WorkersAskedAbout = 30;
  static constexpr std::uint32_t DefaultAttempts = 3;
  static constexpr double LeastDistrust = 0.1;
  /// Part of a worker's distrust that is left after a tick: half after 4 s.
  static constexpr double DistrustFade = 0.983;

  Store &Store_;
  Client &Client_;
  Service &Api_;
  WorkerDirectory Directory_;
  WaveReports Reports_;
  AskAdvisor Ask_;
  Candidacy Mine_;
  journal::CellKeys Keys_;
  CellBounds Bounds_;
  framework::metrics::Registry &Metrics_;
  journal::Leadership<Store> Lead_;
  journal::Holder Seen_;
  CellConfig Config_;
  TermPtr Term_;
  SessionsPtr Sessions_;
  MachinesPtr Machines_;
  std::shared_ptr<JobCalls<Store, Client>> Calls_;
  std::map<WaveNumber, WaveRecord> Waves_;
  OfferFn Offer_;
  /// Peers have been told that they may lead.
  bool Offered_ = false;
  bool TakingBack_ = false;
  std::uint32_t SilentLooks_ = 0;
  TimePoint StoreFailedAt_{};
  bool Campaigning_ = false;
  bool Leaving_ = false;
  bool AskingAdvisor_ = false;
  bool Waited_ = false;
};

} // namespace laburnumspread::cell
