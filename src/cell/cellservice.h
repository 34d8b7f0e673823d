#pragma once

#include "cell/callcheck.h"
#include "cell/configinforce.h"
#include "cell/jobcallhandler.h"
#include "cell/leaderelector.h"
#include "cell/taskplanner.h"
#include "cell/termconfig.h"
#include "cell/workerfollower.h"

namespace laburnumspread::cell {

/// The leader's work for a cell: accepts jobs, schedules them and keeps them
/// running. LeaderElector decides whether this entry is the leader.
template <store::KeyValueStore Store, WorkerClient Client,
          MachineService Service>
class CellService {
public:
  using TermPtr = std::shared_ptr<Term<Store>>;
  using SessionsPtr = std::shared_ptr<WorkerSessions<Store, Client>>;
  using MachinesPtr = std::shared_ptr<MachineManager<Store, Client, Service>>;
  using FollowerPtr = std::shared_ptr<WorkerFollower<Store, Client, Service>>;

  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  /// Delay before another attempt to load the journal.
  static constexpr Duration LoadRetryPause = std::chrono::milliseconds(100);
  /// How long a leader that hands over waits for its last write.
  static constexpr Duration MaxFinalWrite = std::chrono::seconds(1);

  CellService(Store &S, Client &C, Service &Api, WorkerDirectory Directory,
              WaveStatusCodec WaveStatus, AskAdvisor Ask, Candidacy Own,
              const journal::CellKeys &Keys, journal::Leader Self,
              CellBounds Bounds, const ConfigInForce &InForce,
              framework::metrics::Registry &Metrics)
      : Store_(S), Client_(C), Api_(Api), Directory_(std::move(Directory)),
        WaveStatus_(std::move(WaveStatus)), AskAdvisor_(std::move(Ask)),
        Keys_(Keys), Bounds_(Bounds), InForce_(InForce), Metrics_(Metrics),
        Evacuations_(Bounds.EvacuationDelay_),
        Elector_(S, Keys, std::move(Self), std::move(Own), leaderCallbacks()) {}

  /// Starts the election, the periodic work and, once elected, the terms. \p
  /// PeerAddress is announced to the peers.
  void start(std::string PeerAddress) {
    Elector_.start(std::move(PeerAddress));
    framework::fibers::spawn([this] { tickLoop(); });
  }

  /// Hands the cell over: plans nothing more, passes calls on, stores what is
  /// staged, and releases the leadership.
  void handOver() {
    Elector_.stopCampaigning();
    const TimePoint ToldAt = now();
    const TermPtr T = Term_;
    if (serving())
      T->Commits_.close(framework::clock::wallDeadline(MaxFinalWrite));
    const TimePoint StoredAt = now();
    Elector_.resign();
    if (T)
      reportHandOver(StoredAt - ToldAt, now() - StoredAt);
  }

  void setPeerLinks(PeerLinks Links) {
    Elector_.setPeerLinks(std::move(Links));
  }

  /// Records the leader that a peer knows of.
  void learnLeader(const peers::LeaderNotice &Notice) {
    Elector_.learnLeader(fromNotice(Notice));
  }

  /// Handles a peer's offer: the leader with its token cannot reach the store
  /// and lets others lead.
  void handleOffer(const peers::LeadershipOffer &Offer) {
    Elector_.handleOffer(Offer);
  }

  /// Sets the bounds for terms that start from now on. Runs of the current term
  /// have received leases under the earlier bounds.
  void setBounds(const CellBounds &Bounds) {
    Bounds_ = Bounds;
    Evacuations_.setBound(Bounds.EvacuationDelay_);
  }

  /// The configuration in force has changed.
  void adoptNewConfig() {
    // A term adopts it once its journal is loaded.
    if (!serving())
      return;
    adoptConfig(*Term_, InForce_.config());
    if (Follower_)
      Follower_->takeInConfiguredWorkers();
  }

  /// Adds or updates a wave of machine upkeep.
  void setWave(const WaveRecord &Wave) {
    Waves_[Wave.Number_] = Wave;
    if (Machines_)
      Machines_->setWaves(Waves_);
  }

