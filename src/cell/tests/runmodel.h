#pragma once

#include "cell/tests/modelworker.h"
#include "cell/workertable.h"

#include <rapidcheck.h>

#include <array>

// Workers, holders and the store's journal in virtual time around the real
// rules (RunTracker, WorkerRow, CellTable). Orders are carried out at once,
// late or never, answers get lost, leases lapse, workers start again, holders
// follow each other while the former goes on for a while, jobs are cancelled,
// and a holder knows no worker before it is listed. Whatever the order of
// things: no task runs in two places, none runs again after its end was stored,
// and no worker is given more than it has room for. Once things are quiet, what
// runs of jobs that have ended ends within the time of a cancel.
//
// When a stop is sent, and that a worker with live runs is asked again and
// again, is decided in fibers of Sessions; the model repeats that part: one
// stop when it is ordered, and after each report one for each run that is
// unwanted and has no stop on its way.

namespace laburnumspread::cell::model {

using jobs::Event;
using jobs::JobId;

constexpr auto StartWindow = 1500ms;
constexpr auto StoreLease = 1000ms;
constexpr std::size_t WorkerCount = 2;
constexpr std::uint32_t TaskCount = 2;
/// So many jobs are open at the least, so that a cancel makes place for the
/// next one.
constexpr std::size_t OpenJobs = 2;
constexpr int StartAttempts = 2;
/// An answer that has not come by now will not.
constexpr auto AnswerWait = 300ms;
/// What a cancelled job's tasks have, by the platform's word: the cancel, then
/// the stop.
constexpr auto CancelTime = 3000ms + 200ms;
/// A message and its answer take one each while things are quiet.
constexpr auto QuietTick = 50ms;
constexpr int MostTicksToList = 20;
/// Each task fills a worker.
const Resources Room{1000, 0, 0};

struct Journal {
  FencingToken Head_;
  std::vector<Event> Log_;
};

/// An entry that leads, or believes so.
struct ModelHolder {
  explicit ModelHolder(FencingToken Token, TimePoint Now)
      : Token_(Token), ConfirmedAt_(Now), BegunAt_(Now), Tracker_(Table_) {}

  const FencingToken Token_;
  TimePoint ConfirmedAt_;
  TimePoint BegunAt_;
  jobs::CellTable Table_;
  RunTracker Tracker_;
  /// Empty where no worker is known.
  std::array<WorkerRowPtr, WorkerCount> Rows_;
  std::set<WorkerIncarnation> EndedLives_;
  /// Runs with a stop that has neither been answered nor given up.
  std::set<RunName> StopsOnWay_;
  bool Active_ = true;

  bool mayOrder(TimePoint Now) const {
    return Active_ && Now - ConfirmedAt_ < OrdersWithoutStore;
  }
};

using HolderPtr = std::shared_ptr<ModelHolder>;

/// An order on its way.
struct Message {
  enum class Kind {
    Start,
    Hold,
    Stop,
    /// Of a run that was meant for a former life.
    StopLater,
    /// Of a run that the journal does not know there.
    StopUnknown,
  };
  Kind Kind_ = Kind::Hold;
  HolderPtr From_;
  std::size_t To_ = 0;
  WorkerRowPtr Row_;
  std::int64_t Born_ = 0;
  TimePoint SentAt_{};
  StartOrder Start_;
  HoldOrder Hold_;
  int Attempt_ = 0;
  bool CarriedOut_ = false;
  /// The sender waits no longer.
  bool Abandoned_ = false;
  OrderReply Reply_;
  HoldReply Report_;
};

using MessagePtr = std::shared_ptr<Message>;

class Model {
public:
  Model() {
    for (std::size_t I = 0; I < WorkerCount; ++I) {
      Workers_[I].Id_ = WorkerId("w" + std::to_string(I));
      Workers_[I].Rate_ = I == 0 ? SlowestClock : 1;
    }
    takeOver(ListAll);
  }

