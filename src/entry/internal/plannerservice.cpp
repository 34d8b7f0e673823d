#include "entry/plannerservice.h"

#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/http/httpclient.h"

#include <set>

namespace laburnumspread::entry {

using fleet::Vm;
using fleet::Wave;
using framework::clock::Duration;
using framework::fibers::sleepFor;
using maintenance::ActionKind;
using namespace std::chrono_literals;

namespace {

constexpr Duration TickInterval = 500ms;
/// The pause between ticks is at least this multiple of the last tick's
/// planning time, which keeps planning below 1% of a core. A tick takes 9 ms
/// with 11,000 VMs and a wave.
constexpr int MinPauseToTickRatio = 100;
/// Interval of attempts to acquire the lease while another entry seems to hold
/// it, in case the watch missed the end of that lease.
constexpr Duration HeldLeaseRetryInterval = 30s;
constexpr Duration LeaseRenewInterval = 1500ms;
constexpr std::int64_t LeaseTtlSeconds = 5;
constexpr Duration CallTimeout = 2s;
constexpr Duration ProbeTimeout = 1s;
constexpr Duration RebootRequestInterval = 2s;
/// Number of consecutive platform lists that must lack a member's VM before the
/// member is removed, so that a single truncated list removes nobody.
constexpr int MissingListsBeforeRemoval = 5;

} // namespace

PlannerService::PlannerService(boost::asio::io_context &Io, EntryState &State,
                               store::EtcdStore &Store, Writer &Write,
                               ConfigService &Config,
                               MembershipService &Membership)
    : Io_(Io), State_(State), Store_(Store), Writer_(Write), Config_(Config),
      Membership_(Membership), Directory_(Io, State.Settings_.Platform_),
      Moves_({State.Settings_.WeightCloseness_, State.Settings_.WeightMoves_,
              State.Settings_.WeightBuffer_}) {}

void PlannerService::start() {
  if (State_.Settings_.Planner_)
    framework::fibers::spawn([this] { loop(); });
}

void PlannerService::loop() {
  while (true) {
    const bool Eligible =
        State_.Started_ && !State_.Leaving_ && State_.isMember();
    if (Eligible && refreshLease())
      tick();
    sleepFor(std::max(TickInterval, MinPauseToTickRatio * LastTick_));
  }
}

// Lease

bool PlannerService::acquireLease() {
  const auto Granted =
      Store_.grantLease(LeaseTtlSeconds, State_.now() + CallTimeout);
  if (!Granted.ok())
    return false;
  store::Transaction Txn;
  Txn.Compares_.push_back({Config_.plannerKey(), fleet::Revision(0)});
  Txn.Puts_.push_back(
      {Config_.plannerKey(), State_.Self_.Id_.Name_.str(), *Granted});
  const auto Done = Store_.commit(Txn, State_.now() + CallTimeout);
  if (!Done.ok() || !Done->Succeeded_)
    return false;
  LeaseId_ = *Granted;
  LeaseRevision_ = Done->StoreRevision_;
  LeaseRenewedAt_ = State_.now();
  LastWriteRevision_ = LeaseRevision_;
  State_.Decisions_.add(DecisionKind::Membership, State_.Self_.Id_.Name_.str(),
                        "planner", "holds the planner lease");
  return true;
}

void PlannerService::onLeaseLost() {
  LeaseRevision_ = fleet::Revision(0);
  Probes_.clear();
  MissingListCounts_.clear();
}

bool PlannerService::refreshLease() {
  if (!holdsLease()) {
    if (State_.PlannerLeaseSeen_ &&
        State_.now() - LeaseAttemptedAt_ < HeldLeaseRetryInterval)
      return false;
    LeaseAttemptedAt_ = State_.now();
    return acquireLease();
  }
  if (State_.now() - LeaseRenewedAt_ < LeaseRenewInterval)
    return true;
  const auto Renewed = Store_.keepLease(LeaseId_, State_.now() + CallTimeout);
  if (Renewed.ok() && *Renewed) {
    LeaseRenewedAt_ = State_.now();
    return true;
  }
  if (Renewed.ok() ||
      State_.now() - LeaseRenewedAt_ > std::chrono::seconds(LeaseTtlSeconds))
    onLeaseLost();
  return false;
}

// Ticks

void PlannerService::tick() {
  // The local state lags behind this planner's own writes. Planning before they
  // are applied could, for example, use the same place in the availability
  // budget for two VMs.
  if (State_.Config_.revision() < LastWriteRevision_)
    return;
  if (!Directory_.refresh(State_.now() + CallTimeout).ok())
    return;
  probeVmsOnProbation();
  const TimePoint Start = State_.now();
  const maintenance::Plan Steps = maintenance::planWaves(
      State_.Config_.tables(),
      {Directory_.vms(),
       [this](const std::string &Name) {
         return Membership_
             .drainState(fleet::VmName(Name), State_.Config_.lastWriteRevision(
                                                  fleet::Kind::Vms, Name))
             .drained();
       },
       [this](const std::string &Name) { return Probes_[Name]; }, Start});
  const std::vector<pools::Move> Moves = Moves_.plan(
      {State_.Config_.tables(), Directory_.vms(),
       [this](const fleet::PoolName &Pool) {
         pools::Demand Sum;
         for (const auto &[Team, Use] : State_.Usage_.totals(Pool)) {
           Sum.Running_ += Use.Running_;
           Sum.Waiting_ += Use.Waiting_;
         }
         return Sum;
       },
       [this](const std::string &Name) {
         const auto Row = State_.Endpoints_.find(fleet::VmName(Name));
         return Row ? State_.Endpoints_.at(*Row).Running_ : 0;
       },
       Start});
  LastTick_ = State_.now() - Start;
  State_.Metrics_.summary("planner_tick_seconds")
      .record(std::chrono::duration<double>(LastTick_).count());
  for (const auto &Step : Steps.Vms_)
    applyVm(Step);
  for (const auto &Step : Steps.Waves_)
    applyWave(Step);
  for (const auto &Step : Moves)
    applyMove(Step);
  removeEntriesOfDeletedVms();
}

template <typename T>
absl::Status PlannerService::write(
    const std::string &Name,
    const std::function<absl::Status(std::optional<T> &)> &Edit) {
  if (!holdsLease())
    return absl::FailedPreconditionError("planner lease is not held");
  const auto Done =
      Writer_.template change<T>(Name, Edit, false, State_.now() + CallTimeout,
                                 {{Config_.plannerKey(), LeaseRevision_}});
  State_.Metrics_.counter("planner_writes_total").add();
  if (!Done.ok())
    return Done.status();
  LastWriteRevision_ = std::max(LastWriteRevision_, Done->Revision_);
  return absl::OkStatus();
}

DecisionKind PlannerService::decisionOf(ActionKind Kind) const {
  switch (Kind) {
  case ActionKind::Leave:
  case ActionKind::CancelLeave:
    return DecisionKind::Drain;
  case ActionKind::BeginReboot:
  case ActionKind::Reboot:
    return DecisionKind::Reboot;
  case ActionKind::BeginProbation:
  case ActionKind::Activate:
  case ActionKind::Fail:
    break;
  }
  return DecisionKind::Wave;
}

void PlannerService::applyVm(const maintenance::VmAction &Step) {
  if (Step.Kind_ == ActionKind::Reboot) {
    TimePoint &RequestedAt = RebootRequestedAt_[Step.Vm_];
    if (State_.now() - RequestedAt < RebootRequestInterval)
      return;
    RequestedAt = State_.now();
    const absl::Status Done = Directory_.reboot(
        Step.Vm_, Step.To_.BootIdBeforeReboot_, State_.now() + CallTimeout);
    if (Done.ok())
      State_.Decisions_.add(DecisionKind::Reboot, Step.Vm_, "asked",
                            "boot " + Step.To_.BootIdBeforeReboot_);
    return;
  }
  const absl::Status Done =
      write<Vm>(Step.Vm_, [&](std::optional<Vm> &Object) -> absl::Status {
        if (!Object || Object->Status_.Phase_ != Step.From_)
          return absl::AbortedError("the VM has changed");
        Object->Status_ = Step.To_;
        return absl::OkStatus();
      });
  if (!Done.ok())
    return;
  if (Step.Kind_ == ActionKind::BeginProbation)
    Probes_.erase(Step.Vm_);
  State_.Decisions_.add(decisionOf(Step.Kind_), Step.Vm_,
                        maintenance::nameOf(Step.Kind_), Step.Reason_);
}

void PlannerService::applyWave(const maintenance::WaveUpdate &Step) {
  const auto *Before = State_.Config_.tables().find<Wave>(Step.Wave_);
  const bool PhaseChanged = Before && Before->Status_.Phase_ != Step.To_.Phase_;
  const absl::Status Done =
      write<Wave>(Step.Wave_, [&](std::optional<Wave> &Object) -> absl::Status {
        if (!Object)
          return absl::AbortedError("the wave was deleted");
        Object->Status_ = Step.To_;
        return absl::OkStatus();
      });
  if (Done.ok() && PhaseChanged)
    State_.Decisions_.add(
        DecisionKind::Wave, Step.Wave_, fleet::nameOf(Step.To_.Phase_),
        Step.To_.Conditions_.empty() ? "" : Step.To_.Conditions_[0].Message_);
}

void PlannerService::applyMove(const pools::Move &Step) {
  const absl::Status Done =
      write<Vm>(Step.Vm_, [&](std::optional<Vm> &Object) -> absl::Status {
        if (!Object || fleet::currentPool(*Object) != Step.From_ ||
            Object->Status_.Phase_ != fleet::VmPhase::Active)
          return absl::AbortedError("the VM has changed");
        Object->Status_.LentTo_ =
            Step.ToDeclaredPool_ ? fleet::PoolName() : Step.To_;
        Object->Status_.LentSince_ = State_.now();
        return absl::OkStatus();
      });
  if (!Done.ok())
    return;
  State_.Metrics_.counter("moves_total").add();
  State_.Decisions_.add(
      DecisionKind::Move, Step.Vm_, Step.ToDeclaredPool_ ? "home" : "lent",
      Step.From_.str() + " to " + Step.To_.str() + ": " + Step.Reason_);
}

// Probes and entries of deleted VMs

void PlannerService::probe(const std::string &Name) {
  const auto *Machine = State_.Config_.tables().find<Vm>(Name);
  const auto At = Machine
                      ? framework::http::parseAddress(Machine->Spec_.Address_)
                      : std::nullopt;
  if (!At)
    return;
  framework::http::Client Client(Io_, *At);
  framework::http::Request Message;
  Message.Method_ = "GET";
  Message.Target_ = "/healthz";
  const auto Answer = Client.exchange(Message, State_.now() + ProbeTimeout);
  maintenance::ProbeState &Row = Probes_[Name];
  if (Answer.ok() && Answer->Status_ == 200)
    ++Row.ConsecutiveSuccesses_;
  else
    Row.ConsecutiveSuccesses_ = 0;
}

void PlannerService::probeVmsOnProbation() {
  std::set<std::string> OnProbation;
  for (const auto &[Name, Machine] : State_.Config_.tables().Vms_)
    if (Machine.Status_.Phase_ == fleet::VmPhase::Probation)
      OnProbation.insert(Name);
  std::erase_if(Probes_, [&](const auto &Row) {
    return !OnProbation.contains(Row.first);
  });
  for (const std::string &Name : OnProbation)
    framework::fibers::spawn([this, Name] { probe(Name); });
}

void PlannerService::removeEntriesOfDeletedVms() {
  for (const membership::Member &Member : State_.otherMembers()) {
    if (Directory_.vms().contains(Member.Vm_.str())) {
      MissingListCounts_[Member.Id_] = 0;
      continue;
    }
    if (State_.Reachability_.isPeerReachable(Member.Id_, State_.now()))
      continue;
    // Only VMs that the platform has listed before count as missing.
    const auto Row = MissingListCounts_.find(Member.Id_);
    if (Row == MissingListCounts_.end() ||
        ++Row->second < MissingListsBeforeRemoval)
      continue;
    MissingListCounts_.erase(Row);
    Membership_
        .declareStopped(Member.Id_, "the platform no longer lists its VM")
        .IgnoreError();
    return;
  }
}

} // namespace laburnumspread::entry