  /// Starts no more tasks in the zone.
  void evacuate(const ZoneName &Zone) { Evacuations_.add(Zone); }
  /// Sets the evacuated zones to those of a full read, requested at the given
  /// time.
  void replaceEvacuations(std::set<ZoneName> Zones, TimePoint RequestedAt) {
    Evacuations_.replaceAll(std::move(Zones), RequestedAt);
    if (Term_)
      Term_->Commits_.wake();
  }
  /// Records that all evacuations ordered before the given time are known.
  void confirmEvacuations(TimePoint RequestedAt) {
    Evacuations_.confirm(RequestedAt);
  }

  /// Whether this entry may answer calls: it leads, no other entry can, and it
  /// is not handing over.
  bool leads() const {
    return serving() && !Term_->ended() && !Term_->Commits_.closing() &&
           Elector_.isSoleLeader();
  }
  /// The current term; null if this entry does not lead.
  const TermPtr &term() const { return Term_; }
  /// The latest leader known; its token is 0 if there is none.
  const journal::Leader &leader() const { return Elector_.leader(); }

  /// Publishes the metrics of the term. All are zero if there is none, or if
  /// the store has not confirmed it for so long that no more orders are sent: a
  /// leader without a connection to the store may never learn of its successor.
  void publishGauges(framework::metrics::Registry &Into) const {
    Into.gauge("zones_evacuated")
        .set(static_cast<double>(Evacuations_.zones().size()));
    Into.gauge("evacuations_current").set(Evacuations_.current(now()) ? 1 : 0);
    const bool Active = Term_ && Term_->maySendOrders();
    TermGauges Gauges = Active ? Term_->gauges() : TermGauges();
    if (Active && Planner_)
      Gauges.Restricted_ = Planner_->countWorkers();
    Gauges.publish(Into);
  }

