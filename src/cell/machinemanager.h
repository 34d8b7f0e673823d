#pragma once

#include "capacity/upkeepplanner.h"
#include "cell/listreads.h"
#include "cell/machineorders.h"
#include "cell/pooldemand.h"
#include "cell/wavereporter.h"
#include "cell/workersessions.h"
#include "scheduling/scheduler.h"

namespace laburnumspread::cell {

/// Orders the upkeep of machines and moves machines between pools, for one
/// term.
///
/// Two leaders must not alternate on one machine within the platform's lease
/// time, so a new leader sends no orders for machines that the journal shows as
/// ordered recently.
template <store::KeyValueStore Store, WorkerClient Client,
          MachineService Service>
class MachineManager : public std::enable_shared_from_this<
                           MachineManager<Store, Client, Service>> {
public:
  using TermPtr = std::shared_ptr<Term<Store>>;
  using SessionsPtr = std::shared_ptr<WorkerSessions<Store, Client>>;

  static constexpr Duration PlanInterval = std::chrono::milliseconds(100);
  /// Interval between reads of the machine list while a change is expected;
  /// otherwise the longer one applies, since each read is billed.
  static constexpr Duration ListIntervalBusy = std::chrono::milliseconds(1000);
  static constexpr Duration ListIntervalIdle = std::chrono::milliseconds(10000);
  /// Time without a read after which the list counts as lost.
  static constexpr Duration LongestUnread =
      ListIntervalIdle + std::chrono::seconds(3);
  /// The list may be this old when it is requested. What it says about a worker
  /// that replied later is ignored.
  static constexpr Duration MaxListLag = std::chrono::milliseconds(1000);

  MachineManager(TermPtr T, SessionsPtr S, Store &Kv, Service &Api,
                 WaveStatusCodec WaveStatus)
      : Term_(std::move(T)), Sessions_(std::move(S)), Api_(Api),
        Table_(std::make_shared<MachineTable>(std::max(
            Term_->Bounds_.MoveDuration_, Term_->Bounds_.UpkeepDuration_))),
        Orders_(std::make_shared<MachineOrders<Store, Service>>(Term_, Api,
                                                                Table_)),
        Waves_(std::make_shared<WaveReporter<Store>>(Term_, Kv,
                                                     std::move(WaveStatus))) {}

  /// Loads the machines ordered by earlier leaders and starts the list and
  /// planning loops.
  void start() {
    for (const auto &[Machine, Order] : Term_->Table_.machineOrders()) {
      Table_->setHomePool(Machine, Order.HomePool_);
      Table_->blockOrdersUntil(Machine, Term_->StartedAt_ +
                                            Term_->Bounds_.MachineOrderLease_ -
                                            Order.SinceLastOrder_);
    }
    framework::fibers::spawn(
        [Self = this->shared_from_this()] { Self->listLoop(); });
    framework::fibers::spawn(
        [Self = this->shared_from_this()] { Self->planLoop(); });
  }

  /// Sets the keys of the cell; see WaveReporter.
  void setKeys(const journal::CellKeys &Keys) { Waves_->setKeys(Keys); }

  /// Adds waves that were not known before.
  void setWaves(const std::map<WaveNumber, WaveRecord> &Waves) {
    Waves_->add(Waves);
  }

  /// Records that a worker was listed; its record tells the pool of its
  /// machine.
  void recordWorker(const WorkerRecord &Record) {
    Table_->recordWorker(Record, now());
  }

  /// Returns what keeps the worker from new tasks: its machine, or nothing.
  WorkerRestriction restrictionOf(const WorkerRecord &Record) const {
    return Table_->restrictionOf(Record.Machine_);
  }

  /// Returns the machines on their way between pools.
  std::vector<scheduling::CapacityArrival> arrivals() const {
    return Table_->arrivals(now());
  }

  /// Adds the machines to a sample of the leader's pace.
  void describePace(PaceSample &Into) const {
    Into.MachinesAge_ = now() - ListedAt_;
    Into.MachinesOrdered_ = Table_->ordersOpen();
  }

private:
  static TimePoint now() { return Term<Store>::now(); }

  /// Whether upkeep may be ordered. The last upkeep ordered by an earlier
  /// leader may not be in any list yet and would then not count towards the
  /// wave's limit.
  bool maySendUpkeepOrders() const {
    return Orders_->maySendOrders() &&
           now() - Term_->StartedAt_ > Term_->Bounds_.MachineOrderLease_;
  }

  void listLoop() {
    while (!Term_->ended()) {
      const TimePoint RequestedAt = now();
      const auto Read = Api_.list();
      if (Term_->ended())
        return;
      if (Read.ok()) {
        updateFromList(*Read, RequestedAt);
        ListedAt_ = RequestedAt;
        Reads_.recordRead(now());
      } else {
        Reads_.recordFailure(Read.status(), now());
        framework::log::warning("machines.list_failed")
            .field("reason", std::string(Read.status().message()));
      }
      waitForNextList();
    }
  }

  void waitForNextList() {
    const TimePoint WaitStartedAt = now();
    while (!Term_->ended()) {
      framework::fibers::sleepFor(PlanInterval);
      const Duration Waited = now() - WaitStartedAt;
      if (Waited > ListIntervalIdle ||
          (Waited > ListIntervalBusy && awaitsListChange()))
        return;
    }
  }

  /// Whether the machine list could show a change that is waited for.
  bool awaitsListChange() const {
    if (Table_->anyBusy())
      return true;
    for (const auto &[Incarnation, Use] : Term_->Table_.workers())
      if (!Term_->Workers_.contains(Incarnation))
        return true;
    for (const auto &[Incarnation, Row] : Term_->Workers_)
      if ((Row->Unanswered_ > 0 || !Row->Listed_) &&
          Term_->Table_.usageOf(Incarnation) != nullptr)
        return true;
    return Waves_->anyOpen();
  }

  void updateFromList(const std::vector<MachineRecord> &List,
                      TimePoint RequestedAt) {
    const TimePoint ListOf = RequestedAt - MaxListLag;
    const std::set<WorkerIncarnation> EndedByOrder =
        Table_->incarnationsEndedByOrders(ListOf);
    Table_->updateFromList(List, RequestedAt);
    std::vector<WorkerRowPtr> Gone;
    for (const auto &[Incarnation, Row] : Term_->Workers_) {
      const bool Silent = Row->silentSince(ListOf);
      if (!Row->Ended_ && (Silent || EndedByOrder.contains(Incarnation)) &&
          Table_->showsWorkerGone(Row->Record_))
        Gone.push_back(Row);
    }
    for (const WorkerRowPtr &Row : Gone)
      Sessions_->endIncarnation(
          *Row, "the machine list shows its machine as down or gone", false);
    loseRunsOnUnlistedWorkers(ListOf);
  }

  /// Ends runs on workers that have no session and that no listed machine runs.
  void loseRunsOnUnlistedWorkers(TimePoint ListOf) {
    std::vector<WorkerIncarnation> Lost;
    for (const auto &[Incarnation, Use] : Term_->Table_.workers()) {
      const auto Ended = Term_->EndedIncarnations_.find(Incarnation);
      const TimePoint Since = Ended == Term_->EndedIncarnations_.end()
                                  ? Term_->StartedAt_
                                  : Ended->second;
      if (!Term_->Workers_.contains(Incarnation) && Since < ListOf &&
          !Table_->listsWorker(Incarnation.Id_))
        Lost.push_back(Incarnation);
    }
    for (const WorkerIncarnation &Incarnation : Lost)
      Sessions_->loseRuns(Incarnation, "no listed machine runs its worker");
  }

  /// Moves long-running tasks off draining workers at once; finite tasks keep
  /// the time that is left.
  void evacuateDraining() {
    std::vector<jobs::RunName> Leaving;
    for (const auto &[Incarnation, Row] : Term_->Workers_) {
      const jobs::WorkerUsage *Use = Term_->Table_.usageOf(Incarnation);
      if (!Row->Record_.Draining_ || Row->Ended_ || !Use)
        continue;
      for (const jobs::RunName &Run : Use->Runs_) {
        const jobs::StepSpec *Step = Term_->Table_.specOf(Run.Task_);
        const jobs::LiveRun *Live = Term_->Table_.find(Run);
        if (Step && Step->LongRunning_ && Live && !Live->Stopping_)
          Leaving.push_back(Run);
      }
    }
    for (const jobs::RunName &Run : Leaving) {
      framework::log::info("run.evacuate")
          .field("task", Run.Task_.str())
          .field("reason", "its worker is draining");
      Sessions_->stop(Run);
    }
  }

  void planLoop() {
    while (!Term_->ended()) {
      framework::fibers::sleepFor(PlanInterval);
      if (!Table_->listSeen() || !Term_->JournalLoaded_ || Term_->ended())
        continue;
      refreshViews();
      if (Term_->maySendOrders())
        evacuateDraining();
      planUpkeep();
      planMoves();
    }
  }

  /// Updates the machine views from the runs on the workers.
  void refreshViews() {
    Table_->changeViews([&](const MachineId &Id, capacity::MachineView &View) {
      View.Usable_ = false;
      View.Evacuated_ = Term_->Evacuations_.contains(View.Record_.Zone_);
      View.InTransition_ = Table_->busy(Id);
      View.UpkeepOrdered_ = Table_->upkeepOpen(Id);
      View.Used_ = Resources();
      View.UsedByLongRunning_ = Resources();
      View.FiniteRuns_ = 0;
      View.LongRunningRuns_.clear();
    });
    for (const auto &[Incarnation, Row] : Term_->Workers_) {
      capacity::MachineView *const Found =
          Table_->findView(Row->Record_.Machine_);
      if (!Found || Row->Ended_)
        continue;
      capacity::MachineView &View = *Found;
      View.Usable_ = View.Usable_ || Term_->acceptsTasks(*Row);
      const jobs::WorkerUsage *Use = Term_->Table_.usageOf(Incarnation);
      if (!Use)
        continue;
      View.IdleSince_ = now();
      View.Used_ += Use->Used_;
      View.FiniteRuns_ += Use->FiniteRuns_;
      if (Use->FiniteRuns_ == Use->Runs_.size())
        continue;
      for (const jobs::RunName &Run : Use->Runs_)
        if (const jobs::StepSpec *Step = Term_->Table_.specOf(Run.Task_);
            Step && Step->LongRunning_) {
          View.LongRunningRuns_.push_back(Run);
          View.UsedByLongRunning_ += Step->demand();
        }
    }
  }

  std::set<PoolName> standbyPools() const {
    std::set<PoolName> Result;
    for (const auto &[Name, Pool] : Term_->Config_.Pools_)
      if (Pool.Standby_)
        Result.insert(Name);
    return Result;
  }

  // Upkeep.

  void planUpkeep() {
    Waves_->updateStarted();
    const capacity::UpkeepPlanner Planner(Term_->Table_,
                                          Term_->Bounds_.UpkeepDuration_);
    const capacity::UpkeepPlan Plan =
        Planner.plan(Table_->views(), Waves_->waves(), standbyPools(), now());
    Table_->changeViews([&](const MachineId &Id, capacity::MachineView &View) {
      View.Cordoned_ = Plan.Cordon_.contains(Id);
    });
    Waves_->report(Plan);
    if (!maySendUpkeepOrders())
      return;
    for (const jobs::RunName &Run : Plan.Evacuate_) {
      framework::log::info("run.evacuate")
          .field("task", Run.Task_.str())
          .field("reason", "upkeep");
      Sessions_->stop(Run);
    }
    for (const capacity::UpkeepOrder &Order : Plan.Orders_)
      Orders_->upkeep(Order);
  }

  // Moves.

  void planMoves() {
    if (!Orders_->maySendOrders())
      return;
    const auto Orders = capacity::PoolPlanner().plan(
        Table_->views(),
        computePoolDemand(Term_->Table_, Term_->Config_, Term_->Estimates_,
                          now()),
        Table_->homePools(), standbyPools(), now());
    for (const capacity::MoveOrder &Order : Orders)
      Orders_->move(Order);
  }

  TermPtr Term_;
  SessionsPtr Sessions_;
  Service &Api_;
  std::shared_ptr<MachineTable> Table_;
  std::shared_ptr<MachineOrders<Store, Service>> Orders_;
  std::shared_ptr<WaveReporter<Store>> Waves_;
  /// When the latest list that was read was requested.
  TimePoint ListedAt_ = now();
  ListReads Reads_{"machines", LongestUnread, Term_->Metrics_, now()};
};

} // namespace laburnumspread::cell
