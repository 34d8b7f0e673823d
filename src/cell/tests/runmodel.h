#pragma once

#include "cell/tests/modelworker.h"
#include "cell/workerhistory.h"
#include "scheduling/outagestarts.h"

#include <rapidcheck.h>

#include <array>

// Simulates workers, leaders and the journal in virtual time around the real
// rules (RunTracker, WorkerRow, CellTable). Orders are executed at once, late
// or never, replies are lost, leases expire, workers restart and execute orders
// that were meant for their former incarnations, a leader
// continues for a while after its successor has taken over, jobs are cancelled,
// and a leader knows no worker before it is listed. Tasks of every second job
// are speculative, and some get a second run. The store may stop answering one
// leader, which goes on with the next steps of its jobs; the group that it was
// writing, and a part of what it has staged since, may be stored or not. The
// model checks that under every schedule no other task runs in two places and
// none in three, no run of a task is ordered after its end was stored, no step
// starts before those that it depends on have ended, failed ends of all runs
// count, and no worker receives more than fits. Once the adversary stops, the
// runs of ended jobs and of tasks that are done must end within the time
// allowed for a cancel.
//
// Fibers of WorkerSessions and RunStopper decide when a stop is sent, and keep
// polling a worker with live runs. The model repeats that part: one stop when
// it is ordered and, after each report, one for each unwanted run without a
// stop in flight.

namespace laburnumspread::cell::model {

using jobs::Event;
using jobs::JobId;

constexpr auto StartWindow = 1500ms;
constexpr auto StoreLease = 1000ms;
constexpr std::size_t WorkerCount = 2;
constexpr std::uint32_t TaskCount = 2;
/// The second step depends on the first.
constexpr std::uint32_t StepCount = 2;
/// Minimum number of open jobs, so that a new job replaces a cancelled one.
constexpr std::size_t OpenJobs = 2;
constexpr int StartAttempts = 2;
/// A reply that has not arrived after this time is lost.
constexpr auto AnswerWait = 300ms;
/// Time that the platform allows for the tasks of a cancelled job to end: for
/// the cancel, then for the stop.
constexpr auto CancelTime = 3000ms + 200ms;
/// While the adversary is quiet, a message and its reply take one tick each.
constexpr auto QuietTick = 50ms;
constexpr int MaxTicksToList = 20;
/// The limit of a table for which none is set.
constexpr std::uint32_t AttemptLimit = 3;
const Resources TaskDemand{1000, 0, 0};

struct Journal {
  FencingToken Head_;
  std::vector<Event> Log_;
};

/// An entry that leads, or assumes that it does.
struct ModelLeader : std::enable_shared_from_this<ModelLeader> {
  explicit ModelLeader(FencingToken Token, TimePoint Now)
      : Token_(Token), ConfirmedAt_(Now), StartedAt_(Now), Tracker_(Table_),
        History_(Now), Newest_(Token) {}

  const FencingToken Token_;
  TimePoint ConfirmedAt_;
  TimePoint StartedAt_;
  jobs::CellTable Table_;
  RunTracker Tracker_;
  /// Null for workers that are not known.
  std::array<WorkerRowPtr, WorkerCount> Rows_;
  std::set<WorkerIncarnation> EndedIncarnations_;
  WorkerHistory History_;
  /// The latest revision of the store at which this leader's head was in it.
  FencingToken Newest_;
  /// Runs with a stop that was neither answered nor given up.
  std::set<RunName> StopsInFlight_;
  /// Runs that are sent when their worker replies to this leader for the first
  /// time.
  std::map<WorkerIncarnation, std::vector<RunName>> AwaitingFirstReply_;
  bool Active_ = true;
  /// Whether the store does not answer this leader. The group that it was
  /// writing then is in flight; what comes later is staged. The group is open
  /// until the first event, and may be stored although no answer arrives.
  bool StoreDown_ = false;
  bool GroupOpen_ = false;
  bool GroupStored_ = false;
  std::vector<Event> InFlight_;
  std::vector<Event> Staged_;
  scheduling::UnsentEvents Unsent_;

  bool maySendOrders(TimePoint Now) const {
    return Active_ && Now - ConfirmedAt_ < StoreOutageTolerance;
  }
  bool isSoleLeader(TimePoint Now) const {
    return Active_ && Now - ConfirmedAt_ < StoreLease;
  }
};

using LeaderPtr = std::shared_ptr<ModelLeader>;

/// An order in transit.
struct Message {
  enum class Kind {
    Start,
    Hold,
    Stop,
    /// Stops a run that was sent to a former incarnation.
    StopStaleStart,
    /// Stops a run that the journal does not show on the worker.
    StopUnknown,
  };
  Kind Kind_ = Kind::Hold;
  LeaderPtr From_;
  std::size_t To_ = 0;
  WorkerRowPtr Row_;
  std::int64_t StartedMs_ = 0;
  TimePoint SentAt_{};
  StartOrder Start_;
  HoldOrder Hold_;
  int Attempt_ = 0;
  bool Executed_ = false;
  /// The sender no longer waits for the reply.
  bool Abandoned_ = false;
  OrderReply Reply_;
  HoldReply Report_;
};

using MessagePtr = std::shared_ptr<Message>;

class Model {
public:
  /// Workers have room for \p TasksPerWorker tasks.
  explicit Model(std::size_t TasksPerWorker = 1)
      : TasksPerWorker_(TasksPerWorker) {
    for (std::size_t I = 0; I < WorkerCount; ++I) {
      Workers_[I].Id_ = WorkerId("w" + std::to_string(I));
      Workers_[I].Rate_ = I == 0 ? MinClockRate : 1;
    }
    takeOver(AllWorkers);
  }

