#include "jobs/eventcodec.h"

#include "journal.pb.h"

namespace laburnumspread::jobs {

namespace {

/// Upper limit on the bytes of an event's tag and length.
constexpr std::size_t EventOverheadBytes = 8;

void write(const StepSpec &From, wire::Step &To) {
  To.set_count(From.Count_);
  To.set_milli_cpus(From.PerTask_.MilliCpus_);
  To.set_memory_mb(From.PerTask_.MemoryMb_);
  To.set_accelerators(From.PerTask_.Accelerators_);
  To.set_estimate_micros(From.Estimate_.count());
  for (const std::uint32_t Step : From.After_)
    To.add_after(Step);
  To.set_checkpointing(From.Checkpointing_);
  To.set_gang(From.Gang_);
  To.set_tightly_coupled(From.TightlyCoupled_);
  To.set_requirement(From.Requirement_.str());
  To.set_data_rack(From.DataRack_.str());
  To.set_anti_affinity(From.AntiAffinity_);
  To.set_speculative(From.Speculative_);
  To.set_long_running(From.LongRunning_);
  To.set_image(From.Image_.str());
  To.set_target_ms(From.TargetMs_);
  To.set_filler(From.Filler_);
  To.set_may_miss(From.MaxUnavailable_);
}

StepSpec read(const wire::Step &From) {
  StepSpec To;
  To.Count_ = From.count();
  To.PerTask_ = {From.milli_cpus(), From.memory_mb(), From.accelerators()};
  To.Estimate_ = Duration(From.estimate_micros());
  To.After_.assign(From.after().begin(), From.after().end());
  To.Checkpointing_ = From.checkpointing();
  To.Gang_ = From.gang();
  To.TightlyCoupled_ = From.tightly_coupled();
  To.Requirement_ = Label(From.requirement());
  To.DataRack_ = Label(From.data_rack());
  To.AntiAffinity_ = From.anti_affinity();
  To.Speculative_ = From.speculative();
  To.LongRunning_ = From.long_running();
  To.Image_ = ImageName(From.image());
  To.TargetMs_ = From.target_ms();
  To.Filler_ = From.filler();
  To.MaxUnavailable_ = From.may_miss();
  return To;
}

void write(const JobSpec &From, wire::Job &To) {
  To.set_id(From.Id_.str());
  To.set_queue(From.Queue_.str());
  To.set_workspace(From.Workspace_.str());
  To.set_payload(From.Payload_);
  for (const StepSpec &Step : From.Steps_)
    write(Step, *To.add_steps());
  To.set_occurrences(From.Occurrences_);
  To.set_first_due_ms(From.FirstDueMs_);
  To.set_interval_micros(From.Interval_.count());
  To.set_accepted_ms(From.AcceptedMs_);
}

JobSpec read(const wire::Job &From) {
  JobSpec To;
  To.Id_ = JobId(From.id());
  To.Queue_ = QueueName(From.queue());
  To.Workspace_ = WorkspaceName(From.workspace());
  To.Payload_ = From.payload();
  for (const wire::Step &Step : From.steps())
    To.Steps_.push_back(read(Step));
  To.Occurrences_ = From.occurrences();
  To.FirstDueMs_ = From.first_due_ms();
  To.Interval_ = Duration(From.interval_micros());
  To.AcceptedMs_ = From.accepted_ms();
  return To;
}

void write(const TaskName &From, wire::Task &To) {
  To.set_job(From.Job_.str());
  To.set_occurrence(From.Occurrence_);
  To.set_step(From.Step_);
  To.set_index(From.Index_);
}

TaskName read(const wire::Task &From) {
  return {JobId(From.job()), From.occurrence(), From.step(), From.index()};
}

/// Maps kinds unknown to this version to Lost, which claims least: the run is
/// over, the task is not done.
EndKind readEnd(std::uint32_t Value) {
  return Value <= static_cast<std::uint32_t>(EndKind::Lost)
             ? static_cast<EndKind>(Value)
             : EndKind::Lost;
}

void write(const JobAccepted &From, wire::Event &To) {
  write(From.Spec_, *To.mutable_accepted());
}

void write(const RunIntended &From, wire::Event &To) {
  wire::RunIntended &Into = *To.mutable_intended();
  write(From.Run_.Task_, *Into.mutable_task());
  Into.set_run(From.Run_.Run_.value());
  Into.set_worker(From.Worker_.Id_.str());
  Into.set_born_ms(From.Worker_.StartedMs_);
}

void write(const RunEnded &From, wire::Event &To) {
  wire::RunEnded &Into = *To.mutable_ended();
  write(From.Run_.Task_, *Into.mutable_task());
  Into.set_run(From.Run_.Run_.value());
  Into.set_kind(static_cast<std::uint32_t>(From.Kind_));
  Into.set_checkpoint(From.Saved_.str());
  Into.set_attempt_limit(From.AttemptLimit_);
}

void write(const JobCancelled &From, wire::Event &To) {
  To.set_cancelled(From.Job_.str());
}

void write(const UpkeepBegun &From, wire::UpkeepBegun &To) {
  To.set_wave(From.Wave_.value());
  To.set_machine(From.Machine_.str());
}

UpkeepBegun read(const wire::UpkeepBegun &From) {
  return {WaveNumber(From.wave()), MachineId(From.machine())};
}

void write(const UpkeepBegun &From, wire::Event &To) {
  write(From, *To.mutable_upkeep_begun());
}

void write(const MachineOrdered &From, wire::MachineOrdered &To) {
  To.set_machine(From.Machine_.str());
  To.set_from_pool(From.From_.str());
}

MachineOrdered read(const wire::MachineOrdered &From) {
  return {MachineId(From.machine()), fleet::PoolName(From.from_pool())};
}

void write(const MachineOrdered &From, wire::Event &To) {
  write(From, *To.mutable_machine_ordered());
}

void write(const AdviceTerms &From, wire::AdviceTerms &To) {
  To.set_decision_micros(From.DecisionTime_.count());
  To.set_per_worker_micros(From.TimePerWorker_.count());
  To.set_valid_for_micros(From.ValidFor_.count());
}

AdviceTerms read(const wire::AdviceTerms &From) {
  return {Duration(From.decision_micros()), Duration(From.per_worker_micros()),
          Duration(From.valid_for_micros())};
}

void write(const QueueConfig &From, wire::Queue &To) {
  To.set_name(From.Name_.str());
  To.set_host(From.Host_);
  To.set_path_prefix(From.PathPrefix_);
  To.set_pool(From.Pool_.str());
  To.set_priority(From.Priority_);
  To.set_max_attempts(From.MaxAttempts_);
  To.set_stretch(From.Stretch_);
  To.set_target_latency_micros(From.TargetLatency_.count());
  To.set_public_(From.Public_);
  if (From.Advice_)
    write(*From.Advice_, *To.mutable_advice());
}

QueueConfig read(const wire::Queue &From) {
  QueueConfig To;
  To.Name_ = QueueName(From.name());
  To.Host_ = From.host();
  To.PathPrefix_ = From.path_prefix();
  To.Pool_ = fleet::PoolName(From.pool());
  To.Priority_ = From.priority();
  To.MaxAttempts_ = From.max_attempts();
  To.Stretch_ = From.stretch();
  To.TargetLatency_ = Duration(From.target_latency_micros());
  To.Public_ = From.public_();
  if (From.has_advice())
    To.Advice_ = read(From.advice());
  return To;
}

void write(const QueueRecorded &From, wire::Event &To) {
  write(From.Queue_, *To.mutable_queue_recorded());
}

std::optional<Event> read(const wire::Event &From) {
  switch (From.kind_case()) {
  case wire::Event::kAccepted:
    return JobAccepted{read(From.accepted())};
  case wire::Event::kIntended: {
    const wire::RunIntended &Item = From.intended();
    return RunIntended{{read(Item.task()), RunNumber(Item.run())},
                       {WorkerId(Item.worker()), Item.born_ms()}};
  }
  case wire::Event::kEnded: {
    const wire::RunEnded &Item = From.ended();
    return RunEnded{{read(Item.task()), RunNumber(Item.run())},
                    readEnd(Item.kind()),
                    Checkpoint(Item.checkpoint()),
                    Item.attempt_limit()};
  }
  case wire::Event::kCancelled:
    return JobCancelled{JobId(From.cancelled())};
  case wire::Event::kUpkeepBegun:
    return read(From.upkeep_begun());
  case wire::Event::kMachineOrdered:
    return read(From.machine_ordered());
  case wire::Event::kQueueRecorded:
    return QueueRecorded{read(From.queue_recorded())};
  case wire::Event::KIND_NOT_SET:
    return std::nullopt;
  }
  return std::nullopt;
}

/// Whether the task has never been started and need not be stored.
bool untouched(const TaskRow &Task) {
  return !Task.Done_ && Task.LastRun_.value() == 0 && Task.Failures_ == 0;
}

void write(const TaskName &Name, const TaskRow &From, wire::TaskRow &To) {
  To.set_occurrence(Name.Occurrence_);
  To.set_step(Name.Step_);
  To.set_index(Name.Index_);
  To.set_done(From.Done_);
  To.set_last_run(From.LastRun_.value());
  To.set_failures(From.Failures_);
  To.set_checkpoint(From.Saved_.str());
  for (const LiveRun &Live : From.Runs_) {
    wire::LiveRun &Into = *To.add_runs();
    Into.set_run(Live.Run_.value());
    Into.set_worker(Live.Worker_.Id_.str());
    Into.set_born_ms(Live.Worker_.StartedMs_);
  }
}

void write(const JobRow &From, wire::JobRow &To) {
  write(From.Spec_, *To.mutable_job());
  To.set_state(static_cast<std::uint32_t>(From.State_));
  if (From.ended() && From.LiveRuns_ == 0) {
    // Only the state of such a job can still be queried.
    To.mutable_job()->clear_steps();
    return;
  }
  for (const auto &[First, End] : From.Occurrences_.settledRanges()) {
    wire::OccurrenceRange &Range = *To.add_settled();
    Range.set_first(First);
    Range.set_end(End);
  }
  for (const auto &[K, Occurrence] : From.Occurrences_.touched())
    for (std::uint32_t S = 0; S < Occurrence.Steps_.size(); ++S) {
      const auto &Tasks = Occurrence.Steps_[S].Tasks_;
      for (std::uint32_t I = 0; I < Tasks.size(); ++I)
        if (!untouched(Tasks[I]))
          write({From.Spec_.Id_, K, S, I}, Tasks[I], *To.add_tasks());
    }
}

TaskRow read(const wire::TaskRow &From, TimePoint Now) {
  TaskRow To;
  To.Done_ = From.done();
  To.LastRun_ = RunNumber(From.last_run());
  To.Failures_ = From.failures();
  To.Saved_ = Checkpoint(From.checkpoint());
  for (const wire::LiveRun &Live : From.runs()) {
    LiveRun Run;
    Run.Run_ = RunNumber(Live.run());
    Run.Worker_ = {WorkerId(Live.worker()), Live.born_ms()};
    Run.StartedAt_ = Now;
    To.Runs_.push_back(std::move(Run));
  }
  return To;
}

JobState stateOf(const wire::JobRow &Row) {
  return Row.state() <= static_cast<std::uint32_t>(JobState::Cancelled)
             ? static_cast<JobState>(Row.state())
             : JobState::Pending;
}

/// Whether the row holds more of a job that an earlier part contains. A job has
/// steps, or has ended and is stored without tasks.
bool continuesJob(const wire::JobRow &Row) {
  return Row.job().steps().empty() &&
         !(Row.tasks().empty() && Row.settled().empty());
}

void restoreRow(const wire::JobRow &Row, TimePoint Now, CellTable &Into) {
  if (!continuesJob(Row) && !Into.restore(read(Row.job()), stateOf(Row), Now))
    return;
  const JobId Job(Row.job().id());
  for (const wire::OccurrenceRange &Range : Row.settled())
    Into.restoreSettled(Job, Range.first(), Range.end(), Now);
  for (const wire::TaskRow &Task : Row.tasks())
    Into.restoreTask({Job, Task.occurrence(), Task.step(), Task.index()},
                     read(Task, Now), Now);
}

/// Collects the rows of a snapshot in parts.
class SnapshotWriter {
public:
  SnapshotWriter(std::size_t PartBytes, std::size_t MaxBytes)
      : PartBytes_(PartBytes), MaxBytes_(MaxBytes) {}