  /// One step of the adversary.
  void step(int Choice, int Detail) {
    switch (Choice) {
    case 0:
      return passTime(Detail);
    case 1:
      return startSomething(Detail);
    case 2:
      return holdSomething(Detail);
    case 3:
    case 4:
      return carryOut(Detail);
    case 5:
    case 6:
      return bringAnswer(Detail);
    case 7:
      return loseAnswer(Detail);
    case 8:
      return finishSomething(Detail);
    case 9:
      // A former process of the same entry is dead and need not be waited for.
      if (Detail % 4 == 0)
        Holders_.back()->Active_ = false;
      if (Now_ - Holders_.back()->ConfirmedAt_ > StoreLease ||
          !Holders_.back()->Active_)
        takeOver(Detail / 4);
      return;
    case 10:
      if (Detail % 4 < 2)
        Workers_[pick(Detail, WorkerCount)].restart(Now_);
      return;
    case 11:
      return stopSomething(Detail);
    case 12:
      if (Detail / 3 % 4 == 0)
        cancelSomething(Detail);
      return;
    case 13:
    case 14:
      return changeList(Detail);
    // Without hindrance, so that schedules come far.
    case 15:
      startSomething(Detail);
      return bringLastThrough();
    case 16:
      holdSomething(Detail);
      return bringLastThrough();
    case 17:
      return bringMessagesOn();
    case 18:
      return listAll(*Holders_.back());
    case 19:
      if (Detail / 3 % 4 == 0)
        settle(Detail);
      return;
    default:
      return;
    }
  }

  /// After a last cancel the adversary goes quiet: the last holder leads,
  /// workers are listed by and by, and every message is carried out and
  /// answered. After the time of a cancel nothing of an ended job is left, on
  /// workers or in the tables, and nothing that this holder has told to stop.
  void settle(int Detail) {
    cancelSomething(Detail);
    if (!Holders_.back()->Active_)
      takeOver(Detail);
    Leftovers_ += runsOfEndedJobs();
    const TimePoint Until = Now_ + CancelTime;
    for (int Tick = 0; Now_ < Until; ++Tick)
      quietTick(Tick, Detail);
    RC_ASSERT(runsOfEndedJobs() == 0u);
    const jobs::CellTable &Table = Holders_.back()->Table_;
    for (const auto &[Life, Use] : Table.workers())
      for (const RunName &Run : Use.Runs_) {
        RC_ASSERT(!Table.find(Run.Task_.Job_)->ended());
        RC_ASSERT(!Table.find(Run)->Stopping_);
      }
  }

  static constexpr int Choices = 20;
  static constexpr int Details = 60;

  std::uint64_t starts() const { return Starts_; }
  /// Tasks of ended jobs that were at work when the adversary went quiet.
  std::uint64_t leftovers() const { return Leftovers_; }

private:
  static constexpr int ListAll = (1 << WorkerCount) - 1;

  static std::size_t pick(int Detail, std::size_t Size) {
    return static_cast<std::size_t>(Detail) % Size;
  }

  /// The store confirms the holder meanwhile, or does not.
  void passTime(int Detail) {
    Now_ += std::chrono::milliseconds(20 + Detail * 37);
    if (Detail % 4 != 0)
      Holders_.back()->ConfirmedAt_ = Now_;
  }

  /// Newer holders are chosen more often; former ones go on for a while.
  HolderPtr someHolder(int Detail) {
    return Detail % 3 == 0 ? Holders_[pick(Detail / 3, Holders_.size())]
                           : Holders_.back();
  }

  /// A holder begins. The bits of \p Listed name the workers that it knows when
  /// it looks for what its predecessors have left over.
  void takeOver(int Listed) {
    // The former holder's head is gone: the store confirms it no more.
    Journal_.Head_ = FencingToken(++Revision_);
    auto Holder = std::make_shared<ModelHolder>(Journal_.Head_, Now_);
    for (const Event &Item : Journal_.Log_)
      Holder->Table_.apply(Item, Now_);
    Holders_.push_back(Holder);
    for (std::size_t I = 0; I < WorkerCount; ++I)
      if ((Listed >> I) % 2 == 1)
        list(*Holder, I, Workers_[I].StartedMs_);
    for (const auto &[Id, Job] : Holder->Table_.jobs())
      if (Job.ended() && Job.LiveRuns_ > 0)
        stopJob(Holder, Id);
  }