  /// Executes one step of the adversary.
  void step(int Choice, int Detail) {
    switch (Choice) {
    case 0:
      return passTime(Detail);
    case 1:
      return startTask(Detail);
    case 2:
      return holdWorker(Detail);
    case 3:
    case 4:
      return execute(Detail);
    case 5:
    case 6:
      return deliverAnswer(Detail);
    case 7:
      return loseAnswer(Detail);
    case 8:
      return finishRun(Detail);
    case 9:
      // An earlier process of the same entry has ended, so its lease need not
      // expire first.
      if (Detail % 4 == 0)
        Leaders_.back()->Active_ = false;
      if (Now_ - Leaders_.back()->ConfirmedAt_ > StoreLease ||
          !Leaders_.back()->Active_)
        takeOver(Detail / 4);
      return;
    case 10:
      if (Detail % 4 < 2)
        Workers_[pick(Detail, WorkerCount)].restart(Now_);
      return;
    case 11:
      return stopRun(Detail);
    case 12:
      if (Detail / 3 % 4 == 0)
        cancelJob(Detail);
      return;
    case 13:
    case 14:
      return changeList(Detail);
    // Uninterrupted steps, so that schedules make progress.
    case 15:
      startTask(Detail);
      return deliverLast();
    case 16:
      holdWorker(Detail);
      return deliverLast();
    case 17:
      return deliverMessages();
    case 18:
      return listAllWorkers(*Leaders_.back());
    case 19:
      if (Detail / 3 % 4 == 0)
        settle(Detail);
      return;
    case 20:
      if (Detail / 3 % 2 == 0)
        changeStore(Detail);
      return;
    case 21:
      return startInOutage(Detail);
    // Uninterrupted steps: tasks end while the store is down, and the next ones
    // start.
    case 22:
    case 23:
      return continueInOutage(Detail);
    case 24:
      return startCopy(Detail);
    case 25:
    case 26:
      startCopy(Detail);
      return deliverLast();
    case 27:
    case 28:
      return endOneOfTwo(Detail);
    default:
      return;
    }
  }

  /// Cancels a last job and stops the adversary: the last leader stays, workers
  /// are listed one after the other, and every message is executed and
  /// answered. After the time allowed for a cancel, no run of an ended job or
  /// of a task that is done, and none that this leader ordered to stop, may be
  /// left on the workers or in the tables.
  void settle(int Detail) {
    if (Leaders_.back()->StoreDown_)
      storeReturns(*Leaders_.back(), Detail);
    if (Detail % 2 == 0) {
      startTask(Detail / 2);
      deliverLast();
      startCopy(Detail / 2 + 1);
      deliverLast();
      endOneOfTwo(Detail / 2);
    }
    cancelJob(Detail);
    if (!Leaders_.back()->Active_)
      takeOver(Detail);
    RunsToStop_ += runsOfEndedJobs();
    CopiesToStop_ += runsOfDoneTasks();
    const TimePoint Until = Now_ + CancelTime;
    for (int Tick = 0; Now_ < Until; ++Tick)
      runQuietTick(Tick, Detail);
    RC_ASSERT(runsOfEndedJobs() == 0u);
    RC_ASSERT(runsOfDoneTasks() == 0u);
    const jobs::CellTable &Table = Leaders_.back()->Table_;
    for (const auto &[Incarnation, Use] : Table.workers())
      for (const RunName &Run : Use.Runs_) {
        RC_ASSERT(!Table.find(Run.Task_.Job_)->ended());
        RC_ASSERT(!Table.find(Run.Task_)->Done_);
        RC_ASSERT(!Table.find(Run)->Stopping_);
      }
    checkJournal(Table);
  }

  static constexpr int Choices = 29;
  static constexpr int Details = 60;

  std::uint64_t starts() const { return Starts_; }
  /// Number of starts that were sent before their intents were stored, and of
  /// those that another leader took over.
  std::uint64_t outageStarts() const { return OutageStarts_; }
  std::uint64_t adoptedStarts() const { return AdoptedStarts_; }
  /// Number of runs of ended jobs that were active when the adversary stopped.
  std::uint64_t runsToStop() const { return RunsToStop_; }
  /// Number of starts beside an active run of the same task.
  std::uint64_t copies() const { return Copies_; }
  /// Number of runs of tasks that were done, in jobs that continued, when the
  /// adversary stopped.
  std::uint64_t copiesToStop() const { return CopiesToStop_; }
  /// Number of reports into which not all ends of their worker fitted.
  std::uint64_t cutReports() const { return CutReports_; }
  /// Number of new incarnations that leaders had to call.
  std::uint64_t callsToNewIncarnations() const {
    return CallsToNewIncarnations_;
  }

private:
  static constexpr int AllWorkers = (1 << WorkerCount) - 1;

  Resources workerCapacity() const {
    Resources Result;
    for (std::size_t I = 0; I < TasksPerWorker_; ++I)
      Result += TaskDemand;
    return Result;
  }

  static std::size_t pick(int Detail, std::size_t Size) {
    return static_cast<std::size_t>(Detail) % Size;
  }

  /// The store confirms the leader meanwhile, or does not.
  void passTime(int Detail) {
    Now_ += std::chrono::milliseconds(20 + Detail * 37);
    if (Detail % 4 != 0 && !Leaders_.back()->StoreDown_)
      Leaders_.back()->ConfirmedAt_ = Now_;
  }

  /// Prefers the newest leader; earlier ones may still be active.
  LeaderPtr someLeader(int Detail) {
    return Detail % 3 == 0 ? Leaders_[pick(Detail / 3, Leaders_.size())]
                           : Leaders_.back();
  }

  /// Starts a leader. The bits of \p Listed select the workers that it knows
  /// when it looks for runs that its predecessors left behind.
  void takeOver(int Listed) {
    // The former leader's head key is gone, so the store no longer confirms it.
    Journal_.Head_ = FencingToken(++Revision_);
    auto Leader = std::make_shared<ModelLeader>(Journal_.Head_, Now_);
    for (const Event &Item : Journal_.Log_)
      Leader->Table_.apply(Item, Now_);
    Leader->History_.setFormerLeader(!Leaders_.empty());
    Leaders_.push_back(Leader);
    for (std::size_t I = 0; I < WorkerCount; ++I)
      if ((Listed >> I) % 2 == 1)
        listWorker(*Leader, I, Workers_[I].StartedMs_);
    for (const auto &[Id, Job] : Leader->Table_.jobs())
      if (Job.ended() && Job.LiveRuns_ > 0)
        stopJob(Leader, Id);
  }

  void changeList(int Detail) {
    const LeaderPtr Leader = someLeader(Detail);
    const std::size_t I = pick(Detail, WorkerCount);
    const int Change = Detail / 6 % 5;
    if (Change == 0)
      return unlistWorker(*Leader, I);
    // The entry of a former incarnation may stay listed for some seconds.
    listWorker(*Leader, I, Workers_[I].StartedMs_ - (Change == 1 ? 1 : 0));
  }