  void add(wire::JobRow Row) {
    if (sizeOf(Row) > MaxBytes_)
      split(std::move(Row));
    else
      addWhole(std::move(Row));
  }
  void add(const QueueConfig &Queue) {
    wire::Queue Row;
    write(Queue, Row);
    reserve(sizeOf(Row));
    *Part_.add_queues() = std::move(Row);
    if (Bytes_ >= PartBytes_)
      endPart();
  }
  void add(const UpkeepBegun &Item) {
    wire::UpkeepBegun Row;
    write(Item, Row);
    reserve(sizeOf(Row));
    *Part_.add_upkeep() = std::move(Row);
  }
  void add(const MachineOrdered &Item) {
    wire::MachineOrdered Row;
    write(Item, Row);
    reserve(sizeOf(Row));
    *Part_.add_machine_orders() = std::move(Row);
  }

  std::vector<std::string> finish() {
    if (Bytes_ > 0)
      endPart();
    return std::move(Parts_);
  }

private:
  /// Upper limit on the bytes of a row's tag and length.
  static constexpr std::size_t RowOverheadBytes = 8;

  template <typename Row> static std::size_t sizeOf(const Row &Item) {
    return Item.ByteSizeLong() + RowOverheadBytes;
  }

  /// Ends the part if another row of \p Bytes does not fit.
  void reserve(std::size_t Bytes) {
    if (Bytes_ > 0 && Bytes_ + Bytes > MaxBytes_)
      endPart();
    Bytes_ += Bytes;
  }