  void changeList(int Detail) {
    const HolderPtr Holder = someHolder(Detail);
    const std::size_t I = pick(Detail, WorkerCount);
    const int What = Detail / 6 % 5;
    if (What == 0)
      return unlist(*Holder, I);
    // The entry of a former life may stay for some seconds.
    list(*Holder, I, Workers_[I].StartedMs_ - (What == 1 ? 1 : 0));
  }

  void list(ModelHolder &Holder, std::size_t I, std::int64_t Born) {
    const WorkerIncarnation Life{Workers_[I].Id_, Born};
    WorkerRowPtr &Row = Holder.Rows_[I];
    if (Born < 1 || Holder.EndedLives_.contains(Life) ||
        (Row && Row->Record_.Incarnation_.StartedMs_ > Born))
      return;
    if (Row && Row->Record_.Incarnation_ == Life) {
      Row->Listed_ = true;
      return;
    }
    if (Row)
      lifeOver(Holder, *Row);
    Row = std::make_shared<WorkerRow>();
    Row->Record_.Incarnation_ = Life;
    Row->ClockAt_ = Now_;
  }

  void listAll(ModelHolder &Holder) {
    for (std::size_t I = 0; I < WorkerCount; ++I)
      list(Holder, I, Workers_[I].StartedMs_);
  }

  /// The row goes with the last reason to ask the worker.
  static void unlist(ModelHolder &Holder, std::size_t I) {
    WorkerRowPtr &Row = Holder.Rows_[I];
    if (!Row)
      return;
    Row->Listed_ = false;
    if (!needsHold(Holder, *Row))
      Row = nullptr;
  }

  static void lifeOver(ModelHolder &Holder, WorkerRow &Row) {
    Row.Over_ = true;
    Holder.EndedLives_.insert(Row.Record_.Incarnation_);
  }

  static bool needsHold(const ModelHolder &Holder, const WorkerRow &Row) {
    const bool FellSilent = Row.Listed_ && Row.Unanswered_ > 0;
    return !Row.Synced_ || Row.Haunted_ || FellSilent ||
           Row.EndsStored_ > Row.EndsTold_ ||
           Holder.Table_.usageOf(Row.Record_.Incarnation_) != nullptr;
  }

  /// Commits events, or ends the holder.
  bool commit(ModelHolder &Holder, const std::vector<Event> &Events) {
    if (Holder.Token_ != Journal_.Head_) {
      Holder.Active_ = false;
      return false;
    }
    Holder.ConfirmedAt_ = Now_;
    for (const Event &Item : Events) {
      Journal_.Log_.push_back(Item);
      Holder.Table_.apply(Item, Now_);
    }
    return true;
  }

  void startSomething(int Detail) {
    const HolderPtr Holder = someHolder(Detail);
    if (!Holder->mayOrder(Now_))
      return;
    const std::size_t I = pick(Detail, WorkerCount);
    const WorkerRowPtr Row = Holder->Rows_[I];
    if (!Row || !Row->usable())
      return;
    const jobs::WorkerUsage *Use =
        Holder->Table_.usageOf(Row->Record_.Incarnation_);
    if (Use && !(Use->Used_ + Room).fitsInto(Room))
      return;
    if (Holder->Table_.open().size() < OpenJobs && !acceptJob(*Holder))
      return;
    const auto Task = idleTask(Holder->Table_);
    if (!Task)
      return;
    jobs::RunIntended Item;
    Item.Run_ = {*Task, Holder->Table_.find(*Task)->LastRun_.next()};
    Item.Worker_ = Row->Record_.Incarnation_;
    Holder->Tracker_.staged(Item.Run_);
    if (commit(*Holder, {Item}))
      sendStart(Holder, Row, Item.Run_);
  }

  bool acceptJob(ModelHolder &Holder) {
    jobs::JobAccepted Item;
    Item.Spec_.Id_ = JobId("j" + std::to_string(Holder.Table_.jobs().size()));
    Item.Spec_.Steps_.resize(1);
    Item.Spec_.Steps_[0].Count_ = TaskCount;
    Item.Spec_.Steps_[0].PerTask_ = Room;
    return commit(Holder, {Item});
  }