  void listWorker(ModelLeader &Leader, std::size_t I, std::int64_t StartedMs) {
    const WorkerIncarnation Incarnation{Workers_[I].Id_, StartedMs};
    WorkerRowPtr &Row = Leader.Rows_[I];
    if (StartedMs < 1 || Leader.EndedIncarnations_.contains(Incarnation) ||
        (Row && Row->Record_.Incarnation_.StartedMs_ > StartedMs))
      return;
    if (Row && Row->Record_.Incarnation_ == Incarnation) {
      Row->Listed_ = true;
      return;
    }
    if (const WorkerRowPtr Former = Row)
      endIncarnation(Leader, Former);
    Row = std::make_shared<WorkerRow>();
    Row->Record_.Incarnation_ = Incarnation;
    Row->ClockAt_ = Now_;
    Row->MayRunStaleStarts_ = Leader.Tracker_.mayRunStaleStarts(Incarnation);
    const Duration Age = Now_ - Workers_[I].StartedAt_;
    Row->FormerOrdersUntil_ =
        Leader.History_.formerOrdersUntil(Incarnation.Id_, Age, Now_);
    CallsToNewIncarnations_ += Row->mayExecuteFormerOrders(Now_);
  }

  void listAllWorkers(ModelLeader &Leader) {
    for (std::size_t I = 0; I < WorkerCount; ++I)
      listWorker(Leader, I, Workers_[I].StartedMs_);
  }

  /// The row is removed once there is no more reason to poll the worker.
  static void unlistWorker(ModelLeader &Leader, std::size_t I) {
    WorkerRowPtr &Row = Leader.Rows_[I];
    if (!Row)
      return;
    Row->Listed_ = false;
    if (!needsHold(Leader, *Row))
      Row = nullptr;
  }

  void endIncarnation(ModelLeader &Leader, const WorkerRowPtr &Row) {
    Row->Ended_ = true;
    Leader.EndedIncarnations_.insert(Row->Record_.Incarnation_);
    Leader.History_.recordEnd(*Row);
    endFirstReplyWait(Leader.shared_from_this(), Row);
  }

  static bool needsHold(const ModelLeader &Leader, const WorkerRow &Row) {
    const bool ListedButSilent = Row.Listed_ && Row.Unanswered_ > 0;
    return !Row.Synced_ || Row.MayRunStaleStarts_ || ListedButSilent ||
           Row.EndsStored_ > Row.EndsAcknowledged_ ||
           Leader.Table_.usageOf(Row.Record_.Incarnation_) != nullptr;
  }

  /// Commits events, or ends the leader.
  bool commit(ModelLeader &Leader, const std::vector<Event> &Events) {
    if (Leader.StoreDown_)
      return stage(Leader, Events);
    if (Leader.Token_ != Journal_.Head_) {
      Leader.Active_ = false;
      return false;
    }
    Leader.ConfirmedAt_ = Now_;
    Leader.Newest_ = FencingToken(++Revision_);
    for (const Event &Item : Events) {
      Journal_.Log_.push_back(Item);
      Leader.Table_.apply(Item, Now_);
    }
    return true;
  }

  /// Applies events that cannot be stored now.
  bool stage(ModelLeader &Leader, const std::vector<Event> &Events) {
    const bool First = std::exchange(Leader.GroupOpen_, false);
    for (const Event &Item : Events) {
      const auto *End = std::get_if<jobs::RunEnded>(&Item);
      const jobs::LiveRun *Live = End ? Leader.Table_.find(End->Run_) : nullptr;
      if (!First && Live && End->Kind_ == EndKind::Done)
        Leader.Unsent_.Ends_.push_back({End->Run_, Live->Worker_});
      (First ? Leader.InFlight_ : Leader.Staged_).push_back(Item);
      Leader.Table_.apply(Item, Now_);
    }
    if (First && Leader.GroupStored_ && Leader.Token_ == Journal_.Head_)
      store(Leader.InFlight_);
    return true;
  }

  void store(const std::vector<Event> &Events) {
    Journal_.Log_.insert(Journal_.Log_.end(), Events.begin(), Events.end());
  }

  void changeStore(int Detail) {
    ModelLeader &Leader = *someLeader(Detail);
    if (!Leader.Active_)
      return;
    if (Leader.StoreDown_)
      return storeReturns(Leader, Detail / 6);
    Leader.StoreDown_ = true;
    Leader.GroupOpen_ = Detail / 6 % 2 == 0;
    Leader.GroupStored_ = Detail / 12 % 2 == 0;
  }

  /// Stores what the leader has staged, all of it or a part after which the
  /// leader ends.
  void storeReturns(ModelLeader &Leader, int Detail) {
    Leader.StoreDown_ = false;
    if (Leader.Token_ != Journal_.Head_) {
      Leader.Active_ = false;
      return;
    }
    if (!Leader.GroupStored_)
      store(Leader.InFlight_);
    if (Detail % 3 == 0) {
      Leader.Staged_.resize(pick(Detail / 3, Leader.Staged_.size() + 1));
      Leader.Active_ = false;
    }
    store(Leader.Staged_);
    Leader.ConfirmedAt_ = Now_;
    Leader.InFlight_.clear();
    Leader.Staged_.clear();
    Leader.Unsent_ = {};
    for (const WorkerRowPtr &Row : Leader.Rows_)
      if (Row)
        Row->EndsStored_ = Row->EndsStaged_;
  }

  void startInOutage(int Detail) {
    const LeaderPtr Leader = someLeader(Detail);
    if (!Leader->StoreDown_ || !Leader->maySendOrders(Now_))
      return;
    std::vector<scheduling::Candidate> Candidates;
    for (const WorkerRowPtr &Row : Leader->Rows_)
      if (Row && acceptsTasks(*Leader, *Row) && Row->Synced_) {
        const auto *Use = Leader->Table_.usageOf(Row->Record_.Incarnation_);
        Candidates.push_back(
            {&Row->Record_,
             Use ? workerCapacity() - Use->Used_ : workerCapacity(), 0});
      }
    for (const jobs::RunIntended &Item : scheduling::planOutageStarts(
             Leader->Table_, config(), Leader->Unsent_, Candidates)) {
      if (!fitsReport(*Leader, Item.Worker_))
        continue;
      ++OutageStarts_;
      Leader->Tracker_.runStaged(Item.Run_);
      Leader->Table_.apply(Item, Now_);
      Leader->Staged_.insert(Leader->Staged_.begin(), Item);
      Leader->Unsent_.Starts_.push_back(Item);
      for (const WorkerRowPtr &Row : Leader->Rows_)
        if (Row && Row->Record_.Incarnation_ == Item.Worker_)
          sendStart(Leader, Row, Item.Run_);
    }
  }

