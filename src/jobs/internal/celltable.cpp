#include "jobs/celltable.h"

#include <algorithm>

namespace laburnumspread::jobs {

namespace {

/// Attempt limit when the queue's own limit is unknown.
constexpr std::uint32_t DefaultAttempts = 3;
/// Upper limit on the age of a job, in case a clock was set wrongly.
constexpr std::int64_t MaxAgeMs = 3'600'000;

/// Whether the intent of a further run is applied. If the job has ended, only
/// that of the task's first run is: a leader may learn late of a start that an
/// earlier one sent without storing it, and the run holds resources until it is
/// stopped.
bool acceptsIntent(const JobRow &Job, const StepSpec &Spec,
                   const TaskRow &Task) {
  const bool NeverRan = Task.LastRun_ == RunNumber();
  return (!Job.ended() || NeverRan) && !Task.Done_ &&
         Task.Runs_.size() < Spec.maxLiveRuns();
}

} // namespace

void CellTable::apply(const Event &Item, TimePoint Now) {
  std::visit([&](const auto &Body) { applyEvent(Body, Now); }, Item);
}

void CellTable::recordAttemptLimit(Event &Item) const {
  auto *End = std::get_if<RunEnded>(&Item);
  const JobRow *Job = End ? find(End->Run_.Task_.Job_) : nullptr;
  if (Job)
    End->AttemptLimit_ = attemptLimit(Job->Spec_.Queue_);
}

std::uint32_t CellTable::attemptLimit(const QueueName &Queue) const {
  return AttemptLimit_ ? AttemptLimit_(Queue) : DefaultAttempts;
}

JobRow *CellTable::mutableJob(const JobId &Job) {
  const auto Found = JobIndex_.find(Job);
  return Found == JobIndex_.end() ? nullptr : Found->second;
}

const JobRow *CellTable::find(const JobId &Job) const {
  const auto Found = JobIndex_.find(Job);
  return Found == JobIndex_.end() ? nullptr : Found->second;
}

WorkerUsage &CellTable::addUsage(const WorkerIncarnation &Worker) {
  WorkerUsage *&Known = WorkerIndex_[Worker];
  if (!Known)
    Known = &Workers_[Worker];
  return *Known;
}

void CellTable::removeUsage(const WorkerIncarnation &Worker) {
  WorkerIndex_.erase(Worker);
  Workers_.erase(Worker);
}

namespace {

/// Returns the task in a row of its job, or nullptr.
template <typename Row>
auto taskIn(Row *Occurrence, const TaskName &Task)
    -> decltype(&Occurrence->Steps_[0].Tasks_[0]) {
  if (!Occurrence || Task.Step_ >= Occurrence->Steps_.size())
    return nullptr;
  auto &Tasks = Occurrence->Steps_[Task.Step_].Tasks_;
  return Task.Index_ < Tasks.size() ? &Tasks[Task.Index_] : nullptr;
}

} // namespace

const TaskRow *CellTable::find(const TaskName &Task) const {
  const JobRow *Job = find(Task.Job_);
  return Job ? taskIn(Job->Occurrences_.find(Task.Occurrence_), Task) : nullptr;
}

TaskRow *CellTable::findTask(const TaskName &Task) {
  JobRow *Job = mutableJob(Task.Job_);
  return Job ? taskIn(Job->Occurrences_.findTouched(Task.Occurrence_), Task)
             : nullptr;
}

TaskRow *CellTable::touchTask(JobRow &Job, const TaskName &Task) {
  Rows_ -= Job.Occurrences_.rows();
  TaskRow *Result = taskIn(Job.Occurrences_.touch(Task.Occurrence_), Task);
  Rows_ += Job.Occurrences_.rows();
  return Result;
}

void CellTable::settle(JobRow &Job, std::uint32_t Occurrence) {
  Rows_ -= Job.Occurrences_.rows();
  Job.Occurrences_.settleIfOver(Occurrence);
  Rows_ += Job.Occurrences_.rows();
}

const LiveRun *CellTable::find(const RunName &Run) const {
  return const_cast<CellTable *>(this)->findLive(Run);
}

LiveRun *CellTable::findLive(const RunName &Run) {
  TaskRow *Task = findTask(Run.Task_);
  if (!Task)
    return nullptr;
  for (LiveRun &Live : Task->Runs_)
    if (Live.Run_ == Run.Run_)
      return &Live;
  return nullptr;
}

const StepSpec *CellTable::specOf(const TaskName &Task) const {
  const JobRow *Job = find(Task.Job_);
  return Job && Task.Step_ < Job->Spec_.Steps_.size()
             ? &Job->Spec_.Steps_[Task.Step_]
             : nullptr;
}

const WorkerUsage *CellTable::usageOf(const WorkerIncarnation &Worker) const {
  const auto Found = WorkerIndex_.find(Worker);
  return Found == WorkerIndex_.end() ? nullptr : Found->second;
}

void CellTable::removeFiniteUsage(const JobSpec &Job, const Resources &Part) {
  const auto Row = FiniteUsage_.find({Job.Queue_, Job.Workspace_});
  // Runs that demand nothing, such as fillers without memory, have no row once
  // one of them has ended.
  if (Row == FiniteUsage_.end())
    return;
  if ((Row->second -= Part) == Resources())
    FiniteUsage_.erase(Row);
}

const Checkpoint &CellTable::resumePoint(const TaskName &Task) const {
  const Checkpoint &Own = find(Task)->Saved_;
  if (!specOf(Task)->Gang_)
    return Own;
  const auto &Members = find(Task.Job_)
                            ->Occurrences_.find(Task.Occurrence_)
                            ->Steps_[Task.Step_]
                            .Tasks_;
  const auto First =
      std::find_if(Members.begin(), Members.end(), [](const TaskRow &Member) {
        return !Member.Saved_.empty();
      });
  return First == Members.end() ? Own : First->Saved_;
}

std::optional<TimePoint> CellTable::unwantedSince(const RunName &Run) const {
  const LiveRun *Live = find(Run);
  if (!Live)
    return std::nullopt;
  const JobRow &Job = *find(Run.Task_.Job_);
  const TaskRow &Task = *find(Run.Task_);
  std::optional<TimePoint> Since;
  const auto AddReason = [&](bool Applies, TimePoint From) {
    if (Applies)
      Since = std::min(Since.value_or(From), From);
  };
  AddReason(Live->Stopping_, Live->StoppingSince_);
  AddReason(Job.ended(), Job.EndedAt_);
  // The other members of a gang that is done end by themselves.
  AddReason(Task.Done_ && !specOf(Run.Task_)->Gang_, Task.DoneAt_);
  return Since;
}

Resources CellTable::usedBy(const WorkspaceName &Workspace) const {
  const auto Found = Workspaces_.find(Workspace);
  return Found == Workspaces_.end() ? Resources() : Found->second;
}

std::uint64_t CellTable::waiting(const QueueName &Queue) const {
  const auto Found = Waiting_.find(Queue);
  return Found == Waiting_.end() ? 0 : Found->second;
}

void CellTable::applyEvent(const JobAccepted &Item, TimePoint Now) {
  if (JobIndex_.contains(Item.Spec_.Id_))
    return;
  JobRow Row;
  Row.Spec_ = Item.Spec_;
  Row.AcceptedAt_ = Now;
  Row.Occurrences_ = OccurrenceTable(Item.Spec_);
  Rows_ += Row.Occurrences_.rows();
  const std::uint64_t Order = NextOrder_++;
  Open_[Order] = Item.Spec_.Id_;
  Order_[Item.Spec_.Id_] = Order;
  ++Waiting_[Item.Spec_.Queue_];
  ++OpenByQueue_[Item.Spec_.Queue_];
  JobIndex_[Item.Spec_.Id_] =
      &Jobs_.emplace(Item.Spec_.Id_, std::move(Row)).first->second;
}

void CellTable::addLive(JobRow &Job, const RunName &Run, LiveRun Live) {
  const TaskName &Name = Run.Task_;
  OccurrenceRow &Occurrence = *Job.Occurrences_.findTouched(Name.Occurrence_);
  StepRow &Step = Occurrence.Steps_[Name.Step_];
  TaskRow &Task = Step.Tasks_[Name.Index_];
  ++Occurrence.LiveRuns_;
  Live.Copy_ = !Task.Runs_.empty();
  if (Live.Copy_)
    Copies_.insert(Run);
  Step.LiveCount_ += !Live.Copy_ && !Task.Done_;
  Task.Runs_.push_back(Live);
  ++Job.LiveRuns_;
  const StepSpec &Spec = Job.Spec_.Steps_[Name.Step_];
  WorkerUsage &Use = addUsage(Live.Worker_);
  Use.Used_ += Spec.demand();
  Use.Runs_.insert(Run);
  Use.FiniteRuns_ += !Spec.LongRunning_;
  Workspaces_[Job.Spec_.Workspace_] += Spec.PerTask_;
  if (!Spec.LongRunning_)
    FiniteUsage_[{Job.Spec_.Queue_, Job.Spec_.Workspace_}] += Spec.demand();
}

void CellTable::applyEvent(const RunIntended &Item, TimePoint Now) {
  JobRow *Job = mutableJob(Item.Run_.Task_.Job_);
  TaskRow *Task = Job ? touchTask(*Job, Item.Run_.Task_) : nullptr;
  // The journal is replayed on top of a later snapshot that holds the run.
  if (!Task || Item.Run_.Run_ <= Task->LastRun_)
    return;
  const bool Allowed = acceptsIntent(*Job, *specOf(Item.Run_.Task_), *Task);
  Task->LastRun_ = Item.Run_.Run_;
  // An intent that is not applied is never sent, because its run is not live
  // when it has been stored; so a replay ignores it too. The run number is used
  // up in any case.
  if (!Allowed)
    return;
  LiveRun Live;
  Live.Run_ = Item.Run_.Run_;
  Live.Worker_ = Item.Worker_;
  Live.StartedAt_ = Now;
  addLive(*Job, Item.Run_, Live);
  if (Job->State_ != JobState::Pending)
    return;
  Job->State_ = JobState::Running;
  --Waiting_[Job->Spec_.Queue_];
}

void CellTable::applyEvent(const RunEnded &Item, TimePoint Now) {
  JobRow *Job = mutableJob(Item.Run_.Task_.Job_);
  TaskRow *Task = findTask(Item.Run_.Task_);
  const LiveRun *Live = find(Item.Run_);
  if (!Job || !Task || !Live)
    return;
  const TaskName &Name = Item.Run_.Task_;
  const StepSpec &Spec = Job->Spec_.Steps_[Name.Step_];
  WorkerUsage &Use = addUsage(Live->Worker_);
  Use.Used_ -= Spec.demand();
  Use.Runs_.erase(Item.Run_);
  Use.FiniteRuns_ -= !Spec.LongRunning_;
  if (Use.Runs_.empty())
    removeUsage(Live->Worker_);
  Workspaces_[Job->Spec_.Workspace_] -= Spec.PerTask_;
  if (!Spec.LongRunning_)
    removeFiniteUsage(Job->Spec_, Spec.demand());
  Copies_.erase(Item.Run_);
  std::erase_if(Task->Runs_, [&](const LiveRun &Candidate) {
    return Candidate.Run_ == Item.Run_.Run_;
  });
  OccurrenceRow &Occurrence = *Job->Occurrences_.findTouched(Name.Occurrence_);
  --Job->LiveRuns_;
  --Occurrence.LiveRuns_;
  if (Task->Runs_.empty() && !Task->Done_)
    --Occurrence.Steps_[Name.Step_].LiveCount_;
  if (!Item.Saved_.empty() && !Task->Done_)
    Task->Saved_ = Item.Saved_;
  // Tasks that last are started again however they end.
  if (Spec.LongRunning_)
    return;
  if (Item.Kind_ == EndKind::Done && Spec.Gang_)
    gangDone(*Job, Item.Run_, Now);
  else if (Item.Kind_ == EndKind::Done)
    taskDone(*Job, Name, Now);
  else if (Item.Kind_ == EndKind::Failed)
    taskFailed(*Job, *Task,
               Item.AttemptLimit_ > 0 ? Item.AttemptLimit_
                                      : attemptLimit(Job->Spec_.Queue_),
               Now);
  settle(*Job, Item.Run_.Task_.Occurrence_);
}

/// A gang is done as a whole when one member reports success.
void CellTable::gangDone(JobRow &Job, const RunName &Run, TimePoint Now) {
  const TaskName &Name = Run.Task_;
  const auto &Tasks =
      Job.Occurrences_.find(Name.Occurrence_)->Steps_[Name.Step_].Tasks_;
  for (std::uint32_t I = 0; I < Tasks.size(); ++I)
    taskDone(Job, {Name.Job_, Name.Occurrence_, Name.Step_, I}, Now);
}

void CellTable::taskDone(JobRow &Job, const TaskName &Name, TimePoint Now) {
  OccurrenceRow &Occurrence = *Job.Occurrences_.findTouched(Name.Occurrence_);
  StepRow &Step = Occurrence.Steps_[Name.Step_];
  TaskRow &Task = Step.Tasks_[Name.Index_];
  if (Task.Done_)
    return;
  Task.Done_ = true;
  Task.DoneAt_ = Now;
  Task.Saved_ = Checkpoint();
  Step.LiveCount_ -= !Task.Runs_.empty();
  if (++Step.DoneCount_ < Step.Tasks_.size())
    return;
  if (++Occurrence.StepsDone_ == Occurrence.Steps_.size())
    occurrenceDone(Job, Now);
}

void CellTable::occurrenceDone(JobRow &Job, TimePoint Now) {
  if (++Job.OccurrencesDone_ == Job.Occurrences_.size() && !Job.ended())
    endJob(Job, JobState::Done, Now);
}

void CellTable::taskFailed(JobRow &Job, TaskRow &Task,
                           std::uint32_t MaxAttempts, TimePoint Now) {
  ++Task.Failures_;
  if (Task.Failures_ >= MaxAttempts && !Task.Done_ && !Job.ended())
    endJob(Job, JobState::Failed, Now);
}

void CellTable::applyEvent(const JobCancelled &Item, TimePoint Now) {
  JobRow *Job = mutableJob(Item.Job_);
  if (Job && !Job->ended())
    endJob(*Job, JobState::Cancelled, Now);
}

void CellTable::applyEvent(const UpkeepBegun &Item, TimePoint) {
  Upkeep_[Item.Wave_].insert(Item.Machine_);
}

void CellTable::applyEvent(const MachineOrdered &Item, TimePoint) {
  const auto Row = MachineOrders_.try_emplace(Item.Machine_).first;
  if (Row->second.HomePool_.empty())
    Row->second.HomePool_ = Item.From_;
  Row->second.SinceLastOrder_ = Duration::zero();
  Row->second.SendUnconfirmed_ = true;
}

void CellTable::applyEvent(const QueueRecorded &Item, TimePoint) {
  QueueRecords_.insert_or_assign(Item.Queue_.Name_, Item.Queue_);
}

void CellTable::forgetQueues(const CellConfig &InForce) {
  const auto Known = InForce.queueNames();
  std::erase_if(QueueRecords_, [&](const auto &Row) {
    return !OpenByQueue_.contains(Row.first) && !Known.contains(Row.first);
  });
}

void CellTable::advanceTime(Duration Passed) {
  for (auto &[Machine, Order] : MachineOrders_) {
    // An order is sent after its entry has been stored, which only the next
    // entry proves. So time counts from the next entry on.
    if (!Order.SendUnconfirmed_)
      Order.SinceLastOrder_ += Passed;
    Order.SendUnconfirmed_ = false;
  }
}

void CellTable::endJob(JobRow &Job, JobState State, TimePoint Now) {
  if (Job.State_ == JobState::Pending)
    --Waiting_[Job.Spec_.Queue_];
  Job.State_ = State;
  Job.EndedAt_ = Now;
  const auto Order = Order_.find(Job.Spec_.Id_);
  if (Order != Order_.end())
    Open_.erase(Order->second);
  const auto OfQueue = OpenByQueue_.find(Job.Spec_.Queue_);
  if (--OfQueue->second == 0)
    OpenByQueue_.erase(OfQueue);
  Ended_.emplace_back(Now, Job.Spec_.Id_);
  // No task of an ended job is started again, so the payload is not needed.
  Job.Spec_.Payload_.clear();
  Job.Spec_.Payload_.shrink_to_fit();
}

std::vector<JobId> CellTable::endedSince(TimePoint Since) const {
  std::vector<JobId> Result;
  for (auto Item = Ended_.rbegin();
       Item != Ended_.rend() && Item->first >= Since; ++Item)
    Result.push_back(Item->second);
  return Result;
}

void CellTable::forgetEnded(TimePoint Before) {
  while (!Ended_.empty() && Ended_.front().first < Before) {
    const JobId Job = Ended_.front().second;
    const JobRow *Row = find(Job);
    if (Row && Row->LiveRuns_ > 0)
      return;
    Ended_.pop_front();
    if (Row)
      Rows_ -= Row->Occurrences_.rows();
    JobIndex_.erase(Job);
    Jobs_.erase(Job);
    Order_.erase(Job);
  }
}

void CellTable::restoreTask(JobRow &Job, const TaskName &Name, TaskRow &&From,
                            TimePoint Now) {
  TaskRow *Into = touchTask(Job, Name);
  if (!Into)
    return;
  const std::vector<LiveRun> Runs = std::move(From.Runs_);
  const bool Done = From.Done_;
  From.Runs_.clear();
  From.Done_ = false;
  *Into = std::move(From);
  for (const LiveRun &Live : Runs)
    addLive(Job, {Name, Live.Run_}, Live);
  if (Done)
    taskDone(Job, Name, Now);
  settle(Job, Name.Occurrence_);
}

bool CellTable::restore(const JobSpec &Spec, JobState State, TimePoint Now) {
  if (JobIndex_.contains(Spec.Id_))
    return false;
  applyEvent(JobAccepted{Spec}, Now);
  JobRow &Restored = *mutableJob(Spec.Id_);
  const bool Ended = State == JobState::Done || State == JobState::Failed ||
                     State == JobState::Cancelled;
  if (Ended) {
    endJob(Restored, State, Now);
  } else if (State == JobState::Running) {
    Restored.State_ = JobState::Running;
    --Waiting_[Spec.Queue_];
  }
  return true;
}

void CellTable::restoreTask(const TaskName &Task, TaskRow Row, TimePoint Now) {
  if (JobRow *Job = mutableJob(Task.Job_))
    restoreTask(*Job, Task, std::move(Row), Now);
}

void CellTable::restoreSettled(const JobId &Job, std::uint32_t First,
                               std::uint32_t End, TimePoint Now) {
  JobRow *Row = mutableJob(Job);
  for (std::uint32_t K = First;
       Row && K < std::min(End, Row->Occurrences_.size()); ++K)
    if (Row->Occurrences_.restoreSettled(K))
      occurrenceDone(*Row, Now);
}

void CellTable::resetProgress(const WorkerIncarnation &Worker) {
  const WorkerUsage *Use = usageOf(Worker);
  if (!Use)
    return;
  for (const RunName &Run : Use->Runs_)
    findLive(Run)->Percent_ = 0;
}

void CellTable::restoreAcceptTimes(std::int64_t WallMs, TimePoint Now) {
  for (const auto &[Order, Id] : Open_) {
    JobRow &Job = *mutableJob(Id);
    const std::int64_t AgeMs =
        std::clamp<std::int64_t>(WallMs - Job.Spec_.AcceptedMs_, 0, MaxAgeMs);
    Job.AcceptedAt_ = Now - std::chrono::milliseconds(AgeMs);
  }
}

} // namespace laburnumspread::jobs
