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

bool covers(const Wave &Of, const Vm &Machine) {
  const auto &Pools = Of.Spec_.Pools_;
  return Pools.empty() || std::find(Pools.begin(), Pools.end(),
                                    Machine.Spec_.Pool_) != Pools.end();
}

bool isOver(const Wave &Of) {
  return Of.Status_.Phase_ == WavePhase::Complete ||
         Of.Status_.Phase_ == WavePhase::Cancelled;
}

bool isDone(const VmStatus &Status, const fleet::WaveName &Name) {
  const auto &Done = Status.DoneWaves_;
  return std::find(Done.begin(), Done.end(), Name) != Done.end();
}

/// Notes that a wave has maintained the VM, and forgets waves that are over.
void noteDone(const config::FleetTables &Tables, const fleet::WaveName &Name,
              VmStatus &Status) {
  std::erase_if(Status.DoneWaves_, [&](const fleet::WaveName &Other) {
    const auto *Known = Tables.find<Wave>(Other.str());
    return !Known || isOver(*Known);
  });
  Status.DoneWaves_.push_back(Name);
}

VmStatus inPhase(const Vm &Machine, VmPhase Phase, TimePoint Now) {
  VmStatus Status = Machine.Status_;
  Status.Phase_ = Phase;
  Status.Since_ = Now;
  return Status;
}

/// One wave's VMs, by how far they are.
struct WaveProgress {
  std::vector<const Vm *> ToDo_;
  std::uint32_t InProgress_ = 0;
  std::uint32_t Done_ = 0;
  std::uint32_t Failed_ = 0;
  std::uint32_t Total_ = 0;
};

WaveProgress progressOf(const config::FleetTables &Tables, const Wave &Of) {
  const fleet::WaveName Name(Of.Metadata_.Name_);
  WaveProgress Result;
  for (const auto &[VmText, Machine] : Tables.Vms_) {
    const VmStatus &Status = Machine.Status_;
    const bool Mine = Status.Wave_ == Name;
    if (!Mine && !covers(Of, Machine))
      continue;
    ++Result.Total_;
    if (isDone(Status, Name))
      ++Result.Done_;
    else if (Mine && Status.Phase_ == VmPhase::Failed)
      ++Result.Failed_;
    else if (Mine)
      ++Result.InProgress_;
    else if (Status.Wave_.empty() && Status.Phase_ == VmPhase::Active)
      Result.ToDo_.push_back(&Machine);
  }
  return Result;
}

/// Batches grow by doubling, each after the one before has ended. Returns how
/// many VMs may be started now and the size of the present batch.
struct BatchRoom {
  std::uint32_t Size_ = 0;
  std::uint32_t Room_ = 0;
};

BatchRoom batchRoom(const Wave &Of, const WaveProgress &Progress) {
  const std::uint32_t Ended = Progress.Done_ + Progress.Failed_;
  std::uint32_t Before = 0;
  std::uint32_t Size = Of.Spec_.FirstBatch_;
  while (Before + Size <= Ended) {
    Before += Size;
    Size = std::min(2 * Size, Of.Spec_.MaximumBatch_);
  }
  const std::uint32_t Started = Ended - Before + Progress.InProgress_;
  return {Size, Size > Started ? Size - Started : 0};
}

bool mustHalt(const Wave &Of, const WaveProgress &Progress) {
  if (Progress.Failed_ <= Of.Spec_.AcceptedFailures_)
    return false;
  // The first batch is there to show whether the change is sound at all: one
  // failure before that many VMs have come back well is enough.
  const bool Shown = Progress.Done_ >= Of.Spec_.FirstBatch_;
  const std::uint32_t Bound = Shown ? Of.Spec_.HaltAfterFailures_ : 1;
  return Progress.Failed_ - Of.Spec_.AcceptedFailures_ >= Bound;
}