  static bool fitsReport(const ModelLeader &Leader,
                         const WorkerIncarnation &Worker) {
    const auto *Use = Leader.Table_.usageOf(Worker);
    for (const WorkerRowPtr &Row : Leader.Rows_)
      if (Row && Row->Record_.Incarnation_ == Worker)
        return Row->oneMoreEndFits(Use ? Use->Runs_.size() : 0,
                                   ModelEndsPerReport);
    return false;
  }

  void continueInOutage(int Detail) {
    const LeaderPtr Leader = Leaders_.back();
    if (!Leader->Active_)
      return;
    if (!Leader->StoreDown_) {
      for (const int Worker : {2, 1}) {
        startTask(Worker);
        deliverLast();
      }
      changeStore(6 * Detail + 1);
    }
    for (std::size_t I = 0; I < WorkerCount; ++I)
      for (std::uint32_t T = 0; T < TaskCount; ++T) {
        if ((Detail >> I) % 2 == 0)
          finishRun(static_cast<int>(I) + 6);
        sendHold(Leader, I);
        deliverLast();
      }
    startInOutage(1);
    if (Detail % 3 != 0)
      deliverLast();
  }

  static const CellConfig &config() {
    static const CellConfig Config = [] {
      CellConfig Result;
      Result.Queues_.emplace_back().Name_ = QueueName("q");
      return Result;
    }();
    return Config;
  }

  bool acceptsTasks(const ModelLeader &Leader, const WorkerRow &Row) const {
    return Row.acceptsTasks() && !Leader.History_.mayDropUnreadEnds(Row, Now_);
  }

  void startTask(int Detail) {
    const LeaderPtr Leader = someLeader(Detail);
    if (!Leader->maySendOrders(Now_) || Leader->StoreDown_)
      return;
    const std::size_t I = pick(Detail, WorkerCount);
    const WorkerRowPtr Row = Leader->Rows_[I];
    if (!Row || !acceptsTasks(*Leader, *Row))
      return;
    const jobs::WorkerUsage *Use =
        Leader->Table_.usageOf(Row->Record_.Incarnation_);
    if (Use && !(Use->Used_ + TaskDemand).fitsInto(workerCapacity()))
      return;
    if (Use && !Row->Synced_)
      return;
    if (Leader->Table_.open().size() < OpenJobs && !acceptJob(*Leader))
      return;
    const auto Task = idleTask(Leader->Table_);
    if (!Task)
      return;
    jobs::RunIntended Item;
    Item.Run_ = {*Task, Leader->Table_.find(*Task)->LastRun_.next()};
    Item.Worker_ = Row->Record_.Incarnation_;
    stageStart(Leader, Row, Item);
  }

  void stageStart(const LeaderPtr &Leader, const WorkerRowPtr &Row,
                  const jobs::RunIntended &Item) {
    Leader->Tracker_.runStaged(Item.Run_);
    if (!commit(*Leader, {Item}) || !Leader->Table_.find(Item.Run_))
      return;
    if (Row->Synced_)
      sendStart(Leader, Row, Item.Run_);
    else
      Leader->AwaitingFirstReply_[Item.Worker_].push_back(Item.Run_);
  }

  /// Sends the starts that waited for the worker's first reply, or ends their
  /// runs if it has not come.
  void endFirstReplyWait(const LeaderPtr &Leader, const WorkerRowPtr &Row) {
    for (const RunName &Run : std::exchange(
             Leader->AwaitingFirstReply_[Row->Record_.Incarnation_], {})) {
      if (!Leader->Active_ || !Leader->Table_.find(Run))
        continue;
      if (Row->Synced_ && !Row->Ended_ && Leader->maySendOrders(Now_) &&
          !Leader->History_.mayDropUnreadEnds(*Row, Now_) &&
          !Leader->Table_.unwantedSince(Run))
        sendStart(Leader, Row, Run);
      else
        endRuns(Leader, {{Run, EndKind::Refused, jobs::Checkpoint(), ""}});
    }
  }

  /// Orders another run of a task that has one. The table must ignore it unless
  /// the task may have a second run.
  void startCopy(int Detail) {
    const LeaderPtr Leader = someLeader(Detail);
    const std::size_t I = pick(Detail, WorkerCount);
    const WorkerRowPtr Row = Leader->Rows_[I];
    if (!Leader->maySendOrders(Now_) || Leader->StoreDown_ || !Row ||
        !acceptsTasks(*Leader, *Row) || !Row->Synced_)
      return;
    std::vector<TaskName> Running;
    for (const auto &[Incarnation, Use] : Leader->Table_.workers())
      for (const RunName &Run : Use.Runs_)
        Running.push_back(Run.Task_);
    if (Running.empty())
      return;
    const TaskName &Task = Running[pick(Detail / 3, Running.size())];
    const jobs::TaskRow &State = *Leader->Table_.find(Task);
    const bool MayStart = Leader->Table_.specOf(Task)->Speculative_ &&
                          State.Runs_.size() == 1 && !State.Done_ &&
                          !Leader->Table_.find(Task.Job_)->ended();
    const WorkerIncarnation &On = Row->Record_.Incarnation_;
    if (MayStart && (Leader->Table_.usageOf(On) ||
                     State.Runs_.front().Worker_.Id_ == On.Id_))
      return;
    jobs::RunIntended Item;
    Item.Run_ = {Task, State.LastRun_.next()};
    Item.Worker_ = On;
    const std::size_t RunsBefore = State.Runs_.size();
    stageStart(Leader, Row, Item);
    if (Leader->Active_)
      RC_ASSERT(State.Runs_.size() == RunsBefore + (MayStart ? 1 : 0));
  }

  bool acceptJob(ModelLeader &Leader) {
    jobs::JobAccepted Item;
    Item.Spec_.Id_ = JobId("j" + std::to_string(Leader.Table_.jobs().size()));
    Item.Spec_.Queue_ = QueueName("q");
    Item.Spec_.Steps_.resize(StepCount);
    for (jobs::StepSpec &Step : Item.Spec_.Steps_) {
      Step.Count_ = TaskCount;
      Step.PerTask_ = TaskDemand;
      Step.Speculative_ = Leader.Table_.jobs().size() % 2 == 0;
    }
    Item.Spec_.Steps_[1].After_ = {0};
    return commit(Leader, {Item});
  }