  /// Serves a call if this entry leads and the call was not meant for another
  /// term, else replies NotLeader and the latest leader known. \p Reply is
  /// called once, possibly later.
  ///
  /// All answers about jobs come from here, so a leader that may lack a change
  /// that must be in force gives none: it would serve removed queues and
  /// withdrawn keys for entries that lack the change too. The entry asks again
  /// while its caller waits.
  void handle(const peers::JobCall &Call, const JobReplyFn &Reply) {
    const auto Complete =
        [Reply, Attempt = Call.Attempt_, SentAt = Call.SentAt_, ReadAt = now(),
         Version = InForce_.version().value()](peers::JobReply Answer) {
          Answer.Attempt_ = Attempt;
          Answer.ConfigVersion_ = Version;
          if (SentAt)
            Answer.Timing_ = {*SentAt, now() - ReadAt};
          Reply(Answer);
        };
    if (!leads() || isForAnotherTerm(Call, Term_->tokens()))
      return Complete(denial(Call));
    if (!InForce_.current(now()) ||
        Calls_->awaitsConfig(InForce_.config(), Call))
      return Complete(denialWithoutConfig(Call));
    if (const auto Refusal = Calls_->refusalUnder(InForce_.config(), Call))
      return Calls_->reject(Call, *Refusal, Complete);
    Calls_->handle(Call, Complete);
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

  /// Returns the reply to a call that another entry has to serve.
  peers::JobReply denial(const peers::JobCall &Call) const {
    peers::JobReply Result;
    Result.Sequence_ = Call.Sequence_;
    Result.Status_ = peers::JobCallStatus::NotLeader;
    Result.Leader_ = toNotice(leader());
    if (Elector_.leaving())
      Result.Refusal_ = peers::RefusalReason::Leaving;
    return Result;
  }

  /// Returns the reply of a leader whose configuration is not current.
  peers::JobReply denialWithoutConfig(const peers::JobCall &Call) {
    Metrics_.counter("calls_denied_total{reason=\"config_not_current\"}").add();
    peers::JobReply Result = denial(Call);
    Result.Refusal_ = peers::RefusalReason::ConfigNotCurrent;
    return Result;
  }

  /// Whether there is a term that has replayed the journal.
  bool serving() const { return Term_ && Term_->JournalLoaded_; }

  // Term.

  void beginTerm() {
    Term_ = std::make_shared<Term<Store>>(Store_, Keys_, Elector_.leadership(),
                                          Metrics_, Bounds_, Evacuations_);
    Sessions_ = std::make_shared<WorkerSessions<Store, Client>>(Term_, Client_);
    Machines_ = std::make_shared<MachineManager<Store, Client, Service>>(
        Term_, Sessions_, Store_, Api_, WaveStatus_);
    Machines_->setKeys(Keys_);
    Calls_ = std::make_shared<JobCallHandler<Store, Client>>(Term_, Sessions_);
    Metrics_.counter("takeovers_total").add();
    // Callers wait for its commits.
    framework::fibers::spawnUrgent(
        [this, T = Term_, Sessions = Sessions_, Machines = Machines_] {
          runTerm(T, Sessions, Machines);
        });
  }

  void endTerm(std::string_view Reason) {
    framework::log::warning("leadership.ended")
        .field("token", Term_->Token_.value())
        .field("reason", Reason);
    Term_->Ended_ = true;
    Term_->Commits_.stop();
    Sessions_->close();
    Term_ = nullptr;
    Sessions_ = nullptr;
    Machines_ = nullptr;
    Follower_ = nullptr;
    Planner_ = nullptr;
    Calls_ = nullptr;
  }

  /// \p Storing is the time until the last write was answered, \p Releasing
  /// that of removing the head key.
  void reportHandOver(Duration Storing, Duration Releasing) {
    Metrics_.histogram("hand_over_seconds")
        .record(std::chrono::duration<double>(Storing + Releasing).count());
    framework::log::warning("leadership.handed_over")
        .field("storing_ms", Storing.count() / 1000)
        .field("releasing_ms", Releasing.count() / 1000);
  }

  /// Runs a term from takeover to end. Uses the term's own objects, since the
  /// members may already belong to the next term.
  void runTerm(const TermPtr &T, const SessionsPtr &Sessions,
               const MachinesPtr &Machines) {
    const TimePoint StartedAt = now();
    if (!load(*T))
      return;
    recordQueues(*T);
    adoptConfig(*T, InForce_.config());
    T->JournalLoaded_ = true;
    Metrics_.histogram("takeover_seconds")
        .record(std::chrono::duration<double>(now() - StartedAt).count());
    framework::log::info("leadership.begun")
        .field("token", T->Token_.value())
        .field("jobs_open", static_cast<std::uint64_t>(T->Table_.open().size()))
        .field("jobs_known",
               static_cast<std::uint64_t>(T->Table_.jobs().size()))
        .field("runs_unwanted", countUnwantedRuns(*T))
        .field("load_ms", (now() - StartedAt).count() / 1000);
    const auto Follower =
        std::make_shared<WorkerFollower<Store, Client, Service>>(
            Store_, Directory_, T, Sessions, Machines);
    if (Term_ == T)
      Follower_ = Follower;
    // A watch that is answered late is given up, and the full list read again.
    framework::fibers::spawnUrgent([Follower] { Follower->follow(); });
    Machines->setWaves(Waves_);
    Machines->start();
    const auto Planner = std::make_shared<TaskPlanner<Store, Client, Service>>(
        T, Sessions, Machines, AskAdvisor_);
    if (Term_ == T)
      Planner_ = Planner;
    T->Commits_.run([Planner] { Planner->runPass(); });
    if (Term_ == T && !T->Commits_.closing())
      Elector_.endLeadership("the journal cannot be written");
  }

  /// Returns an empty table that knows the attempt limit of each queue.
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
      T.Config_ = InForce_.config();
      const absl::Status Read =
          T.Log_.load(T.Table_, now(), [&T] { return T.ended(); });
      if (Read.ok()) {
        T.History_.setFormerLeader(T.Log_.hasFormerLeader());
        T.Table_.restoreAcceptTimes(
            framework::clock::toMillis(framework::clock::SystemClock().now()),
            now());
        // The term may have ended while the load was in progress.
        return !T.ended();
      }
      framework::log::error("journal.load_failed")
          .field("reason", std::string(Read.message()));
      framework::fibers::sleepFor(LoadRetryPause);
    }
    return false;
  }

  /// Returns the number of live runs of jobs that have ended: an earlier leader
  /// did not stop them, or did not learn of their ends.
  static std::uint64_t countUnwantedRuns(const Term<Store> &T) {
    std::uint64_t Count = 0;
    for (const auto &[Id, Job] : T.Table_.jobs())
      if (Job.ended())
        Count += Job.LiveRuns_;
    return Count;
  }

  // Periodic work.