/// Brings one VM that a wave has begun with forward.
void advanceVm(const config::FleetTables &Tables, const Vm &Machine,
               bool Cancelled, const Observations &Seen, Plan &Into) {
  const std::string &Name = Machine.Metadata_.Name_;
  const VmStatus &Status = Machine.Status_;
  const auto Row = Seen.List_.find(Name);
  auto Add = [&](ActionKind Kind, VmStatus To, std::string Reason) {
    Into.Vms_.push_back(
        {Kind, Name, Status.Phase_, std::move(To), std::move(Reason)});
  };
  switch (Status.Phase_) {
  case VmPhase::Active:
  case VmPhase::Failed:
    return;
  case VmPhase::Leaving: {
    if (Cancelled) {
      VmStatus Back = inPhase(Machine, VmPhase::Active, Seen.Now_);
      Back.Wave_ = {};
      return Add(ActionKind::CancelLeave, Back, "the wave was cancelled");
    }
    if (Row == Seen.List_.end() || !Seen.Drained_(Name))
      return;
    VmStatus Next = inPhase(Machine, VmPhase::Rebooting, Seen.Now_);
    Next.BootIdBeforeReboot_ = Row->second.BootId_;
    return Add(ActionKind::BeginReboot, Next, "drained");
  }
  case VmPhase::Rebooting: {
    if (Row != Seen.List_.end() && Row->second.Live_ &&
        Row->second.BootId_ != Status.BootIdBeforeReboot_)
      return Add(ActionKind::BeginProbation,
                 inPhase(Machine, VmPhase::Probation, Seen.Now_), "booted");
    if (Seen.Now_ - Status.Since_ > RebootTimeout)
      return Add(ActionKind::Fail, inPhase(Machine, VmPhase::Failed, Seen.Now_),
                 "did not come back from its reboot");
    // The list lags: as long as it shows the old boot the reboot may or may
    // not be under way. Asking again is harmless, since the platform reboots
    // only the boot that is named.
    if (Row != Seen.List_.end() &&
        Row->second.BootId_ == Status.BootIdBeforeReboot_)
      return Add(ActionKind::Reboot, Status, "reboot is due");
    return;
  }
  case VmPhase::Probation: {
    VmStatus Next = inPhase(Machine, VmPhase::Active, Seen.Now_);
    noteDone(Tables, Status.Wave_, Next);
    Next.Wave_ = {};
    Next.BootIdBeforeReboot_.clear();
    if (Seen.Probes_(Name).ConsecutiveSuccesses_ >= ProbesToPass)
      return Add(ActionKind::Activate, Next, "passed its probation");
    if (Seen.Now_ - Status.Since_ > ProbationTimeout)
      return Add(ActionKind::Fail, inPhase(Machine, VmPhase::Failed, Seen.Now_),
                 "did not pass its probation");
    return;
  }
  }
}

/// Order in which VMs are taken: racks with the fewest VMs down first, so that
/// a batch is spread over racks.
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

fleet::Condition condition(const Wave &Of, std::string Type, bool Holds,
                           std::string Reason, std::string Message) {
  return {std::move(Type),
          Holds ? ConditionStatus::True : ConditionStatus::False,
          std::move(Reason), std::move(Message), Of.Metadata_.Generation_};
}

class WaveStep {
public:
  WaveStep(const config::FleetTables &Tables, const Observations &Seen,
           DisruptionBudgets &Budgets, Plan &Into)
      : Tables_(Tables), Seen_(Seen), Budgets_(Budgets), Into_(Into) {}