  static std::optional<TaskName> idleTask(const jobs::CellTable &Table) {
    for (const auto &[Order, Id] : Table.open())
      for (std::uint32_t T = 0; T < TaskCount; ++T)
        if (const TaskName Task{Id, 0, 0, T}; Table.find(Task)->idle())
          return Task;
    return std::nullopt;
  }

  void sendStart(const HolderPtr &Holder, const WorkerRowPtr &Row,
                 const RunName &Run) {
    auto Item = std::make_shared<Message>();
    Item->Kind_ = Message::Kind::Start;
    Item->Start_.Run_ = Run;
    Item->Start_.Token_ = Holder->Token_;
    Item->Start_.DeadlineMs_ = Row->clockMs(Now_) + StartWindow.count();
    Row->noteOrder(Item->Start_.DeadlineMs_, Now_, Lease);
    Holder->Tracker_.startSent(Run, Item->Start_.DeadlineMs_);
    send(Holder, Row, std::move(Item));
  }

  void send(const HolderPtr &Holder, const WorkerRowPtr &Row, MessagePtr Item) {
    Item->From_ = Holder;
    Item->To_ = Row->Record_.Incarnation_.Id_ == Workers_[0].Id_ ? 0 : 1;
    Item->Row_ = Row;
    Item->Born_ = Row->Record_.Incarnation_.StartedMs_;
    Item->SentAt_ = Now_;
    Messages_.push_back(std::move(Item));
  }

  void holdSomething(int Detail) {
    const HolderPtr Holder = someHolder(Detail);
    if (Holder->mayOrder(Now_))
      sendHold(Holder, pick(Detail / 2, WorkerCount));
  }

  void sendHold(const HolderPtr &Holder, std::size_t I) {
    WorkerRowPtr &Row = Holder->Rows_[I];
    if (Row && Row->Over_)
      Row = nullptr;
    if (!Row)
      return;
    auto Item = std::make_shared<Message>();
    Item->Kind_ = Message::Kind::Hold;
    Item->Hold_ = Row->nextHold(Now_, Holder->Token_, Lease, 0ms);
    send(Holder, Row, std::move(Item));
  }

  /// A run is to be stopped though its job goes on, as when its worker drains.
  void stopSomething(int Detail) {
    const HolderPtr Holder = someHolder(Detail);
    const WorkerRowPtr Row = Holder->Rows_[pick(Detail, WorkerCount)];
    if (!Row || !Holder->mayOrder(Now_))
      return;
    if (const auto *Use = Holder->Table_.usageOf(Row->Record_.Incarnation_))
      stop(Holder, *Use->Runs_.begin());
  }

  void cancelSomething(int Detail) {
    const HolderPtr Holder = someHolder(Detail);
    const auto &Open = Holder->Table_.open();
    if (!Holder->Active_ || Open.empty())
      return;
    const std::size_t Which = pick(Detail, Open.size());
    const JobId Id =
        std::next(Open.begin(), static_cast<std::ptrdiff_t>(Which))->second;
    if (!commit(*Holder, {jobs::JobCancelled{Id}}))
      return;
    // The store's answer is lost: the holder ends and has stopped nothing.
    if (Detail % 5 == 0)
      Holder->Active_ = false;
    stopJob(Holder, Id);
  }

  void stopJob(const HolderPtr &Holder, const JobId &Id) {
    std::vector<RunName> Runs;
    for (const auto &[Life, Use] : Holder->Table_.workers())
      for (const RunName &Run : Use.Runs_)
        if (Run.Task_.Job_ == Id)
          Runs.push_back(Run);
    for (const RunName &Run : Runs)
      stop(Holder, Run);
  }

  /// Orders a stop; without the worker it is left to its reports.
  void stop(const HolderPtr &Holder, const RunName &Run) {
    jobs::LiveRun *Live = Holder->Table_.findLive(Run);
    if (!Live)
      return;
    Live->Stopping_ = true;
    for (const WorkerRowPtr &Row : Holder->Rows_)
      if (Row && Row->Record_.Incarnation_ == Live->Worker_)
        sendStopOnce(Holder, Row, Run);
  }

  void sendStopOnce(const HolderPtr &Holder, const WorkerRowPtr &Row,
                    const RunName &Run) {
    if (!Holder->StopsOnWay_.contains(Run))
      sendStop(Holder, Row, Run, Message::Kind::Stop);
  }

