#include "scheduling/internal/placement.h"

#include "scheduling/internal/shortpools.h"

#include <algorithm>

namespace laburnumspread::scheduling {

using jobs::RunNumber;
using jobs::StepSpec;
using jobs::TaskRow;

namespace {

/// Number of labels that both workers have.
std::ptrdiff_t commonLabels(const WorkerRecord &A, const WorkerRecord &B) {
  return std::count_if(
      A.Labels_.begin(), A.Labels_.end(),
      [&](const jobs::Label &Item) { return B.hasLabel(Item); });
}

} // namespace

bool PoolCandidates::knownNotToFit(const Resources &Demand) const {
  return std::any_of(Unfit_.begin(), Unfit_.end(), [&](const Resources &Small) {
    return Small.fitsInto(Demand);
  });
}

void PoolCandidates::recordUnfit(const Resources &Demand) {
  Unfit_.erase(std::remove_if(Unfit_.begin(), Unfit_.end(),
                              [&](const Resources &Large) {
                                return Demand.fitsInto(Large);
                              }),
               Unfit_.end());
  Unfit_.push_back(Demand);
}

Placement::Placement(const CellTable &Table, const CellConfig &Config,
                     const AdviceTable &Advised, std::vector<Candidate> Workers,
                     TimePoint Now, std::size_t MaxStarts)
    : Table_(Table), Config_(Config), Advised_(Advised),
      Workers_(std::move(Workers)), Now_(Now), MaxStarts_(MaxStarts) {
  for (std::size_t I = 0; I < Workers_.size(); ++I)
    Pools_[Workers_[I].Worker_->Pool_].Members_.push_back(I);
}

std::size_t Placement::place(const ReadyStep &Step, Plan &Into) {
  const std::size_t Unplaced =
      Step.Spec_->Gang_ ? placeGang(Step, Into) : placeTasks(Step, Into);
  if (Step.Queue_->Advice_ && Unplaced > 0)
    Into.AwaitingAdvice_.push_back(Step.name());
  return Unplaced;
}

void Placement::reserve(const Plan &Planned) {
  absl::flat_hash_map<jobs::WorkerIncarnation, Candidate *> ByName;
  for (Candidate &Worker : Workers_)
    ByName[Worker.Worker_->Incarnation_] = &Worker;
  for (const jobs::RunIntended &Item : Planned.Starts_) {
    const jobs::TaskName &Task = Item.Run_.Task_;
    const StepSpec &Spec = *Table_.specOf(Task);
    PlannedUsage_[Table_.find(Task.Job_)->Spec_.Workspace_] += Spec.PerTask_;
    if (Spec.AntiAffinity_ > 0)
      ++PlannedPerWorker_[{Task.Job_, Task.Occurrence_, Task.Step_,
                           Item.Worker_}];
    if (const auto Row = ByName.find(Item.Worker_); Row != ByName.end())
      Row->second->take(Spec.demand());
  }
}

std::optional<jobs::RunIntended> Placement::placeCopy(
    const ReadyStep &Step, std::uint32_t Index, const WorkerRecord &Beside,
    const std::function<bool(const WorkerRecord &)> &IsImpaired) {
  const auto Pool = Pools_.find(Step.Queue_->Pool_);
  if (Pool == Pools_.end() || !hasRoomForCopy(Step))
    return std::nullopt;
  // Workers of one rack or zone have labels in common.
  const auto Rank = [&](const Candidate &C) {
    return std::make_tuple(isFarFromData(Step, C),
                           commonLabels(*C.Worker_, Beside),
                           C.Free_.MilliCpus_);
  };
  Candidate *Best = nullptr;
  for (const std::size_t I : Pool->second.Members_) {
    Candidate &Worker = Workers_[I];
    if (!Worker.fits(Step.Spec_->demand()) ||
        Worker.Worker_->Incarnation_.Id_ == Beside.Incarnation_.Id_ ||
        !isAllowed(Step, Worker) || IsImpaired(*Worker.Worker_))
      continue;
    if (!Best || Rank(Worker) < Rank(*Best))
      Best = &Worker;
  }
  if (!Best)
    return std::nullopt;
  Plan Trial;
  assign(Step, Index, Step.Row_->Tasks_[Index].LastRun_.next(), *Best, Trial);
  return Trial.Starts_.front();
}

std::size_t Placement::placeTasks(const ReadyStep &Step, Plan &Into) {
  std::size_t Unplaced = 0;
  // All tasks of a step have the same demand: if one does not fit, none will.
  std::optional<WaitReason> NoneFits;
  for (std::uint32_t I = 0; I < Step.Row_->Tasks_.size(); ++I) {
    const TaskRow &Task = Step.Row_->Tasks_[I];
    if (!Task.idle() || Task.NotBefore_ > Now_)
      continue;
    if (Into.Starts_.size() >= MaxStarts_) {
      Into.Waiting_.add(WaitReason::StartLimit);
      continue;
    }
    if (!NoneFits) {
      const Choice Chosen = chooseWorker(Step, heldByWorkspace(Step), 1);
      if (Chosen.Worker_) {
        assign(Step, I, Task.LastRun_.next(), *Chosen.Worker_, Into);
        continue;
      }
      NoneFits = Chosen.Reason_;
    }
    ++Unplaced;
    Into.Waiting_.add(*NoneFits);
  }
  return Unplaced;
}

std::size_t Placement::placeGang(const ReadyStep &Step, Plan &Into) {
  RunNumber Run;
  for (const TaskRow &Task : Step.Row_->Tasks_)
    Run = std::max(Run, Task.LastRun_);
  Plan Trial;
  const auto Saved = Workers_;
  const auto SavedUsage = PlannedUsage_;
  const auto SavedPerWorker = PlannedPerWorker_;
  const Resources Held = heldByWorkspace(Step);
  const auto Count = static_cast<std::uint32_t>(Step.Row_->Tasks_.size());
  for (std::uint32_t I = 0; I < Count; ++I) {
    const Choice Chosen = chooseWorker(Step, Held, Count);
    if (!Chosen.Worker_) {
      Into.Waiting_.add(Chosen.Reason_, idleTasks(*Step.Row_));
      Workers_ = Saved;
      // What did not fit beside the gang's first tasks may fit without them.
      for (auto &[Name, Pool] : Pools_)
        Pool.Unfit_.clear();
      PlannedUsage_ = SavedUsage;
      PlannedPerWorker_ = SavedPerWorker;
      return Count;
    }
    assign(Step, I, Run.next(), *Chosen.Worker_, Trial);
  }
  Into.Starts_.insert(Into.Starts_.end(), Trial.Starts_.begin(),
                      Trial.Starts_.end());
  return 0;
}

void Placement::assign(const ReadyStep &Step, std::uint32_t Index,
                       RunNumber Run, Candidate &On, Plan &Into) {
  On.take(Step.Spec_->demand());
  PlannedUsage_[Step.Job_->Spec_.Workspace_] += Step.Spec_->PerTask_;
  if (Step.Spec_->AntiAffinity_ > 0)
    ++PlannedPerWorker_[keyOf(Step, On)];
  Into.Starts_.push_back(
      {{{Step.Job_->Spec_.Id_, Step.Occurrence_, Step.Step_, Index}, Run},
       On.Worker_->Incarnation_});
}

Placement::Choice Placement::chooseWorker(const ReadyStep &Step,
                                          const Resources &Held,
                                          std::uint32_t Together) {
  const Resources &Each = Step.Spec_->PerTask_;
  if (!limitOf(Step).admits(Held, times(Each, Together), Each))
    return {nullptr, WaitReason::WorkspaceLimit};
  const auto Found = Pools_.find(Step.Queue_->Pool_);
  if (Found == Pools_.end())
    return {nullptr, WaitReason::NoWorkers};
  const Resources Demand = Step.Spec_->demand();
  if (Found->second.knownNotToFit(Demand))
    return {nullptr, WaitReason::NoRoom};
  PoolCandidates &Pool = Found->second;
  Candidate *Best = nullptr;
  bool AnyFits = false;
  for (const std::size_t I : Pool.Members_) {
    Candidate &Worker = Workers_[I];
    if (!Worker.fits(Demand))
      continue;
    AnyFits = true;
    if (!isAllowed(Step, Worker))
      continue;
    if (!Best || isBetter(Step, Worker, *Best))
      Best = &Worker;
  }
  if (!AnyFits)
    Pool.recordUnfit(Demand);
  return {Best, AnyFits ? WaitReason::NotAllowed : WaitReason::NoRoom};
}

bool Placement::isAllowed(const ReadyStep &Step,
                          const Candidate &Worker) const {
  const StepSpec &Spec = *Step.Spec_;
  if (!Spec.Requirement_.empty() &&
      !Worker.Worker_->hasLabel(Spec.Requirement_))
    return false;
  if (Step.Queue_->Advice_ &&
      !Advised_.ticket(Step.name(), Worker.Worker_->Incarnation_, Now_))
    return false;
  return Spec.AntiAffinity_ == 0 ||
         runsOnWorker(Step, Worker) < Spec.AntiAffinity_;
}

bool Placement::isBetter(const ReadyStep &Step, const Candidate &A,
                         const Candidate &B) {
  const auto Rank = [&](const Candidate &C) {
    return std::make_tuple(C.OnTrial_, C.FailureScore_, isFarFromData(Step, C),
                           C.Slow_ && Step.Spec_->Speculative_, C.Unproven_,
                           C.Free_.MilliCpus_);
  };
  return Rank(A) < Rank(B);
}

bool Placement::isFarFromData(const ReadyStep &Step, const Candidate &Worker) {
  return !Step.Spec_->DataRack_.empty() &&
         !Worker.Worker_->hasLabel(Step.Spec_->DataRack_);
}

Placement::StepOnWorker Placement::keyOf(const ReadyStep &Step,
                                         const Candidate &Worker) {
  return {Step.Job_->Spec_.Id_, Step.Occurrence_, Step.Step_,
          Worker.Worker_->Incarnation_};
}

std::uint32_t Placement::runsOnWorker(const ReadyStep &Step,
                                      const Candidate &Worker) const {
  std::uint32_t Count = 0;
  if (const auto Row = PlannedPerWorker_.find(keyOf(Step, Worker));
      Row != PlannedPerWorker_.end())
    Count = Row->second;
  for (const TaskRow &Task : Step.Row_->Tasks_)
    for (const jobs::LiveRun &Live : Task.Runs_)
      Count += Live.Worker_ == Worker.Worker_->Incarnation_;
  return Count;
}

Resources Placement::heldByWorkspace(const ReadyStep &Step) const {
  const jobs::WorkspaceName &Workspace = Step.Job_->Spec_.Workspace_;
  Resources Held = Table_.usedBy(Workspace);
  if (const auto InThisPass = PlannedUsage_.find(Workspace);
      InThisPass != PlannedUsage_.end())
    Held += InThisPass->second;
  return Held;
}

WorkspaceLimit Placement::limitOf(const ReadyStep &Step) const {
  const auto Row = Config_.Workspaces_.find(Step.Job_->Spec_.Workspace_);
  return WorkspaceLimit(
      Row == Config_.Workspaces_.end() ? Resources() : Row->second.MaxAllowed_);
}

bool Placement::hasRoomForCopy(const ReadyStep &Step) const {
  return limitOf(Step).contains(heldByWorkspace(Step) + Step.Spec_->PerTask_);
}

} // namespace laburnumspread::scheduling