  static std::optional<TaskName> idleTask(const jobs::CellTable &Table) {
    for (const auto &[Order, Id] : Table.open())
      for (std::uint32_t S = 0; S < StepCount; ++S) {
        if (S > 0 &&
            !Table.find(Id)->Occurrences_.find(0)->Steps_[S - 1].done())
          break;
        for (std::uint32_t T = 0; T < TaskCount; ++T)
          if (const TaskName Task{Id, 0, S, T}; Table.find(Task)->idle())
            return Task;
      }
    return std::nullopt;
  }

  void sendStart(const LeaderPtr &Leader, const WorkerRowPtr &Row,
                 const RunName &Run) {
    auto Item = std::make_shared<Message>();
    Item->Kind_ = Message::Kind::Start;
    Item->Start_.Run_ = Run;
    Item->Start_.Token_ = Row->Token_;
    Item->Start_.DeadlineMs_ = Row->clockMs(Now_) + StartWindow.count();
    Row->recordOrder(Item->Start_.DeadlineMs_, Now_, Lease);
    Leader->Tracker_.startSent(Run, Item->Start_.DeadlineMs_);
    send(Leader, Row, std::move(Item));
  }

  void send(const LeaderPtr &Leader, const WorkerRowPtr &Row, MessagePtr Item) {
    Item->From_ = Leader;
    for (std::size_t I = 0; I < WorkerCount; ++I)
      if (Row->Record_.Incarnation_.Id_ == Workers_[I].Id_)
        Item->To_ = I;
    Item->Row_ = Row;
    Item->StartedMs_ = Row->Record_.Incarnation_.StartedMs_;
    Item->SentAt_ = Now_;
    Messages_.push_back(std::move(Item));
  }

  void holdWorker(int Detail) {
    const LeaderPtr Leader = someLeader(Detail);
    if (Leader->maySendOrders(Now_))
      sendHold(Leader, pick(Detail / 2, WorkerCount));
  }

  void sendHold(const LeaderPtr &Leader, std::size_t I) {
    WorkerRowPtr &Row = Leader->Rows_[I];
    if (Row && Row->Ended_)
      Row = nullptr;
    if (!Row || !ensureToken(*Leader, *Row))
      return;
    // Holds to a worker are told apart by when they were sent.
    Now_ += std::chrono::microseconds(1);
    auto Item = std::make_shared<Message>();
    Item->Kind_ = Message::Kind::Hold;
    Item->Hold_ = Row->nextRenewal(Now_, Lease, 0ms);
    Row->recordHold(Item->Hold_, Now_);
    send(Leader, Row, std::move(Item));
  }

  /// Gives an incarnation its token; the leader writes to the store if it has
  /// to.
  bool ensureToken(ModelLeader &Leader, WorkerRow &Row) {
    if (Row.Token_.value() != 0)
      return true;
    const WorkerId &Id = Row.Record_.Incarnation_.Id_;
    auto Token = Leader.History_.assignToken(Id, Leader.Newest_);
    if (!Token && !Leader.StoreDown_ && Leader.Token_ == Journal_.Head_) {
      Leader.Newest_ = FencingToken(++Revision_);
      Token = Leader.History_.assignToken(Id, Leader.Newest_);
    }
    Row.Token_ = Token.value_or(FencingToken());
    return Token.has_value();
  }

  /// Stops a run of a job that continues, as when its worker drains.
  void stopRun(int Detail) {
    const LeaderPtr Leader = someLeader(Detail);
    const WorkerRowPtr Row = Leader->Rows_[pick(Detail, WorkerCount)];
    if (!Row || !Leader->maySendOrders(Now_))
      return;
    if (const auto *Use = Leader->Table_.usageOf(Row->Record_.Incarnation_))
      stop(Leader, *Use->Runs_.begin());
  }

  void cancelJob(int Detail) {
    const LeaderPtr Leader = someLeader(Detail);
    const auto &Open = Leader->Table_.open();
    if (!Leader->Active_ || Open.empty() || Leader->StoreDown_)
      return;
    const std::size_t Which = pick(Detail, Open.size());
    const JobId Id =
        std::next(Open.begin(), static_cast<std::ptrdiff_t>(Which))->second;
    if (!commit(*Leader, {jobs::JobCancelled{Id}}))
      return;
    // The store's reply is lost: the leader ends before it has stopped
    // anything.
    if (Detail % 5 == 0)
      Leader->Active_ = false;
    stopJob(Leader, Id);
  }

  void stopJob(const LeaderPtr &Leader, const JobId &Id) {
    std::vector<RunName> Runs;
    for (const auto &[Incarnation, Use] : Leader->Table_.workers())
      for (const RunName &Run : Use.Runs_)
        if (Run.Task_.Job_ == Id)
          Runs.push_back(Run);
    for (const RunName &Run : Runs)
      stop(Leader, Run);
  }

  /// Orders a stop. If the worker is not known, its reports trigger the stop
  /// later.
  void stop(const LeaderPtr &Leader, const RunName &Run) {
    jobs::LiveRun *Live = Leader->Table_.findLive(Run);
    if (!Live)
      return;
    Live->Stopping_ = true;
    for (const WorkerRowPtr &Row : Leader->Rows_)
      if (Row && Row->Record_.Incarnation_ == Live->Worker_)
        sendStopOnce(Leader, Row, Run);
  }

  void sendStopOnce(const LeaderPtr &Leader, const WorkerRowPtr &Row,
                    const RunName &Run) {
    if (!Leader->StopsInFlight_.contains(Run))
      sendStop(Leader, Row, Run, Message::Kind::Stop);
  }

  void sendStop(const LeaderPtr &Leader, const WorkerRowPtr &Row,
                const RunName &Run, Message::Kind Kind) {
    if (!Leader->maySendOrders(Now_) || Row->Token_.value() == 0)
      return;
    auto Item = std::make_shared<Message>();
    Item->Kind_ = Kind;
    Item->Start_.Run_ = Run;
    Item->Start_.Token_ = Row->Token_;
    if (Kind == Message::Kind::Stop)
      Leader->StopsInFlight_.insert(Run);
    send(Leader, Row, std::move(Item));
  }

  void finishRun(int Detail) {
    ModelWorker &Worker = Workers_[pick(Detail, WorkerCount)];
    Worker.expireLease(Now_);
    if (Worker.Running_.empty())
      return;
    if (Detail % 5 != 0)
      recordDone(Worker, *Worker.Running_.begin());
    Worker.end(*Worker.Running_.begin(),
               Detail % 5 == 0 ? EndKind::Failed : EndKind::Done);
    checkAcknowledged(Worker);
  }