  void sendStop(const HolderPtr &Holder, const WorkerRowPtr &Row,
                const RunName &Run, Message::Kind Kind) {
    if (!Holder->mayOrder(Now_))
      return;
    auto Item = std::make_shared<Message>();
    Item->Kind_ = Kind;
    Item->Start_.Run_ = Run;
    Item->Start_.Token_ = Holder->Token_;
    if (Kind == Message::Kind::Stop)
      Holder->StopsOnWay_.insert(Run);
    send(Holder, Row, std::move(Item));
  }

  void finishSomething(int Detail) {
    ModelWorker &Worker = Workers_[pick(Detail, WorkerCount)];
    Worker.lapse(Now_);
    if (!Worker.Running_.empty())
      Worker.end(*Worker.Running_.begin(),
                 Detail % 5 == 0 ? EndKind::Failed : EndKind::Done);
  }

  /// What was sent to a process that has ended since went with its
  /// connections; what is sent later, still for the former life, arrives soon.
  bool arrives(const Message &Item) const {
    const ModelWorker &Worker = Workers_[Item.To_];
    return Item.Born_ == Worker.StartedMs_ ||
           (Item.SentAt_ > Worker.BornAt_ &&
            Now_ - Item.SentAt_ <= OrderTransit);
  }

  void carryOut(int Detail) {
    std::vector<MessagePtr> Waiting;
    for (const MessagePtr &Item : Messages_)
      if (!Item->CarriedOut_ && arrives(*Item))
        Waiting.push_back(Item);
    if (!Waiting.empty())
      carryOut(*Waiting[pick(Detail, Waiting.size())]);
  }

  void carryOut(Message &Item) {
    Item.CarriedOut_ = true;
    ModelWorker &Worker = Workers_[Item.To_];
    if (Item.Kind_ == Message::Kind::Hold) {
      Item.Report_ = Worker.hold(Item.Hold_, Item.Born_, Now_);
      return;
    }
    if (Item.Kind_ != Message::Kind::Start) {
      Item.Reply_ = Worker.stop(Item.Start_.Run_, Item.Start_.Token_, Now_);
      return;
    }
    const bool Before = Worker.Running_.contains(Item.Start_.Run_);
    Item.Reply_ = Worker.start(Item.Start_, Now_);
    if (!Before && Worker.Running_.contains(Item.Start_.Run_))
      checkStart(Item.Start_.Run_);
  }

  void checkStart(const RunName &Run) {
    ++Starts_;
    std::size_t Places = 0;
    for (ModelWorker &Worker : Workers_) {
      Worker.lapse(Now_);
      for (const RunName &Other : Worker.Running_)
        Places += Other.Task_ == Run.Task_;
      RC_ASSERT(Worker.Running_.size() <= 1u);
    }
    RC_ASSERT(Places <= 1u);
    for (const Event &Item : Journal_.Log_)
      if (const auto *End = std::get_if<jobs::RunEnded>(&Item))
        RC_ASSERT(
            !(End->Run_.Task_ == Run.Task_ && End->Kind_ == EndKind::Done));
  }

  MessagePtr openMessage(int Detail, bool CarriedOut) {
    std::vector<MessagePtr> Open;
    for (const MessagePtr &Item : Messages_)
      if (!Item->Abandoned_ && (Item->CarriedOut_ || !CarriedOut))
        Open.push_back(Item);
    return Open.empty() ? nullptr : Open[pick(Detail, Open.size())];
  }

  void bringAnswer(int Detail) {
    if (const MessagePtr Item = openMessage(Detail, true))
      bringAnswer(Item);
  }

  void bringAnswer(const MessagePtr &Item) {
    Item->Abandoned_ = true;
    ModelHolder &Holder = *Item->From_;
    WorkerRow &Row = *Item->Row_;
    if (!Holder.Active_)
      return;
    if (isStop(*Item))
      return takeStopAnswer(*Item);
    if (Item->Kind_ == Message::Kind::Hold)
      return takeReport(*Item);
    Row.heardClock(Item->Reply_.ClockMs_, Now_);
    const auto Ended = Holder.Tracker_.startAnswered(
        Item->Start_.Run_, Item->Reply_.Result_, Item->Attempt_, Now_);
    if (Ended)
      endRuns(Item->From_, {*Ended});
    else
      Holder.Tracker_.startFinished(Item->Start_.Run_);
  }

