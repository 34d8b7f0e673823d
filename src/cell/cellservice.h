#pragma once

#include "cell/callcheck.h"
#include "cell/jobcallhandler.h"
#include "cell/leaderelector.h"
#include "cell/workerfollower.h"
#include "scheduling/scheduler.h"

namespace laburnumspread::cell {

/// Asks the advisor which of the workers may run a step.
using AskAdvisor = std::function<absl::StatusOr<scheduling::AdviceReply>(
    const scheduling::StepName &, const std::vector<WorkerId> &)>;

/// What the holder of a cell does: takes jobs, schedules them and keeps them
/// running. Whether this entry is the holder, LeaderElector says.
template <store::KeyValueStore Store, WorkerClient Client,
          MachineService Service>
class CellService {
public:
  using TermPtr = std::shared_ptr<Term<Store>>;
  using SessionsPtr = std::shared_ptr<WorkerSessions<Store, Client>>;
  using MachinesPtr = std::shared_ptr<MachineManager<Store, Client, Service>>;
  using OfferFn = typename LeaderElector<Store>::OfferFn;

  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  /// Between two attempts to read the journal.
  static constexpr Duration LoadRetryPause = std::chrono::milliseconds(100);
  /// An order may be carried out this long after it was sent (the platform's
  /// word is "seconds later").
  static constexpr Duration MaxOrderDelay = std::chrono::seconds(12);

  CellService(Store &S, Client &C, Service &Api, WorkerDirectory Directory,
              WaveStatusCodec WaveStatus, AskAdvisor Ask, Candidacy Own,
              const journal::CellKeys &Keys, journal::Leader Self,
              CellBounds Bounds, framework::metrics::Registry &Metrics)
      : Store_(S), Client_(C), Api_(Api), Directory_(std::move(Directory)),
        WaveStatus_(std::move(WaveStatus)), AskAdvisor_(std::move(Ask)),
        Keys_(Keys), Bounds_(Bounds), Metrics_(Metrics),
        Elector_(S, Keys, std::move(Self), std::move(Own), leaderCallbacks()) {}

  void start(std::string PeerAddress) {
    Elector_.start(std::move(PeerAddress));
    framework::fibers::spawn([this] { tickLoop(); });
  }

  /// Hands the cell over: what is on its way is committed, then the head is
  /// given up.
  void handOver() {
    Elector_.stopCampaigning();
    const TimePoint Until = now() + std::chrono::seconds(1);
    while (Term_ && !Term_->Commits_.idle() && now() < Until)
      framework::fibers::sleepFor(std::chrono::milliseconds(10));
    Elector_.resign();
  }

  /// How an offer of the leadership reaches the peers.
  void setOfferSender(OfferFn Send) {
    Elector_.setOfferSender(std::move(Send));
  }

  /// The holder with this token cannot reach the store and lets others lead.
  void handleOffer(const peers::LeadershipOffer &Offer) {
    Elector_.handleOffer(Offer);
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
    return serving() && !Term_->ended() && Elector_.isSoleLeader();
  }
  const TermPtr &term() const { return Term_; }
  /// The last holder that was seen; its token is 0 when there is none.
  const journal::Leader &leader() const { return Elector_.leader(); }

  /// Sets the gauges of the term. All are zero when there is none, or when the
  /// store has not confirmed it for so long that nothing is ordered any more: a
  /// holder that is cut off may never hear of its successor.
  void publishGauges(framework::metrics::Registry &Into) const {
    const bool Acts = Term_ && Term_->maySendOrders();
    (Acts ? Term_->gauges() : TermGauges()).publish(Into);
  }

  /// Serves a call if this entry leads; \p Reply may run later, once.
  void handle(const peers::JobCall &Call, const JobReplyFn &Reply) {
    if (!leads())
      return Reply({Call.Sequence_, peers::JobCallStatus::NotLeader, "", 0, 0});
    const auto ReplyWithVersion =
        [Reply, Version = Config_.Version_.value()](peers::JobReply Answer) {
          Answer.ConfigVersion_ = Version;
          Reply(Answer);
        };
    if (const auto Refusal = refusalFor(Call))
      return ReplyWithVersion({Call.Sequence_, *Refusal, "", 0, 0});
    Calls_->handle(Call, Elector_.leaving(), ReplyWithVersion);
  }

private:
  static TimePoint now() { return framework::clock::SteadyClock().now(); }

  LeaderCallbacks leaderCallbacks() {
    LeaderCallbacks Result;
    Result.OnStarted_ = [this] { beginTerm(); };
    Result.OnTokenRaised_ = [this] {
      Term_->Token_ = Elector_.leadership().token();
    };
    Result.OnEnded_ = [this](std::string_view Reason) { endTerm(Reason); };
    Result.IsServing_ = [this] { return serving(); };
    return Result;
  }