  /// Ends one of two active runs of a task and reports it.
  void endOneOfTwo(int Detail) {
    const std::size_t I = pick(Detail, WorkerCount);
    for (ModelWorker &Worker : Workers_)
      Worker.expireLease(Now_);
    const auto &Here = Workers_[I].Running_;
    const auto &There = Workers_[WorkerCount - 1 - I].Running_;
    if (Here.empty() || There.empty() ||
        Here.begin()->Task_ != There.begin()->Task_)
      return;
    if (Detail % 7 != 0)
      recordDone(Workers_[I], *Here.begin());
    Workers_[I].end(*Here.begin(),
                    Detail % 7 == 0 ? EndKind::Failed : EndKind::Done);
    if (!Leaders_.back()->maySendOrders(Now_))
      return;
    sendHold(Leaders_.back(), I);
    deliverLast();
  }

  /// Orders to a former incarnation are executed up to MaxOrderDelay late. Only
  /// until the new one has been reached, or the leader does not call it as it
  /// needs no call, those sent before the restart are lost with the
  /// connections, and those sent afterwards arrive within MaxStaleOrderDelay:
  /// nothing tells the worker yet that they are not its own. Leaders learn of a
  /// restart within MaxUnnoticedRestart.
  bool arrives(const Message &Item) const {
    const ModelWorker &Worker = Workers_[Item.To_];
    if (Item.StartedMs_ == Worker.StartedMs_)
      return true;
    if (Worker.Reached_)
      return Now_ - Item.SentAt_ <= MaxOrderDelay;
    if (staysUncalled(Item.To_))
      return Now_ - Item.SentAt_ <= MaxOrderDelay &&
             Item.SentAt_ <= Worker.StartedAt_ + MaxUnnoticedRestart;
    return Item.SentAt_ > Worker.StartedAt_ &&
           Now_ - Worker.StartedAt_ <= MaxUnnoticedRestart &&
           Now_ - Item.SentAt_ <= MaxStaleOrderDelay;
  }

  /// Whether the last leader knows the present incarnation and has no reason to
  /// call it.
  bool staysUncalled(std::size_t I) const {
    const WorkerRowPtr &Row = Leaders_.back()->Rows_[I];
    return Row && Row->Record_.Incarnation_ == Workers_[I].incarnation() &&
           !Row->mayExecuteFormerOrders(Now_);
  }

  void execute(int Detail) {
    std::vector<MessagePtr> Waiting;
    for (const MessagePtr &Item : Messages_)
      if (!Item->Executed_ && arrives(*Item))
        Waiting.push_back(Item);
    if (!Waiting.empty())
      execute(*Waiting[pick(Detail, Waiting.size())]);
  }

  void execute(Message &Item) {
    Item.Executed_ = true;
    ModelWorker &Worker = Workers_[Item.To_];
    if (Item.Kind_ == Message::Kind::Hold) {
      Item.Report_ = Worker.hold(Item.Hold_, Item.StartedMs_, Now_);
      if (Item.StartedMs_ != Worker.StartedMs_ &&
          Item.Report_.Result_ != OrderResult::Fenced)
        Worker.WaitingHolds_[&Item] = {Item.Hold_.AcknowledgedEnds_,
                                       Now_ + MaxHoldWait};
      checkAcknowledged(Worker);
      CutReports_ += Worker.Ends_.size() > Item.Report_.Ends_.size();
      return;
    }
    if (Item.Kind_ != Message::Kind::Start) {
      Item.Reply_ = Worker.stop(Item.Start_.Run_, Item.Start_.Token_,
                                Item.StartedMs_, Now_);
      return;
    }
    const bool Before = Worker.Running_.contains(Item.Start_.Run_);
    Item.Reply_ = Worker.start(Item.Start_, Item.StartedMs_, Now_);
    if (!Before && Worker.Running_.contains(Item.Start_.Run_))
      checkStart(Item.Start_.Run_);
  }

  void checkStart(const RunName &Run) {
    ++Starts_;
    std::size_t ActiveRuns = 0;
    for (ModelWorker &Worker : Workers_) {
      Worker.expireLease(Now_);
      for (const RunName &Other : Worker.Running_)
        ActiveRuns += Other.Task_ == Run.Task_;
      RC_ASSERT(Worker.Running_.size() <= TasksPerWorker_);
    }
    if (Run.Task_.Step_ > 0)
      for (std::uint32_t T = 0; T < TaskCount; ++T)
        RC_ASSERT(
            DoneTasks_.contains({Run.Task_.Job_, 0, Run.Task_.Step_ - 1, T}));
    Copies_ += ActiveRuns > 1;
    const bool Speculative =
        Leaders_.back()->Table_.specOf(Run.Task_)->Speculative_;
    RC_ASSERT(ActiveRuns <= (Speculative ? 2u : 1u));
    // The start of a copy may be executed after the end of the other run.
    if (Speculative)
      return;
    RC_ASSERT(!endOfTask(Run.Task_));
    if (const auto Done = DoneRuns_.find(Run.Task_); Done != DoneRuns_.end())
      StartedAgain_.insert(Done->second.begin(), Done->second.end());
  }

  /// Checks that no task was started again after a run that has ended as done,
  /// where the worker held its lease until that end was acknowledged.
  void checkAcknowledged(const ModelWorker &Worker) const {
    for (const RunName &Run : Worker.AcknowledgedDone_)
      RC_ASSERT(!StartedAgain_.contains({Worker.incarnation(), Run}));
  }

  void recordDone(const ModelWorker &Worker, const RunName &Run) {
    DoneTasks_.insert(Run.Task_);
    DoneRuns_[Run.Task_].insert({Worker.incarnation(), Run});
  }

  /// Returns the place in the journal at which the task was done.
  std::optional<std::size_t> endOfTask(const TaskName &Task) const {
    for (std::size_t I = 0; I < Journal_.Log_.size(); ++I)
      if (const auto *End = std::get_if<jobs::RunEnded>(&Journal_.Log_[I]);
          End && End->Run_.Task_ == Task && End->Kind_ == EndKind::Done)
        return I;
    return std::nullopt;
  }