  static bool isStop(const Message &Item) {
    return Item.Kind_ != Message::Kind::Hold &&
           Item.Kind_ != Message::Kind::Start;
  }

  void takeStopAnswer(const Message &Item) {
    ModelHolder &Holder = *Item.From_;
    noteStopSettled(Item);
    if (Item.Reply_.Result_ != OrderResult::Done)
      return;
    if (Item.Kind_ == Message::Kind::StopLater)
      Holder.Tracker_.stopAnsweredLater(Item.Start_.Run_, Now_);
    if (Item.Kind_ == Message::Kind::Stop)
      Holder.Tracker_.stopAnswered(Item.Start_.Run_, Now_);
  }

  static void noteStopSettled(const Message &Item) {
    if (Item.Kind_ == Message::Kind::Stop)
      Item.From_->StopsOnWay_.erase(Item.Start_.Run_);
  }

  void takeReport(const Message &Item) {
    const HolderPtr &From = Item.From_;
    ModelHolder &Holder = *From;
    WorkerRow &Row = *Item.Row_;
    const HoldReply &Reply = Item.Report_;
    if (Reply.Result_ == OrderResult::OtherLife) {
      lifeOver(Holder, Row);
      return;
    }
    if (Reply.Result_ != OrderResult::Done)
      return;
    Row.heardClock(Reply.ClockMs_, Now_);
    Row.Unanswered_ = 0;
    Row.EndsTold_ = std::max(Row.EndsTold_, Item.Hold_.LastSeen_);
    if (!Row.Synced_)
      Row.noteSynced(Now_, Lease);
    const auto Report = Holder.Tracker_.report(Row.Record_.Incarnation_, Reply,
                                               Item.SentAt_, Row.EndsStaged_);
    if (!endRuns(From, Report.Ended_))
      return;
    for (const RunName &Run : Report.Unknown_)
      sendStop(From, Item.Row_, Run, Message::Kind::StopUnknown);
    for (const RunName &Run : Report.Haunting_)
      sendStop(From, Item.Row_, Run, Message::Kind::StopLater);
    for (const RunName &Run :
         Holder.Tracker_.unwanted(Row.Record_.Incarnation_, Item.SentAt_))
      sendStopOnce(From, Item.Row_, Run);
    Row.Haunted_ = Holder.Tracker_.haunted(Row.Record_.Incarnation_);
    for (const EndRow &End : Reply.Ends_)
      Row.EndsStaged_ = std::max(Row.EndsStaged_, End.Number_);
    Row.EndsStored_ = Row.EndsStaged_;
  }

  bool endRuns(const HolderPtr &From,
               const std::vector<RunTracker::Ended> &Ended) {
    ModelHolder &Holder = *From;
    std::vector<Event> Events;
    for (const RunTracker::Ended &Item : Ended) {
      jobs::RunEnded End;
      End.Run_ = Item.Run_;
      End.Kind_ = Item.Kind_;
      Events.push_back(End);
    }
    if (!Events.empty() && !commit(Holder, Events))
      return false;
    for (const RunTracker::Ended &Item : Ended)
      Holder.Tracker_.forget(Item.Run_);
    // A job that has failed for good has no use for its other tasks.
    for (const RunTracker::Ended &Item : Ended)
      if (Holder.Table_.find(Item.Run_.Task_.Job_)->ended())
        stopJob(From, Item.Run_.Task_.Job_);
    return true;
  }

  void loseRuns(const HolderPtr &Holder, const WorkerIncarnation &Life) {
    const jobs::WorkerUsage *Use = Holder->Table_.usageOf(Life);
    if (!Use)
      return;
    std::vector<RunTracker::Ended> Ended;
    for (const RunName &Run : Use->Runs_)
      Ended.push_back({Run, EndKind::Lost, jobs::Checkpoint(), ""});
    endRuns(Holder, Ended);
  }

