#include "maintenance/waveplanner.h"

#include "maintenance/disruptionbudgets.h"

#include <algorithm>
#include <unordered_map>

namespace laburnumspread::maintenance {

using fleet::ConditionStatus;
using fleet::Vm;
using fleet::VmPhase;
using fleet::VmStatus;
using fleet::Wave;
using fleet::WavePhase;

namespace {

bool covers(const Wave &W, const Vm &Machine) {
  const auto &Pools = W.Spec_.Pools_;
  return Pools.empty() || std::find(Pools.begin(), Pools.end(),
                                    Machine.Spec_.Pool_) != Pools.end();
}

bool isFinished(const Wave &W) {
  return W.Status_.Phase_ == WavePhase::Complete ||
         W.Status_.Phase_ == WavePhase::Cancelled;
}

bool isDone(const VmStatus &Status, const fleet::WaveName &Name) {
  const auto &Done = Status.DoneWaves_;
  return std::find(Done.begin(), Done.end(), Name) != Done.end();
}

/// Adds a wave to those that have maintained the VM, and drops waves that are
/// over or no longer declared.
void markDone(const config::FleetTables &Tables, const fleet::WaveName &Name,
              VmStatus &Status) {
  std::erase_if(Status.DoneWaves_, [&](const fleet::WaveName &Other) {
    const auto *Known = Tables.find<Wave>(Other.str());
    return !Known || isFinished(*Known);
  });
  Status.DoneWaves_.push_back(Name);
}

VmStatus inPhase(const Vm &Machine, VmPhase Phase, TimePoint Now) {
  VmStatus Status = Machine.Status_;
  Status.Phase_ = Phase;
  Status.Since_ = Now;
  return Status;
}

/// The VMs of one wave, by their progress.
struct WaveProgress {
  /// Active VMs that no wave has started with.
  std::vector<const Vm *> NotStarted_;
  std::uint32_t InProgress_ = 0;
  std::uint32_t Done_ = 0;
  std::uint32_t Failed_ = 0;
  std::uint32_t Total_ = 0;
};

WaveProgress progressOf(const config::FleetTables &Tables, const Wave &W) {
  const fleet::WaveName Name(W.Metadata_.Name_);
  WaveProgress Result;
  for (const auto &[VmText, Machine] : Tables.Vms_) {
    const VmStatus &Status = Machine.Status_;
    const bool Assigned = Status.Wave_ == Name;
    if (!Assigned && !covers(W, Machine))
      continue;
    ++Result.Total_;
    if (isDone(Status, Name))
      ++Result.Done_;
    else if (Assigned && Status.Phase_ == VmPhase::Failed)
      ++Result.Failed_;
    else if (Assigned)
      ++Result.InProgress_;
    else if (Status.Wave_.empty() && Status.Phase_ == VmPhase::Active)
      Result.NotStarted_.push_back(&Machine);
  }
  return Result;
}

/// State of the current batch of a wave.
struct BatchCapacity {
  std::uint32_t Size_ = 0;
  /// Number of VMs of the batch that may be started now.
  std::uint32_t Available_ = 0;
};

/// Computes the current batch. The batch size doubles, up to MaximumBatch_,
/// each time that all VMs of a batch are done or failed.
BatchCapacity batchCapacity(const Wave &W, const WaveProgress &Progress) {
  const std::uint32_t Finished = Progress.Done_ + Progress.Failed_;
  std::uint32_t Before = 0;
  std::uint32_t Size = W.Spec_.FirstBatch_;
  while (Before + Size <= Finished) {
    Before += Size;
    Size = std::min(2 * Size, W.Spec_.MaximumBatch_);
  }
  const std::uint32_t Started = Finished - Before + Progress.InProgress_;
  return {Size, Size > Started ? Size - Started : 0};
}

bool mustHalt(const Wave &W, const WaveProgress &Progress) {
  if (Progress.Failed_ <= W.Spec_.AcceptedFailures_)
    return false;
  // The first batch is a canary that shows whether the change works at all:
  // until that many VMs are done, a single failure halts the wave.
  const bool CanaryPassed = Progress.Done_ >= W.Spec_.FirstBatch_;
  const std::uint32_t Bound = CanaryPassed ? W.Spec_.HaltAfterFailures_ : 1;
  return Progress.Failed_ - W.Spec_.AcceptedFailures_ >= Bound;
}

/// Plans the next step of one VM that a wave has started with.
void advanceVm(const config::FleetTables &Tables, const Vm &Machine,
               bool Cancelled, const Observations &Observed, Plan &Output) {
  const std::string &Name = Machine.Metadata_.Name_;
  const VmStatus &Status = Machine.Status_;
  const auto Row = Observed.List_.find(Name);
  auto Add = [&](ActionKind Kind, VmStatus To, std::string Reason) {
    Output.Vms_.push_back(
        {Kind, Name, Status.Phase_, std::move(To), std::move(Reason)});
  };
  switch (Status.Phase_) {
  case VmPhase::Active:
  case VmPhase::Failed:
    return;
  case VmPhase::Leaving: {
    if (Cancelled) {
      VmStatus Back = inPhase(Machine, VmPhase::Active, Observed.Now_);
      Back.Wave_ = {};
      return Add(ActionKind::CancelLeave, Back, "the wave was cancelled");
    }
    if (Row == Observed.List_.end() || !Observed.Drained_(Name))
      return;
    VmStatus Next = inPhase(Machine, VmPhase::Rebooting, Observed.Now_);
    Next.BootIdBeforeReboot_ = Row->second.BootId_;
    return Add(ActionKind::BeginReboot, Next, "drained");
  }
  case VmPhase::Rebooting: {
    if (Row != Observed.List_.end() && Row->second.Live_ &&
        Row->second.BootId_ != Status.BootIdBeforeReboot_)
      return Add(ActionKind::BeginProbation,
                 inPhase(Machine, VmPhase::Probation, Observed.Now_), "booted");
    if (Observed.Now_ - Status.Since_ > RebootTimeout)
      return Add(ActionKind::Fail,
                 inPhase(Machine, VmPhase::Failed, Observed.Now_),
                 "did not return from its reboot");
    // The list lags: while it shows the old boot, the reboot may or may not be
    // in progress. Requesting it again is safe, since the platform reboots only
    // if the named boot is still the current one.
    if (Row != Observed.List_.end() &&
        Row->second.BootId_ == Status.BootIdBeforeReboot_)
      return Add(ActionKind::Reboot, Status, "reboot is due");
    return;
  }
  case VmPhase::Probation: {
    VmStatus Next = inPhase(Machine, VmPhase::Active, Observed.Now_);
    markDone(Tables, Status.Wave_, Next);
    Next.Wave_ = {};
    Next.BootIdBeforeReboot_.clear();
    if (Observed.Probes_(Name).ConsecutiveSuccesses_ >= ProbesToPass)
      return Add(ActionKind::Activate, Next, "passed its probation");
    if (Observed.Now_ - Status.Since_ > ProbationTimeout)
      return Add(ActionKind::Fail,
                 inPhase(Machine, VmPhase::Failed, Observed.Now_),
                 "did not pass its probation");
    return;
  }
  }
}

/// Sorts VMs by the number of unavailable VMs in their racks, counting the VMs
/// that come earlier, so that a batch is spread over racks.
void spreadOverRacks(std::vector<const Vm *> &Machines,
                     const DisruptionBudgets &Budgets) {
  std::unordered_map<fleet::RackName, std::uint32_t> Position;
  std::vector<std::pair<std::uint32_t, const Vm *>> Keyed;
  for (const Vm *Machine : Machines)
    Keyed.emplace_back(Budgets.unavailableInRack(*Machine) +
                           Position[Machine->Spec_.Rack_]++,
                       Machine);
  std::stable_sort(
      Keyed.begin(), Keyed.end(),
      [](const auto &A, const auto &B) { return A.first < B.first; });
  Machines.clear();
  for (const auto &[Key, Machine] : Keyed)
    Machines.push_back(Machine);
}

fleet::Condition condition(const Wave &W, std::string Type, bool Holds,
                           std::string Reason, std::string Message) {
  return {std::move(Type),
          Holds ? ConditionStatus::True : ConditionStatus::False,
          std::move(Reason), std::move(Message), W.Metadata_.Generation_};
}

/// Plans the steps of waves one after the other. All waves share the budgets.
class WaveAdvancer {
public:
  WaveAdvancer(const config::FleetTables &Tables, const Observations &Observed,
               DisruptionBudgets &Budgets, Plan &Output)
      : Tables_(Tables), Observed_(Observed), Budgets_(Budgets),
        Output_(Output) {}