  /// Checks that each run has one end, that failed ends are counted, and that
  /// runs of tasks that were done have not been sent.
  void checkJournal(const jobs::CellTable &Table) const {
    std::set<RunName> Ended;
    std::map<TaskName, std::uint32_t> Failures;
    for (const Event &Item : Journal_.Log_)
      if (const auto *End = std::get_if<jobs::RunEnded>(&Item)) {
        RC_ASSERT(Ended.insert(End->Run_).second);
        Failures[End->Run_.Task_] += End->Kind_ == EndKind::Failed;
      }
    for (const auto &[Task, Count] : Failures) {
      RC_ASSERT(Table.find(Task)->Failures_ == Count);
      const jobs::JobState State = Table.find(Task.Job_)->State_;
      if (Count >= AttemptLimit && !Table.find(Task)->Done_)
        RC_ASSERT(State == jobs::JobState::Failed ||
                  State == jobs::JobState::Cancelled);
    }
  }

  MessagePtr openMessage(int Detail, bool Executed) {
    std::vector<MessagePtr> Open;
    for (const MessagePtr &Item : Messages_)
      if (!Item->Abandoned_ && (Item->Executed_ || !Executed))
        Open.push_back(Item);
    return Open.empty() ? nullptr : Open[pick(Detail, Open.size())];
  }

  void deliverAnswer(int Detail) {
    if (const MessagePtr Item = openMessage(Detail, true))
      deliverAnswer(Item);
  }

  void deliverAnswer(const MessagePtr &Item) {
    Item->Abandoned_ = true;
    Workers_[Item->To_].WaitingHolds_.erase(Item.get());
    ModelLeader &Leader = *Item->From_;
    WorkerRow &Row = *Item->Row_;
    if (!Leader.Active_)
      return;
    if (isStop(*Item))
      return handleStopAnswer(*Item);
    if (Item->Kind_ == Message::Kind::Hold)
      return handleReport(*Item);
    Row.updateClock(Item->Reply_.ClockMs_, Now_);
    const auto Ended = Leader.Tracker_.startAnswered(
        Item->Start_.Run_, Item->Reply_.Result_, Item->Attempt_, Now_);
    if (Ended)
      endRuns(Item->From_, {*Ended});
    else
      Leader.Tracker_.noMoreStarts(Item->Start_.Run_);
  }

  static bool isStop(const Message &Item) {
    return Item.Kind_ != Message::Kind::Hold &&
           Item.Kind_ != Message::Kind::Start;
  }

  void handleStopAnswer(const Message &Item) {
    ModelLeader &Leader = *Item.From_;
    clearStopInFlight(Item);
    if (Item.Reply_.Result_ != OrderResult::Done)
      return;
    if (Item.Kind_ == Message::Kind::StopStaleStart)
      Leader.Tracker_.stopAnsweredByLaterIncarnation(Item.Start_.Run_, Now_);
    if (Item.Kind_ == Message::Kind::Stop)
      Leader.Tracker_.stopAnswered(Item.Start_.Run_, Now_);
  }

  static void clearStopInFlight(const Message &Item) {
    if (Item.Kind_ == Message::Kind::Stop)
      Item.From_->StopsInFlight_.erase(Item.Start_.Run_);
  }

  void handleReport(const Message &Item) {
    const LeaderPtr &From = Item.From_;
    ModelLeader &Leader = *From;
    WorkerRow &Row = *Item.Row_;
    const HoldReply &Reply = Item.Report_;
    Row.recordHoldAnswered(Item.SentAt_);
    if (Reply.Result_ == OrderResult::OtherIncarnation) {
      endIncarnation(Leader, Item.Row_);
      return;
    }
    if (Reply.Result_ != OrderResult::Done)
      return;
    Row.updateClock(Reply.ClockMs_, Now_);
    Row.Unanswered_ = 0;
    Row.EndsAcknowledged_ =
        std::max(Row.EndsAcknowledged_, Item.Hold_.AcknowledgedEnds_);
    if (!Row.Synced_)
      Row.markSynced(Now_, Lease);
    for (const RunName &Run :
         Leader.Tracker_.unstoredStarts(Reply, Row.EndsStaged_)) {
      ++AdoptedStarts_;
      if (!commit(Leader, {jobs::RunIntended{Run, Row.Record_.Incarnation_}}))
        return;
    }
    const auto Report = Leader.Tracker_.processReport(
        Row.Record_.Incarnation_, Reply, Item.SentAt_, Row.EndsStaged_);
    if (!endRuns(From, Report.Ended_))
      return;
    for (const RunName &Run : Report.Unknown_)
      sendStop(From, Item.Row_, Run, Message::Kind::StopUnknown);
    for (const RunName &Run : Report.StaleStarts_)
      sendStop(From, Item.Row_, Run, Message::Kind::StopStaleStart);
    for (const RunName &Run :
         Leader.Tracker_.unwanted(Row.Record_.Incarnation_, Item.SentAt_))
      sendStopOnce(From, Item.Row_, Run);
    Row.MayRunStaleStarts_ =
        Leader.Tracker_.mayRunStaleStarts(Row.Record_.Incarnation_);
    for (const EndReport &End : Reply.Ends_)
      Row.EndsStaged_ = std::max(Row.EndsStaged_, End.Number_);
    if (!Leader.StoreDown_)
      Row.EndsStored_ = Row.EndsStaged_;
    endFirstReplyWait(From, Item.Row_);
  }

  bool endRuns(const LeaderPtr &From,
               const std::vector<RunTracker::EndedRun> &Ended) {
    ModelLeader &Leader = *From;
    std::vector<Event> Events;
    for (const RunTracker::EndedRun &Item : Ended) {
      jobs::RunEnded End;
      End.Run_ = Item.Run_;
      End.Kind_ = Item.Kind_;
      Events.push_back(End);
    }
    if (!Events.empty() && !commit(Leader, Events))
      return false;
    for (const RunTracker::EndedRun &Item : Ended)
      Leader.Tracker_.forget(Item.Run_);
    // The remaining tasks of a job that has failed are stopped, and so is the
    // other run of a task that is done.
    for (const RunTracker::EndedRun &Item : Ended) {
      if (Leader.Table_.find(Item.Run_.Task_.Job_)->ended())
        stopJob(From, Item.Run_.Task_.Job_);
      stopUnwantedRuns(From, Item.Run_.Task_);
    }
    return true;
  }

