#pragma once

#include "cell/callcheck.h"
#include "cell/callrules.h"
#include "cell/refusedjobs.h"
#include "cell/workersessions.h"
#include "jobs/queuerecords.h"
#include "peers/messages.h"

namespace laburnumspread::cell {

using JobReplyFn = std::function<void(const peers::JobReply &)>;

/// Serves callers' requests about jobs, for one term. A reply is sent only once
/// the store holds the change that it confirms.
template <store::KeyValueStore Store, WorkerClient Client>
class JobCallHandler {
public:
  using TermPtr = std::shared_ptr<Term<Store>>;
  using SessionsPtr = std::shared_ptr<WorkerSessions<Store, Client>>;

  /// Jobs that are refused during an outage return after this, and up to as
  /// much later, so that not all of them meet the store at its return.
  static constexpr Duration OutageRetryAfter = std::chrono::seconds(1);
  /// The same for jobs that are refused by a leader with too little processor
  /// time.
  static constexpr Duration OverloadRetryAfter = std::chrono::seconds(1);

  /// The same for jobs that the leader has no memory for: tasks must end first.
  static constexpr Duration FullTableRetryAfter = std::chrono::seconds(2);
  /// Most rows of tasks (OccurrenceTable) with which a job is accepted, and
  /// most that one job may take. A row takes some 100 bytes, so the tables stay
  /// below a quarter of a small entry's 260 MB. A leader that exceeds its
  /// memory is killed, and its successors too, as they load the same jobs.
  static constexpr std::uint64_t MaxRows = 600'000;
  static constexpr std::uint64_t MaxRowsOfAJob = 200'000;

  JobCallHandler(TermPtr T, SessionsPtr S)
      : Term_(std::move(T)), Sessions_(std::move(S)) {}

  /// Serves a call. \p Reply is called once, possibly later. A call that an
  /// earlier attempt has decided is not decided anew.
  void handle(const peers::JobCall &Call, const JobReplyFn &Reply) {
    if (const auto Before = earlierReply(Call))
      return Reply(*Before);
    switch (Call.Kind_) {
    case peers::JobCallKind::Submit:
      return submit(Call, Reply);
    case peers::JobCallKind::State:
      return state(Call, Reply);
    case peers::JobCallKind::Cancel:
      return cancel(Call, Reply);
    case peers::JobCallKind::Waiting:
      return Reply({Call.Sequence_, peers::JobCallStatus::Ok, "",
                    Term_->Table_.waiting(QueueName(Call.Queue_)), 0});
    }
  }

  /// Returns the status to refuse a call with under a configuration that is
  /// newer than that of the entry that admitted it, or nullopt. A change that
  /// is made already is not refused, nor is a call decided anew.
  std::optional<peers::JobCallStatus>
  refusalUnder(const CellConfig &InForce, const peers::JobCall &Call) const {
    const auto Refusal = refusalByNewerConfig(InForce, Call);
    if (!Refusal || isInEffect(Call, Term_->Table_) || earlierReply(Call))
      return std::nullopt;
    framework::log::info("call.refused_by_newer_config")
        .field("queue", Call.Queue_)
        .field("config", InForce.Version_.value())
        .field("entry_config", Call.ConfigVersion_);
    return Refusal;
  }

  /// Whether the call can be decided only under a configuration that the leader
  /// has not read yet. A job that is known is not decided anew.
  bool awaitsConfig(const CellConfig &InForce,
                    const peers::JobCall &Call) const {
    return needsNewerConfig(InForce, Call) &&
           !isInEffect(Call, Term_->Table_) && !earlierReply(Call);
  }

  /// Rejects a call, and each later attempt of it during this term.
  void reject(const peers::JobCall &Call, const peers::JobReply &Rejection,
              const JobReplyFn &Reply) {
    Reply(recordRejection(Call, Rejection, Term_->Token_, Decided_,
                          Term_->now()));
  }
  void reject(const peers::JobCall &Call, peers::JobCallStatus Status,
              const JobReplyFn &Reply) {
    peers::JobReply Rejection;
    Rejection.Status_ = Status;
    reject(Call, Rejection, Reply);
  }

private:
  std::optional<peers::JobReply>
  earlierReply(const peers::JobCall &Call) const {
    auto Result = cell::earlierReply(Call, Decided_, Term_->Table_);
    if (Result)
      Result->Token_ = Term_->Token_.value();
    return Result;
  }