  /// Returns the verdict to refuse a call with under a newer configuration, or
  /// nullopt. A resent submission whose job is already stored is not refused.
  std::optional<peers::JobCallStatus>
  refusalFor(const peers::JobCall &Call) const {
    const auto Refusal = refusalByNewerConfig(Config_, Call);
    if (!Refusal || (Call.Kind_ == peers::JobCallKind::Submit &&
                     Term_->Table_.find(jobs::JobId(Call.Job_))))
      return std::nullopt;
    framework::log::info("call.refused_by_newer_config")
        .field("queue", Call.Queue_)
        .field("config", Config_.Version_.value())
        .field("entry_config", Call.ConfigVersion_);
    return Refusal;
  }

  /// Whether there is a term that has read the journal.
  bool serving() const { return Term_ && Term_->JournalLoaded_; }

  // The term.

  void beginTerm() {
    Term_ = std::make_shared<Term<Store>>(Store_, Keys_, Elector_.leadership(),
                                          Metrics_, Bounds_);
    Sessions_ = std::make_shared<WorkerSessions<Store, Client>>(Term_, Client_);
    Machines_ = std::make_shared<MachineManager<Store, Client, Service>>(
        Term_, Sessions_, Store_, Api_, WaveStatus_);
    Machines_->setKeys(Keys_);
    Calls_ = std::make_shared<JobCallHandler<Store, Client>>(Term_, Sessions_);
    Metrics_.counter("takeovers_total").add();
    framework::fibers::spawn(
        [this, T = Term_, Sessions = Sessions_, Orders = Machines_] {
          runTerm(T, Sessions, Orders);
        });
  }

  void endTerm(std::string_view Reason) {
    framework::log::warning("leadership.ended")
        .field("token", Term_->Token_.value())
        .field("reason", Reason);
    Term_->Ended_ = true;
    Term_->Commits_.stop();
    for (const auto &[Life, Row] : Term_->Workers_)
      Row->wake();
    Term_ = nullptr;
    Sessions_ = nullptr;
    Machines_ = nullptr;
    Calls_ = nullptr;
  }

  /// Works for a term from takeover to end, with what was made for it: the
  /// service may hold the next term's by now.
  void runTerm(const TermPtr &T, const SessionsPtr &Sessions,
               const MachinesPtr &Orders) {
    const TimePoint Begun = now();
    if (!load(*T))
      return;
    adoptConfig(*T);
    T->JournalLoaded_ = true;
    Metrics_.histogram("takeover_seconds")
        .record(std::chrono::duration<double>(now() - Begun).count());
    framework::log::info("leadership.begun")
        .field("token", T->Token_.value())
        .field("jobs_open", static_cast<std::uint64_t>(T->Table_.open().size()))
        .field("jobs_known",
               static_cast<std::uint64_t>(T->Table_.jobs().size()))
        .field("runs_unwanted", countUnwantedRuns(*T))
        .field("load_ms", (now() - Begun).count() / 1000);
    framework::fibers::spawn(
        [List = std::make_shared<WorkerFollower<Store, Client, Service>>(
             Store_, Directory_, T, Sessions, Orders)] { List->follow(); });
    Orders->setWaves(Waves_);
    Orders->start();
    T->Commits_.run([this, T, Sessions] { schedule(*T, *Sessions); });
    if (Term_ == T)
      Elector_.endLeadership("the journal cannot be written");
  }

  /// An empty table that knows how many attempts each queue allows.
  static jobs::CellTable emptyTable(const Term<Store> &T) {
    jobs::CellTable Table;
    Table.setAttemptLimit([&T](const QueueName &Name) {
      const QueueConfig *Queue = T.Config_.find(Name);
      return Queue ? Queue->MaxAttempts_ : DefaultMaxAttempts;
    });
    return Table;
  }

  bool load(Term<Store> &T) {
    while (!T.ended()) {
      T.Table_ = emptyTable(T);
      adoptConfig(T);
      const absl::Status Read = T.Log_.load(T.Table_, now());
      if (Read.ok()) {
        T.Table_.restoreAcceptTimes(
            framework::clock::toMillis(framework::clock::SystemClock().now()),
            now());
        // It may have ended while the answer was on its way.
        return !T.ended();
      }
      framework::log::error("journal.load_failed")
          .field("reason", std::string(Read.message()));
      framework::fibers::sleepFor(LoadRetryPause);
    }
    return false;
  }

  /// Live runs of jobs that have ended: an earlier holder did not stop them, or
  /// did not hear of their ends.
  static std::uint64_t countUnwantedRuns(const Term<Store> &T) {
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
      framework::fibers::sleepFor(TickInterval);
      const TermPtr T = Term_;
      if (!T || T->ended() || !T->JournalLoaded_)
        continue;
      if (T->Superseded_) {
        Elector_.endLeadership("a worker has seen a later holder");
        continue;
      }
      for (const auto &[Life, Row] : T->Workers_)
        Row->Distrust_ *= DistrustDecay;
      T->Table_.forgetEnded(now() - Bounds_.StatusRetention_);
      loseRunsOnUnknownWorkers(*T);
      if (!T->Table_.open().empty())
        T->Commits_.wake();
    }
  }