  void endPart() {
    Parts_.push_back(Part_.SerializeAsString());
    Part_.Clear();
    Bytes_ = 0;
  }

  void addWhole(wire::JobRow Row) {
    reserve(sizeOf(Row));
    *Part_.add_jobs() = std::move(Row);
    if (Bytes_ >= PartBytes_)
      endPart();
  }

  /// Adds a row that \p More bytes do not fit into, and begins the next one.
  void endRowIfFull(const std::string &Id, std::size_t More, wire::JobRow &Row,
                    std::size_t &Bytes) {
    if (Bytes + More > MaxBytes_) {
      addWhole(std::exchange(Row, {}));
      Row.mutable_job()->set_id(Id);
      Bytes = sizeOf(Row);
    }
    Bytes += More;
  }

  /// Adds the job in rows that each fit into a part; all but the first hold
  /// only the job's id, settled occurrences and tasks.
  void split(wire::JobRow Whole) {
    const std::string Id = Whole.job().id();
    auto Tasks = std::move(*Whole.mutable_tasks());
    auto Settled = std::move(*Whole.mutable_settled());
    wire::JobRow Row = std::move(Whole);
    Row.clear_tasks();
    Row.clear_settled();
    std::size_t Bytes = sizeOf(Row);
    for (wire::OccurrenceRange &Range : Settled) {
      endRowIfFull(Id, sizeOf(Range), Row, Bytes);
      *Row.add_settled() = std::move(Range);
    }
    for (wire::TaskRow &Task : Tasks) {
      endRowIfFull(Id, sizeOf(Task), Row, Bytes);
      *Row.add_tasks() = std::move(Task);
    }
    addWhole(std::move(Row));
  }