  void advance(const Wave &W) {
    WaveProgress Progress = progressOf(Tables_, W);
    fleet::WaveStatus Status = W.Status_;
    Status.Total_ = Progress.Total_;
    Status.Done_ = Progress.Done_;
    Status.Failed_ = Progress.Failed_;
    if (Status.StartedAt_ == TimePoint{})
      Status.StartedAt_ = Observed_.Now_;
    const BatchCapacity Capacity = batchCapacity(W, Progress);
    Status.Batch_ = Capacity.Size_;
    BlockedReason_.clear();
    if (W.Spec_.Command_ == fleet::WaveCommand::Cancel)
      Status.Phase_ =
          Progress.InProgress_ == 0 ? WavePhase::Cancelled : WavePhase::Running;
    else if (Progress.Done_ + Progress.Failed_ == Progress.Total_)
      Status.Phase_ = WavePhase::Complete;
    else if (mustHalt(W, Progress))
      Status.Phase_ = WavePhase::Halted;
    else if (W.Spec_.Command_ == fleet::WaveCommand::Pause)
      Status.Phase_ = WavePhase::Paused;
    else
      start(W, Progress, Capacity, Status);
    Status.InProgress_ = Progress.InProgress_;
    if ((Status.Phase_ == WavePhase::Complete ||
         Status.Phase_ == WavePhase::Cancelled) &&
        Status.EndedAt_ == TimePoint{})
      Status.EndedAt_ = Observed_.Now_;
    setConditions(W, Progress, Status);
    if (Status != W.Status_)
      Output_.Waves_.push_back({W.Metadata_.Name_, std::move(Status)});
  }

private:
  void start(const Wave &W, WaveProgress &Progress,
             const BatchCapacity &Capacity, fleet::WaveStatus &Status) {
    Status.Phase_ = WavePhase::Running;
    if (Capacity.Available_ == 0)
      return;
    spreadOverRacks(Progress.NotStarted_, Budgets_);
    std::uint32_t Left = Capacity.Available_;
    for (const Vm *Machine : Progress.NotStarted_) {
      if (Left == 0)
        return;
      // Checked again for each VM, since VMs started before it use up the
      // budget.
      if (std::string Reason = Budgets_.blockingReason(*Machine);
          !Reason.empty()) {
        if (BlockedReason_.empty())
          BlockedReason_ = std::move(Reason);
        continue;
      }
      Budgets_.recordDisruption(*Machine);
      --Left;
      ++Progress.InProgress_;
      VmStatus Next = inPhase(*Machine, VmPhase::Leaving, Observed_.Now_);
      Next.Wave_ = fleet::WaveName(W.Metadata_.Name_);
      Output_.Vms_.push_back({ActionKind::Leave, Machine->Metadata_.Name_,
                              VmPhase::Active, Next,
                              "wave " + W.Metadata_.Name_});
    }
  }