  void stopUnwantedRuns(const LeaderPtr &Leader, const TaskName &Task) {
    std::vector<RunName> Runs;
    for (const jobs::LiveRun &Live : Leader->Table_.find(Task)->Runs_)
      if (Leader->Table_.unwantedSince({Task, Live.Run_}))
        Runs.push_back({Task, Live.Run_});
    for (const RunName &Run : Runs)
      stop(Leader, Run);
  }

  void loseRuns(const LeaderPtr &Leader, const WorkerIncarnation &Incarnation) {
    const jobs::WorkerUsage *Use = Leader->Table_.usageOf(Incarnation);
    if (!Use)
      return;
    std::vector<RunTracker::EndedRun> Ended;
    for (const RunName &Run : Use->Runs_)
      Ended.push_back({Run, EndKind::Lost, jobs::Checkpoint(), ""});
    endRuns(Leader, Ended);
  }

  void loseAnswer(int Detail) {
    const MessagePtr Item = openMessage(Detail, false);
    if (!Item || Now_ - Item->SentAt_ < AnswerWait)
      return;
    // Half of the messages not executed yet never will be.
    Item->Executed_ = Item->Executed_ || Detail % 2 == 0;
    loseAnswer(Item);
  }

  void loseAnswer(const MessagePtr &Item) {
    Item->Abandoned_ = true;
    ModelLeader &Leader = *Item->From_;
    WorkerRow &Row = *Item->Row_;
    clearStopInFlight(*Item);
    if (!Leader.Active_ || isStop(*Item))
      return;
    if (Item->Kind_ == Message::Kind::Hold) {
      ++Row.Unanswered_;
      if (Row.leaseExpired(Now_,
                           inheritedLeaseExpiry(Leader.StartedAt_, Lease)))
        loseRuns(Item->From_, Row.Record_.Incarnation_);
      if (!Row.Synced_)
        endFirstReplyWait(Item->From_, Item->Row_);
      return;
    }
    // Further attempts are sent only within the window of the start, and while
    // no successor can lead.
    if (Item->Attempt_ + 1 >= StartAttempts ||
        Now_ - Item->SentAt_ > StartWindow || !Leader.isSoleLeader(Now_) ||
        !Leader.Table_.find(Item->Start_.Run_))
      return Leader.Tracker_.noMoreStarts(Item->Start_.Run_);
    auto Again = std::make_shared<Message>(*Item);
    Again->Executed_ = false;
    Again->Abandoned_ = false;
    ++Again->Attempt_;
    Again->SentAt_ = Now_;
    Leader.Tracker_.startSent(Again->Start_.Run_, Again->Start_.DeadlineMs_);
    Messages_.push_back(std::move(Again));
  }

  void runQuietTick(int Tick, int Detail) {
    Now_ += QuietTick;
    const LeaderPtr Leader = Leaders_.back();
    Leader->ConfirmedAt_ = Now_;
    for (std::size_t I = 0; I < WorkerCount; ++I)
      if (Tick >= (Detail << I) % MaxTicksToList)
        listWorker(*Leader, I, Workers_[I].StartedMs_);
    deliverMessages();
    for (std::size_t I = 0; I < WorkerCount; ++I)
      if (const WorkerRowPtr Row = Leader->Rows_[I];
          Row && needsHold(*Leader, *Row) && !holdInFlight(*Row))
        sendHold(Leader, I);
  }

  bool holdInFlight(const WorkerRow &Row) const {
    return std::any_of(Messages_.begin(), Messages_.end(),
                       [&](const MessagePtr &Item) {
                         return Item->Kind_ == Message::Kind::Hold &&
                                Item->Row_.get() == &Row && !Item->Abandoned_;
                       });
  }

  void deliverLast() {
    if (Messages_.empty() || !arrives(*Messages_.back()))
      return;
    const MessagePtr Item = Messages_.back();
    if (!Item->Executed_)
      execute(*Item);
    if (!Item->Abandoned_)
      deliverAnswer(Item);
  }

  void deliverMessages() {
    const std::vector<MessagePtr> All = Messages_;
    for (const MessagePtr &Item : All) {
      if (!Item->Executed_ && arrives(*Item))
        execute(*Item);
      else if (!Item->Abandoned_ && Item->Executed_)
        deliverAnswer(Item);
      else if (!Item->Abandoned_ && Now_ - Item->SentAt_ >= AnswerWait)
        loseAnswer(Item);
    }
    std::erase_if(Messages_, [](const MessagePtr &Item) {
      return Item->Executed_ && Item->Abandoned_;
    });
  }

  std::uint64_t runsOfEndedJobs() {
    const jobs::CellTable &Table = Leaders_.back()->Table_;
    std::uint64_t Count = 0;
    for (ModelWorker &Worker : Workers_) {
      Worker.expireLease(Now_);
      for (const RunName &Run : Worker.Running_)
        Count += Table.find(Run.Task_.Job_)->ended();
    }
    return Count;
  }

  std::uint64_t runsOfDoneTasks() {
    const jobs::CellTable &Table = Leaders_.back()->Table_;
    std::uint64_t Count = 0;
    for (ModelWorker &Worker : Workers_) {
      Worker.expireLease(Now_);
      for (const RunName &Run : Worker.Running_)
        Count += Table.find(Run.Task_)->Done_ &&
                 !Table.find(Run.Task_.Job_)->ended();
    }
    return Count;
  }

  const std::size_t TasksPerWorker_;
  TimePoint Now_{std::chrono::hours(1)};
  std::uint64_t Revision_ = 0;
  Journal Journal_;
  std::array<ModelWorker, WorkerCount> Workers_;
  std::vector<LeaderPtr> Leaders_;
  std::vector<MessagePtr> Messages_;
  /// Tasks of which a run has ended as done.
  std::set<TaskName> DoneTasks_;
  /// A run on a worker: a successor that does not know of a start may give its
  /// number to another run.
  using RunOnWorker = std::pair<WorkerIncarnation, RunName>;
  std::map<TaskName, std::set<RunOnWorker>> DoneRuns_;
  /// Runs that had ended as done when their task was started once more.
  std::set<RunOnWorker> StartedAgain_;
  std::uint64_t Starts_ = 0;
  std::uint64_t OutageStarts_ = 0;
  std::uint64_t AdoptedStarts_ = 0;
  std::uint64_t RunsToStop_ = 0;
  std::uint64_t Copies_ = 0;
  std::uint64_t CopiesToStop_ = 0;
  std::uint64_t CutReports_ = 0;
  std::uint64_t CallsToNewIncarnations_ = 0;
};

} // namespace laburnumspread::cell::model