  void loseAnswer(int Detail) {
    const MessagePtr Item = openMessage(Detail, false);
    if (!Item || Now_ - Item->SentAt_ < AnswerWait)
      return;
    // Half of what was not carried out never will be.
    Item->CarriedOut_ = Item->CarriedOut_ || Detail % 2 == 0;
    loseAnswer(Item);
  }

  void loseAnswer(const MessagePtr &Item) {
    Item->Abandoned_ = true;
    ModelHolder &Holder = *Item->From_;
    WorkerRow &Row = *Item->Row_;
    noteStopSettled(*Item);
    if (!Holder.Active_ || isStop(*Item))
      return;
    if (Item->Kind_ == Message::Kind::Hold) {
      ++Row.Unanswered_;
      if (Row.surelyLapsed(Now_, inheritedLeaseEnds(Holder.BegunAt_, Lease)))
        loseRuns(Item->From_, Row.Record_.Incarnation_);
      return;
    }
    // Attempts follow each other within the window of the start.
    if (Item->Attempt_ + 1 >= StartAttempts ||
        Now_ - Item->SentAt_ > StartWindow ||
        !Holder.Table_.find(Item->Start_.Run_))
      return Holder.Tracker_.startFinished(Item->Start_.Run_);
    auto Again = std::make_shared<Message>(*Item);
    Again->CarriedOut_ = false;
    Again->Abandoned_ = false;
    ++Again->Attempt_;
    Again->SentAt_ = Now_;
    Holder.Tracker_.startSent(Again->Start_.Run_, Again->Start_.DeadlineMs_);
    Messages_.push_back(std::move(Again));
  }

  void quietTick(int Tick, int Detail) {
    Now_ += QuietTick;
    const HolderPtr Holder = Holders_.back();
    Holder->ConfirmedAt_ = Now_;
    for (std::size_t I = 0; I < WorkerCount; ++I)
      if (Tick >= (Detail << I) % MostTicksToList)
        list(*Holder, I, Workers_[I].StartedMs_);
    bringMessagesOn();
    for (std::size_t I = 0; I < WorkerCount; ++I)
      if (const WorkerRowPtr Row = Holder->Rows_[I];
          Row && needsHold(*Holder, *Row) && !holdOnWay(*Row))
        sendHold(Holder, I);
  }

  bool holdOnWay(const WorkerRow &Row) const {
    return std::any_of(Messages_.begin(), Messages_.end(),
                       [&](const MessagePtr &Item) {
                         return Item->Kind_ == Message::Kind::Hold &&
                                Item->Row_.get() == &Row && !Item->Abandoned_;
                       });
  }

  void bringLastThrough() {
    if (Messages_.empty() || !arrives(*Messages_.back()))
      return;
    const MessagePtr Item = Messages_.back();
    if (!Item->CarriedOut_)
      carryOut(*Item);
    if (!Item->Abandoned_)
      bringAnswer(Item);
  }

  void bringMessagesOn() {
    const std::vector<MessagePtr> All = Messages_;
    for (const MessagePtr &Item : All) {
      if (!Item->CarriedOut_ && arrives(*Item))
        carryOut(*Item);
      else if (!Item->Abandoned_ && Item->CarriedOut_)
        bringAnswer(Item);
      else if (!Item->Abandoned_ && Now_ - Item->SentAt_ >= AnswerWait)
        loseAnswer(Item);
    }
    std::erase_if(Messages_, [](const MessagePtr &Item) {
      return Item->CarriedOut_ && Item->Abandoned_;
    });
  }

  std::uint64_t runsOfEndedJobs() {
    const jobs::CellTable &Table = Holders_.back()->Table_;
    std::uint64_t Count = 0;
    for (ModelWorker &Worker : Workers_) {
      Worker.lapse(Now_);
      for (const RunName &Run : Worker.Running_)
        Count += Table.find(Run.Task_.Job_)->ended();
    }
    return Count;
  }

  TimePoint Now_{std::chrono::hours(1)};
  std::uint64_t Revision_ = 0;
  Journal Journal_;
  std::array<ModelWorker, WorkerCount> Workers_;
  std::vector<HolderPtr> Holders_;
  std::vector<MessagePtr> Messages_;
  std::uint64_t Starts_ = 0;
  std::uint64_t Leftovers_ = 0;
};

} // namespace laburnumspread::cell::model