  std::size_t PartBytes_;
  std::size_t MaxBytes_;
  wire::Snapshot Part_;
  std::size_t Bytes_ = 0;
  std::vector<std::string> Parts_;
};

} // namespace

std::string encodeGroup(const std::vector<Event> &Events,
                        const GroupStamp &Stamp) {
  wire::Group Group;
  Group.set_token(Stamp.Token_.value());
  Group.set_since_takeover_micros(Stamp.SinceTakeover_.count());
  for (const Event &Item : Events)
    std::visit([&](const auto &Body) { write(Body, *Group.add_events()); },
               Item);
  return Group.SerializeAsString();
}

EncodedGroup encodeFirst(std::span<const Event> Events, const GroupStamp &Stamp,
                         std::size_t MaxBytes) {
  wire::Group Group;
  Group.set_token(Stamp.Token_.value());
  Group.set_since_takeover_micros(Stamp.SinceTakeover_.count());
  std::size_t Bytes = Group.ByteSizeLong();
  EncodedGroup Result;
  for (const Event &Item : Events) {
    wire::Event &Row = *Group.add_events();
    std::visit([&](const auto &Body) { write(Body, Row); }, Item);
    Bytes += Row.ByteSizeLong() + EventOverheadBytes;
    if (Bytes > MaxBytes) {
      Group.mutable_events()->RemoveLast();
      break;
    }
    ++Result.Events_;
  }
  Result.Bytes_ = Group.SerializeAsString();
  return Result;
}

absl::StatusOr<EventGroup> decodeGroup(std::string_view Bytes) {
  wire::Group Group;
  if (!Group.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return absl::DataLossError("journal entry cannot be read");
  EventGroup Result;
  Result.Stamp_ = {FencingToken(Group.token()),
                   Duration(Group.since_takeover_micros())};
  for (const wire::Event &Item : Group.events())
    if (auto Read = read(Item))
      Result.Events_.push_back(std::move(*Read));
  return Result;
}

std::vector<std::string> encodeSnapshot(const CellTable &Table,
                                        std::size_t PartBytes,
                                        std::size_t MaxBytes) {
  SnapshotWriter Writer(PartBytes, MaxBytes);
  for (const auto &[Id, Job] : Table.jobs()) {
    wire::JobRow Row;
    write(Job, Row);
    Writer.add(std::move(Row));
  }
  for (const auto &[Name, Queue] : Table.queueRecords())
    Writer.add(Queue);
  for (const auto &[Wave, Machines] : Table.upkeep())
    for (const MachineId &Machine : Machines)
      Writer.add(UpkeepBegun{Wave, Machine});
  for (const auto &[Machine, Order] : Table.machineOrders())
    Writer.add(MachineOrdered{Machine, Order.HomePool_});
  return Writer.finish();
}

absl::Status decodeSnapshot(std::string_view Bytes, TimePoint Now,
                            CellTable &Into) {
  wire::Snapshot Part;
  if (!Part.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return absl::DataLossError("snapshot cannot be read");
  for (const wire::JobRow &Row : Part.jobs())
    restoreRow(Row, Now, Into);
  for (const wire::Queue &Row : Part.queues())
    Into.apply(QueueRecorded{read(Row)}, Now);
  for (const wire::UpkeepBegun &Row : Part.upkeep())
    Into.apply(read(Row), Now);
  for (const wire::MachineOrdered &Row : Part.machine_orders())
    Into.apply(read(Row), Now);
  return absl::OkStatus();
}

} // namespace laburnumspread::jobs