  /// Runs on workers that nobody lists: their leases have run out by now.
  void loseRunsOnUnknownWorkers(Term<Store> &T) {
    if (!Sessions_)
      return;
    std::vector<WorkerIncarnation> Lost;
    for (const auto &[Life, Use] : T.Table_.workers())
      if (!T.Workers_.contains(Life) && now() > lapsedAfter(T, Life))
        Lost.push_back(Life);
    for (const WorkerIncarnation &Life : Lost)
      Sessions_->loseRuns(Life, "unlisted, lease ran out");
  }

  /// When nothing can run any more on a life without a row. A process that has
  /// started again settles the runs of its former life itself; if it is never
  /// listed, an order that is carried out late may still reach it.
  static TimePoint lapsedAfter(const Term<Store> &T,
                               const WorkerIncarnation &Life) {
    const auto Newer = T.Workers_.upper_bound(Life);
    if (Newer != T.Workers_.end() && Newer->first.Id_ == Life.Id_)
      return TimePoint::max();
    const auto Ended = T.EndedLives_.find(Life);
    const TimePoint Orders =
        Ended == T.EndedLives_.end()
            ? T.StartedAt_
            : std::max(T.StartedAt_, Ended->second + MaxOrderDelay);
    return inheritedLeaseExpiry(Orders, T.Bounds_.MaxLease_);
  }

  // Scheduling.

  void schedule(Term<Store> &T, WorkerSessions<Store, Client> &Sessions) {
    if (!T.maySendOrders())
      return;
    std::vector<scheduling::Candidate> Workers;
    for (const auto &[Life, Row] : T.Workers_) {
      if (!Row->acceptsTasks() ||
          (Machines_ && Machines_->heldBack(Row->Record_)))
        continue;
      const jobs::WorkerUsage *Use = T.Table_.usageOf(Life);
      Workers.push_back(
          {&Row->Record_,
           Use ? Row->Record_.Capacity_ - Use->Used_ : Row->Record_.Capacity_,
           Row->Distrust_ < MinDistrust ? 0 : Row->Distrust_});
    }
    const scheduling::Scheduler Decide(T.Table_, T.Config_, T.Estimates_,
                                       T.Advice_);
    const scheduling::Plan Next = Decide.plan(
        Workers, {now(), framework::clock::toMillis(
                             framework::clock::SystemClock().now())});
    for (const scheduling::StepName &Step : Next.AwaitingAdvice_)
      askAdvice(T, Step, Workers);
    for (const jobs::RunIntended &Item : Next.Starts_) {
      Sessions.runStaged(Item.Run_);
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
    if (!Queue || AskingAdvisor_ || !T.Advice_.beginRequest(Step, now()))
      return;
    std::vector<WorkerId> Ids;
    for (const scheduling::Candidate &Item : Workers)
      if (Item.Worker_->Pool_ == Queue->Pool_ &&
          Ids.size() < MaxWorkersPerQuestion)
        Ids.push_back(Item.Worker_->Incarnation_.Id_);
    AskingAdvisor_ = true;
    framework::fibers::spawn([this, T = Term_, Step, Ids] {
      const TimePoint AskedAt = now();
      const auto Reply = AskAdvisor_(Step, Ids);
      AskingAdvisor_ = false;
      framework::log::info("advice.answered")
          .field("step", Step.str())
          .field("asked", static_cast<std::uint64_t>(Ids.size()))
          .field("good", static_cast<std::uint64_t>(
                             Reply.ok() ? Reply->Workers_.size() : 0))
          .field("result", Reply.ok() ? "answered" : "no answer");
      if (!T || T->ended())
        return;
      if (Reply.ok())
        T->Advice_.recordAnswer(Step, Reply->Workers_, Reply->ValidFor_,
                                AskedAt);
      else
        T->Advice_.recordNoAnswer(Step, now());
      T->Commits_.wake();
    });
  }

  /// The advisor takes its time for each worker that is named.
  static constexpr std::size_t MaxWorkersPerQuestion = 30;
  static constexpr std::uint32_t DefaultMaxAttempts = 3;
  static constexpr double MinDistrust = 0.1;
  /// Part of a worker's distrust that is left after a tick: half after 4 s.
  static constexpr double DistrustDecay = 0.983;

  Store &Store_;
  Client &Client_;
  Service &Api_;
  WorkerDirectory Directory_;
  WaveStatusCodec WaveStatus_;
  AskAdvisor AskAdvisor_;
  journal::CellKeys Keys_;
  CellBounds Bounds_;
  framework::metrics::Registry &Metrics_;
  LeaderElector<Store> Elector_;
  CellConfig Config_;
  TermPtr Term_;
  SessionsPtr Sessions_;
  MachinesPtr Machines_;
  std::shared_ptr<JobCallHandler<Store, Client>> Calls_;
  std::map<WaveNumber, WaveRecord> Waves_;
  bool AskingAdvisor_ = false;
};

} // namespace laburnumspread::cell