  void run(const Wave &Of) {
    WaveProgress Progress = progressOf(Tables_, Of);
    fleet::WaveStatus Status = Of.Status_;
    Status.Total_ = Progress.Total_;
    Status.Done_ = Progress.Done_;
    Status.Failed_ = Progress.Failed_;
    if (Status.StartedAt_ == TimePoint{})
      Status.StartedAt_ = Seen_.Now_;
    const BatchRoom Room = batchRoom(Of, Progress);
    Status.Batch_ = Room.Size_;
    Blocked_.clear();
    if (Of.Spec_.Command_ == fleet::WaveCommand::Cancel)
      Status.Phase_ =
          Progress.InProgress_ == 0 ? WavePhase::Cancelled : WavePhase::Running;
    else if (Progress.Done_ + Progress.Failed_ == Progress.Total_)
      Status.Phase_ = WavePhase::Complete;
    else if (mustHalt(Of, Progress))
      Status.Phase_ = WavePhase::Halted;
    else if (Of.Spec_.Command_ == fleet::WaveCommand::Pause)
      Status.Phase_ = WavePhase::Paused;
    else
      start(Of, Progress, Room, Status);
    Status.InProgress_ = Progress.InProgress_;
    if ((Status.Phase_ == WavePhase::Complete ||
         Status.Phase_ == WavePhase::Cancelled) &&
        Status.EndedAt_ == TimePoint{})
      Status.EndedAt_ = Seen_.Now_;
    setConditions(Of, Progress, Status);
    if (Status != Of.Status_)
      Into_.Waves_.push_back({Of.Metadata_.Name_, std::move(Status)});
  }

private:
  void start(const Wave &Of, WaveProgress &Progress, const BatchRoom &Room,
             fleet::WaveStatus &Status) {
    Status.Phase_ = WavePhase::Running;
    if (Room.Room_ == 0)
      return;
    spreadOverRacks(Progress.ToDo_, Budgets_);
    std::uint32_t Left = Room.Room_;
    for (const Vm *Machine : Progress.ToDo_) {
      if (Left == 0)
        return;
      // Checked for each: the ones before it count already.
      if (std::string Why = Budgets_.blockingReason(*Machine); !Why.empty()) {
        if (Blocked_.empty())
          Blocked_ = std::move(Why);
        continue;
      }
      Budgets_.recordDisruption(*Machine);
      --Left;
      ++Progress.InProgress_;
      VmStatus Next = inPhase(*Machine, VmPhase::Leaving, Seen_.Now_);
      Next.Wave_ = fleet::WaveName(Of.Metadata_.Name_);
      Into_.Vms_.push_back({ActionKind::Leave, Machine->Metadata_.Name_,
                            VmPhase::Active, Next,
                            "wave " + Of.Metadata_.Name_});
    }
  }

  void setConditions(const Wave &Of, const WaveProgress &Progress,
                     fleet::WaveStatus &Status) {
    const bool Stuck = Status.Phase_ == WavePhase::Running &&
                       Progress.InProgress_ == 0 && !Blocked_.empty();
    std::string Reason = "Advancing";
    std::string Message;
    if (Stuck) {
      Reason = "BudgetUsedUp";
      Message = Blocked_;
    } else if (Status.Phase_ == WavePhase::Halted) {
      Reason = "TooManyFailures";
      Message = std::to_string(Progress.Failed_) +
                " VMs failed; raise spec.acceptedFailures to " +
                std::to_string(Progress.Failed_) +
                " to roll on, or cancel the wave";
    } else if (Status.Phase_ == WavePhase::Paused) {
      Reason = "PausedByOperator";
      Message = "set spec.run to run";
    } else if (Status.Phase_ != WavePhase::Running) {
      Reason = "Ended";
    }
    const bool Going = Status.Phase_ == WavePhase::Running && !Stuck;
    Status.Conditions_ = {
        condition(Of, "Progressing", Going, Reason, Message),
        condition(Of, "Complete", Status.Phase_ == WavePhase::Complete,
                  std::string(fleet::nameOf(Status.Phase_)), "")};
  }

  const config::FleetTables &Tables_;
  const Observations &Seen_;
  DisruptionBudgets &Budgets_;
  Plan &Into_;
  std::string Blocked_;
};

bool isCancelled(const config::FleetTables &Tables,
                 const fleet::WaveName &Name) {
  const auto *Of = Tables.find<Wave>(Name.str());
  return !Of || Of->Spec_.Command_ == fleet::WaveCommand::Cancel;
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

Plan planWaves(const config::FleetTables &Tables, const Observations &Seen) {
  Plan Result;
  for (const auto &[Name, Machine] : Tables.Vms_)
    if (!Machine.Status_.Wave_.empty())
      advanceVm(Tables, Machine, isCancelled(Tables, Machine.Status_.Wave_),
                Seen, Result);
  if (std::all_of(Tables.Waves_.begin(), Tables.Waves_.end(),
                  [](const auto &Row) { return isOver(Row.second); }))
    return Result;
  DisruptionBudgets Budgets(Tables, Seen.List_);
  WaveStep Step(Tables, Seen, Budgets, Result);
  for (const auto &[Name, Of] : Tables.Waves_)
    if (!isOver(Of))
      Step.run(Of);
  return Result;
}

} // namespace laburnumspread::maintenance