  void rememberAccepted(const peers::JobCall &Call) {
    recordAcceptance(Call, Decided_, Term_->now());
  }

  /// Whether the outcome of a commit would not be known in time. A job accepted
  /// now could only be answered with an unknown outcome.
  bool storeUnavailable() const {
    return Term_->Commits_.stalled() || !Term_->maySendOrders();
  }

  void submit(const peers::JobCall &Call, const JobReplyFn &Reply) {
    auto Answer = [Reply, Sequence = Call.Sequence_](CommitOutcome Outcome) {
      Reply({Sequence,
             Outcome == CommitOutcome::Stored ? peers::JobCallStatus::Ok
                                              : peers::JobCallStatus::Unknown,
             "", 0, 0});
    };
    if (Term_->Table_.find(jobs::JobId(Call.Job_))) {
      rememberAccepted(Call);
      return Term_->Commits_.whenStored(Answer);
    }
    const auto Group = jobs::decodeGroup(Call.Spec_);
    if (!Group.ok() || Group->Events_.size() != 1 ||
        !std::holds_alternative<jobs::JobAccepted>(Group->Events_.front()))
      return reject(Call, peers::JobCallStatus::Missing, Reply);
    const jobs::Event &Accepted = Group->Events_.front();
    const auto &Spec = std::get<jobs::JobAccepted>(Accepted).Spec_;
    const bool Storable =
        jobs::fitsIntoValue(Call.Spec_.size(), Term_->Bounds_.MaxValueBytes_) &&
        jobs::OccurrenceTable::rowsPerOccurrence(Spec) <= MaxRowsOfAJob;
    const auto Refused = Storable ? refusalOf(Spec)
                                  : Refusal{peers::RefusalReason::TooLarge, {}};
    countRetry(Spec.Id_, Refused.has_value());
    if (Refused)
      return refuse(Call, Spec.Id_, *Refused, Reply);
    rememberAccepted(Call);
    logAccepted(Spec, Call);
    Term_->Metrics_.counter("jobs_accepted_total").add();
    Term_->Admission_.add(Spec, Term_->Config_, Term_->Estimates_);
    recordQueue(Spec.Queue_);
    Term_->Commits_.stage(Accepted, Answer);
  }

  /// Records the queue's configuration. Guards against a job that is never
  /// finished because its queue was removed before a takeover; the record is
  /// stored no later than the job.
  void recordQueue(const QueueName &Name) {
    const QueueConfig *Queue = Term_->Config_.find(Name);
    if (Queue && jobs::needsRecord(*Queue, Term_->Table_))
      Term_->Commits_.stage(jobs::QueueRecorded{*Queue});
  }

  /// A refusal of a new job. The times are those of the projection, if the pool
  /// is full.
  struct Refusal {
    peers::RefusalReason Reason_ = peers::RefusalReason::StoreUnavailable;
    scheduling::Admission Times_;
  };

  /// Returns why the job is refused, or nullopt.
  std::optional<Refusal> refusalOf(const jobs::JobSpec &Spec) const {
    scheduling::Admission Times;
    if (storeUnavailable()) {
      Times.RetryAfter_ =
          scheduling::spreadDelay(Spec.Id_, OutageRetryAfter, OutageRetryAfter);
      return Refusal{peers::RefusalReason::StoreUnavailable, Times};
    }
    if (Term_->Table_.rows() + jobs::OccurrenceTable::rowsPerOccurrence(Spec) >
        MaxRows) {
      Times.RetryAfter_ = scheduling::spreadDelay(Spec.Id_, FullTableRetryAfter,
                                                  FullTableRetryAfter);
      return Refusal{peers::RefusalReason::TooManyTasks, Times};
    }
    if (const Duration Excess = excessWait(Spec);
        Term_->Load_.overloaded() || Excess > Duration::zero()) {
      const Duration Least =
          std::clamp(Excess, OverloadRetryAfter,
                     Duration(scheduling::AdmissionProjection::MaxRetryAfter));
      Times.RetryAfter_ =
          scheduling::spreadDelay(Spec.Id_, Least, OverloadRetryAfter);
      return Refusal{peers::RefusalReason::LeaderBusy, Times};
    }
    Times = Term_->Admission_.decide(Spec, Term_->Config_, Term_->Estimates_,
                                     Term_->now());
    if (Times.Accepted_)
      return std::nullopt;
    return Refusal{peers::RefusalReason::PoolFull, Times};
  }