  void setConditions(const Wave &W, const WaveProgress &Progress,
                     fleet::WaveStatus &Status) {
    const bool Blocked = Status.Phase_ == WavePhase::Running &&
                         Progress.InProgress_ == 0 && !BlockedReason_.empty();
    std::string Reason = "Advancing";
    std::string Message;
    if (Blocked) {
      Reason = "BudgetUsedUp";
      Message = BlockedReason_;
    } else if (Status.Phase_ == WavePhase::Halted) {
      Reason = "TooManyFailures";
      Message = std::to_string(Progress.Failed_) +
                " VMs failed; raise spec.acceptedFailures to " +
                std::to_string(Progress.Failed_) +
                " to continue, or cancel the wave";
    } else if (Status.Phase_ == WavePhase::Paused) {
      Reason = "PausedByOperator";
      Message = "set spec.run to run";
    } else if (Status.Phase_ != WavePhase::Running) {
      Reason = "Ended";
    }
    const bool Progressing = Status.Phase_ == WavePhase::Running && !Blocked;
    Status.Conditions_ = {
        condition(W, "Progressing", Progressing, Reason, Message),
        condition(W, "Complete", Status.Phase_ == WavePhase::Complete,
                  std::string(fleet::nameOf(Status.Phase_)), "")};
  }

  const config::FleetTables &Tables_;
  const Observations &Observed_;
  DisruptionBudgets &Budgets_;
  Plan &Output_;
  std::string BlockedReason_;
};

bool isCancelled(const config::FleetTables &Tables,
                 const fleet::WaveName &Name) {
  const auto *W = Tables.find<Wave>(Name.str());
  return !W || W->Spec_.Command_ == fleet::WaveCommand::Cancel;
}

} // namespace

std::string_view nameOf(ActionKind Kind) {
  switch (Kind) {
  case ActionKind::Leave:
    return "leave";
  case ActionKind::CancelLeave:
    return "recall";
  case ActionKind::BeginReboot:
    return "begin-reboot";
  case ActionKind::Reboot:
    return "reboot";
  case ActionKind::BeginProbation:
    return "begin-probation";
  case ActionKind::Activate:
    return "activate";
  case ActionKind::Fail:
    return "fail";
  }
  return "leave";
}

Plan planWaves(const config::FleetTables &Tables,
               const Observations &Observed) {
  Plan Result;
  for (const auto &[Name, Machine] : Tables.Vms_)
    if (!Machine.Status_.Wave_.empty())
      advanceVm(Tables, Machine, isCancelled(Tables, Machine.Status_.Wave_),
                Observed, Result);
  if (std::all_of(Tables.Waves_.begin(), Tables.Waves_.end(),
                  [](const auto &Row) { return isFinished(Row.second); }))
    return Result;
  DisruptionBudgets Budgets(Tables, Observed.List_);
  WaveAdvancer Advancer(Tables, Observed, Budgets, Result);
  for (const auto &[Name, W] : Tables.Waves_)
    if (!isFinished(W))
      Advancer.advance(W);
  return Result;
}

} // namespace laburnumspread::maintenance