  void tickLoop() {
    while (true) {
      const TimePoint DueAt = now() + TickInterval;
      framework::fibers::sleepFor(TickInterval);
      const TermPtr T = Term_;
      if (!T || T->ended() || !T->JournalLoaded_)
        continue;
      T->Load_.record(now() - DueAt, now());
      if (T->Superseded_) {
        Elector_.endLeadership(
            "a worker refused the fencing token: a later leader exists");
        continue;
      }
      for (const auto &[Incarnation, Row] : T->Workers_)
        Row->FailureScore_ *= FailureScoreDecay;
      if (Sessions_ && T->maySendOrders())
        Sessions_->verifyFailedDomains();
      if (Sessions_)
        Sessions_->maintain();
      T->History_.forgetOldHolds(now());
      T->Table_.forgetEnded(now() - Bounds_.StatusRetention_);
      T->Advice_.forgetEnded([&](const jobs::JobId &Id) {
        const jobs::JobRow *Job = T->Table_.find(Id);
        return Job && !Job->ended();
      });
      forgetRemovedQueues(*T, InForce_.config());
      loseRunsOnUnknownWorkers(*T);
      if (Planner_ && !T->Commits_.closing())
        Planner_->runOutagePass();
      if (T->Pace_.due(now()))
        reportPace(*T);
      if (!T->Table_.open().empty())
        T->Commits_.wake();
    }
  }

  void reportPace(Term<Store> &T) const {
    PaceSample Sample;
    Sample.ProcessorTime_ = processorTime();
    Sample.FiberDelay_ = T.Load_.delay();
    Sample.StartDelay_ = T.StartDelay_.expected();
    Sample.WorkersAge_ = now() - T.WorkersSeenAt_;
    if (Sessions_)
      Sample.UnansweredStarts_ = Sessions_->unansweredStarts();
    Sample.MaySendStarts_ = T.maySendStarts();
    if (Machines_)
      Machines_->describePace(Sample);
    if (Planner_)
      Sample.Workers_ = Planner_->countWorkers();
    T.Pace_.report(Sample, now());
  }

  /// Ends runs on workers that no list contains once their leases have expired.
  void loseRunsOnUnknownWorkers(Term<Store> &T) {
    if (!Sessions_)
      return;
    std::vector<WorkerIncarnation> Lost;
    for (const auto &[Incarnation, Use] : T.Table_.workers())
      if (!T.Workers_.contains(Incarnation) &&
          now() > leaseExpiryOf(T, Incarnation))
        Lost.push_back(Incarnation);
    for (const WorkerIncarnation &Incarnation : Lost)
      Sessions_->loseRuns(Incarnation,
                          "worker not listed and its lease has expired");
  }

  /// Returns the time after which no run can be active on an incarnation that
  /// is not in the worker table. A restarted process settles the runs of its
  /// former incarnation itself; if it is never listed, an order that is
  /// executed late may still reach it.
  static TimePoint leaseExpiryOf(const Term<Store> &T,
                                 const WorkerIncarnation &Incarnation) {
    const auto Newer = T.Workers_.upper_bound(Incarnation);
    if (Newer != T.Workers_.end() && Newer->first.Id_ == Incarnation.Id_)
      return TimePoint::max();
    const auto Ended = T.EndedIncarnations_.find(Incarnation);
    const TimePoint LastOrder =
        Ended == T.EndedIncarnations_.end()
            ? T.StartedAt_
            : std::max(T.StartedAt_, Ended->second + MaxOrderDelay);
    return inheritedLeaseExpiry(LastOrder, T.Bounds_.MaxLease_);
  }

  static constexpr std::uint32_t DefaultMaxAttempts = 3;
  /// Factor applied to the failure scores of all workers at each tick; halves
  /// them in 4 s.
  static constexpr double FailureScoreDecay = 0.983;

  Store &Store_;
  Client &Client_;
  Service &Api_;
  WorkerDirectory Directory_;
  WaveStatusCodec WaveStatus_;
  AskAdvisor AskAdvisor_;
  journal::CellKeys Keys_;
  CellBounds Bounds_;
  const ConfigInForce &InForce_;
  framework::metrics::Registry &Metrics_;
  ZoneEvacuations Evacuations_;
  LeaderElector<Store> Elector_;
  TermPtr Term_;
  SessionsPtr Sessions_;
  MachinesPtr Machines_;
  /// Set once the journal of the term is loaded, and the planner too.
  FollowerPtr Follower_;
  std::shared_ptr<TaskPlanner<Store, Client, Service>> Planner_;
  std::shared_ptr<JobCallHandler<Store, Client>> Calls_;
  std::map<WaveNumber, WaveRecord> Waves_;
};

} // namespace laburnumspread::cell