  /// Returns by how much the pace of a leader that is short of processor time
  /// lets the job end too late to be of use; zero if it does not. Long-running
  /// jobs are started first.
  Duration excessWait(const jobs::JobSpec &Spec) const {
    const QueueConfig *Queue = Term_->Config_.find(Spec.Queue_);
    const Duration Wait = Term_->Load_.startWait(Term_->now());
    if (!Queue || Wait == Duration::zero() || Spec.Steps_.front().LongRunning_)
      return Duration::zero();
    const Duration Useful =
        scheduling::UsefulAllowances *
        scheduling::allowanceOf(Spec, *Queue, Term_->Estimates_);
    const Duration Chain = scheduling::criticalPath(Spec, Term_->Estimates_);
    return std::max(Duration::zero(), Wait + Chain - Useful);
  }

  void refuse(const peers::JobCall &Call, const jobs::JobId &Job,
              const Refusal &Why, const JobReplyFn &Reply) {
    const std::int64_t RetryAfterMs = toMs(Why.Times_.RetryAfter_);
    framework::log::Event Line(framework::log::Level::Info, "job.refused");
    Line.field("job", Job.str()).field("reason", textOf(Why.Reason_));
    logAttempt(Line, Call);
    if (Why.Reason_ == peers::RefusalReason::PoolFull)
      Line.field("projected_ms", toMs(Why.Times_.Projected_))
          .field("useful_ms", toMs(Why.Times_.Useful_));
    Line.field("retry_after_ms", RetryAfterMs);
    Term_->Metrics_
        .counter("jobs_refused_total{reason=\"" +
                 std::string(labelOf(Why.Reason_)) + "\"}")
        .add();
    Refused_.add(Job, Term_->now());
    peers::JobReply Result;
    Result.Status_ = peers::JobCallStatus::Refused;
    Result.RetryAfterMs_ = static_cast<std::uint64_t>(RetryAfterMs);
    Result.Refusal_ = Why.Reason_;
    reject(Call, Result, Reply);
  }

  /// Counts a job that was refused before and is sent again.
  void countRetry(const jobs::JobId &Job, bool RefusedAgain) {
    const auto Passed = Refused_.take(Job, Term_->now());
    if (!Passed)
      return;
    Term_->Metrics_
        .counter(RefusedAgain ? "jobs_retried_total{result=\"refused\"}"
                              : "jobs_retried_total{result=\"accepted\"}")
        .add();
    Term_->Metrics_.histogram("refused_retry_seconds")
        .record(std::chrono::duration<double>(*Passed).count());
  }

  static std::int64_t toMs(Duration Time) {
    return std::chrono::ceil<std::chrono::milliseconds>(Time).count();
  }

  static std::string_view textOf(peers::RefusalReason Reason) {
    switch (Reason) {
    case peers::RefusalReason::StoreUnavailable:
      return "the store does not answer";
    case peers::RefusalReason::PoolFull:
      return "the pool is full";
    case peers::RefusalReason::Leaving:
      return "the entry is leaving";
    case peers::RefusalReason::LeaderBusy:
      return "the leader has too little processor time";
    case peers::RefusalReason::TooLarge:
      return "the job is larger than a value of the store, or has too many "
             "tasks";
    case peers::RefusalReason::TooManyTasks:
      return "the leader holds too many tasks";
    case peers::RefusalReason::ConfigNotCurrent:
      return "the configuration is not current";
    }
    return "";
  }

  static std::string_view labelOf(peers::RefusalReason Reason) {
    switch (Reason) {
    case peers::RefusalReason::StoreUnavailable:
      return "store";
    case peers::RefusalReason::PoolFull:
      return "pool_full";
    case peers::RefusalReason::Leaving:
      return "leaving";
    case peers::RefusalReason::LeaderBusy:
      return "leader_busy";
    case peers::RefusalReason::TooLarge:
      return "too_large";
    case peers::RefusalReason::ConfigNotCurrent:
      return "config_not_current";
    case peers::RefusalReason::TooManyTasks:
      return "too_many_tasks";
    }
    return "";
  }

  /// Adds which entry's call this is and which attempt, so that several
  /// decisions about one call can be told from those about several calls.
  static void logAttempt(framework::log::Event &Line,
                         const peers::JobCall &Call) {
    Line.field("entry", Call.Caller_.Name_.str())
        .field("call", Call.Sequence_)
        .field("attempt", static_cast<std::uint64_t>(Call.Attempt_));
  }

  static void logAccepted(const jobs::JobSpec &Spec,
                          const peers::JobCall &Call) {
    std::uint64_t Tasks = 0;
    for (const jobs::StepSpec &Step : Spec.Steps_)
      Tasks += Step.Count_;
    const jobs::StepSpec &First = Spec.Steps_.front();
    framework::log::Event Line(framework::log::Level::Info, "job.accepted");
    Line.field("job", Spec.Id_.str())
        .field("queue", Spec.Queue_.str())
        .field("workspace", Spec.Workspace_.str())
        .field("steps", static_cast<std::uint64_t>(Spec.Steps_.size()))
        .field("tasks", Tasks)
        .field("cpu_milli", First.PerTask_.MilliCpus_)
        .field("memory_mb", First.PerTask_.MemoryMb_)
        .field("estimate_ms", First.Estimate_.count() / 1000)
        .field("standing", First.LongRunning_ ? "yes" : "no")
        .field("filler", First.Filler_ ? "yes" : "no")
        .field("apart", static_cast<std::uint64_t>(First.AntiAffinity_))
        .field("may_miss", static_cast<std::uint64_t>(First.MaxUnavailable_))
        .field("image", First.Image_.str())
        .field("target_ms", First.TargetMs_)
        .field("occurrences", static_cast<std::uint64_t>(Spec.Occurrences_));
    logAttempt(Line, Call);
  }

  void state(const peers::JobCall &Call, const JobReplyFn &Reply) {
    const jobs::JobRow *Job = Term_->Table_.find(jobs::JobId(Call.Job_));
    if (!Job)
      return Reply({Call.Sequence_, peers::JobCallStatus::Missing, "", 0, 0});
    const auto ReplyState = [&](jobs::JobState State) {
      Reply({Call.Sequence_, peers::JobCallStatus::Ok,
             std::string(jobs::nameOf(State)), 0, 0});
    };
    if (!Job->ended() || Term_->Commits_.idle())
      return ReplyState(Job->State_);
    // The end of a job is reported only once it is stored.
    if (storeUnavailable())
      return ReplyState(jobs::JobState::Running);
    Term_->Commits_.whenStored([Reply, Sequence = Call.Sequence_,
                                State = Job->State_](CommitOutcome Outcome) {
      const bool Stored = Outcome == CommitOutcome::Stored;
      Reply({Sequence,
             Stored ? peers::JobCallStatus::Ok : peers::JobCallStatus::Unknown,
             std::string(jobs::nameOf(State)), 0, 0});
    });
  }

  void cancel(const peers::JobCall &Call, const JobReplyFn &Reply) {
    const jobs::JobId Id(Call.Job_);
    const jobs::JobRow *Job = Term_->Table_.find(Id);
    if (!Job)
      return reject(Call, peers::JobCallStatus::Missing, Reply);
    auto Answer = [Reply, Sequence = Call.Sequence_](CommitOutcome Outcome) {
      Reply({Sequence,
             Outcome == CommitOutcome::Stored ? peers::JobCallStatus::Ok
                                              : peers::JobCallStatus::Unknown,
             "", 0, 0});
    };
    rememberAccepted(Call);
    if (Job->ended()) {
      logCancel("job.cancel_repeated", *Job, Call);
      return Term_->Commits_.whenStored(Answer);
    }
    logCancel("job.cancelled", *Job, Call);
    Term_->Commits_.stage(jobs::JobCancelled{Id},
                          [Answer, Id, S = Sessions_](CommitOutcome Outcome) {
                            if (Outcome == CommitOutcome::Stored && S)
                              S->stopJob(Id);
                            Answer(Outcome);
                          });
  }

  static void logCancel(std::string_view Event, const jobs::JobRow &Job,
                        const peers::JobCall &Call) {
    framework::log::Event Line(framework::log::Level::Info, Event);
    Line.field("job", Job.Spec_.Id_.str())
        .field("state", jobs::nameOf(Job.State_))
        .field("runs_live", static_cast<std::uint64_t>(Job.LiveRuns_));
    logAttempt(Line, Call);
  }

  TermPtr Term_;
  SessionsPtr Sessions_;
  RefusedJobs Refused_;
  DecidedCalls Decided_;
};

} // namespace laburnumspread::cell
