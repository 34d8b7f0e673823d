#include "cell/callergateway.h"

#include "framework/log/log.h"
#include "jobs/eventcodec.h"
#include "scheduling/admission.h"

#include <algorithm>

namespace laburnumspread::cell {

using framework::clock::SteadyClock;
using peers::JobCallKind;
using peers::JobCallStatus;

namespace {

constexpr std::size_t JobIdLength = 16;

bool isJobId(std::string_view Text) {
  return Text.size() == JobIdLength &&
         std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return std::isxdigit(C) != 0; });
}

CallerAnswer answer(CallerStatus Status, std::string Detail = "") {
  CallerAnswer Result;
  Result.Status_ = Status;
  Result.Detail_ = std::move(Detail);
  return Result;
}

CallerAnswer tryLater(std::string Detail) {
  CallerAnswer Result = answer(CallerStatus::TryLater, std::move(Detail));
  Result.RetryAfter_ = CallerGateway::RetryAfter;
  return Result;
}

/// What a caller is told about a refusal.
std::string_view detailOf(peers::RefusalReason Reason) {
  switch (Reason) {
  case peers::RefusalReason::StoreUnavailable:
    return "jobs cannot be stored at present";
  case peers::RefusalReason::PoolFull:
    return "the pool is full: the job would end too late to be of use";
  case peers::RefusalReason::Leaving:
    return "the leader of the cell is leaving";
  case peers::RefusalReason::LeaderBusy:
    return "the leader of the cell has too much to do";
  case peers::RefusalReason::TooLarge:
    return "steps: the job is larger than the leader of the cell can store, or "
           "has too many tasks";
  case peers::RefusalReason::TooManyTasks:
    return "the leader of the cell holds as many tasks as it can";
  case peers::RefusalReason::ConfigNotCurrent:
    return "the leader of the cell waits for the current configuration";
  }
  return "";
}

/// Names the field that makes the job too large, and the limit.
std::string tooLargeDetail(const jobs::JobSpec &Spec, std::size_t EncodedBytes,
                           std::size_t MaxValueBytes) {
  const std::size_t PayloadBytes = Spec.Payload_.size();
  const std::string Field =
      PayloadBytes > EncodedBytes - PayloadBytes ? "spec" : "steps";
  return Field + ": the job takes " + std::to_string(EncodedBytes) +
         " bytes in the store, more than the limit of " +
         std::to_string(MaxValueBytes - jobs::ValueOverheadBytes);
}

JobCallKind kindOf(CallerRequest::Verb Verb) {
  return Verb == CallerRequest::Verb::Cancel ? JobCallKind::Cancel
                                             : JobCallKind::State;
}

} // namespace

std::string_view nameOf(CallerStatus Status) {
  switch (Status) {
  case CallerStatus::Accepted:
    return "accepted";
  case CallerStatus::State:
    return "state";
  case CallerStatus::Waiting:
    return "waiting";
  case CallerStatus::NoSuchQueue:
    return "no_such_queue";
  case CallerStatus::NoSuchJob:
    return "no_such_job";
  case CallerStatus::UnknownKey:
    return "unknown_key";
  case CallerStatus::Malformed:
    return "malformed";
  case CallerStatus::TooLarge:
    return "too_large";
  case CallerStatus::TryLater:
    return "not_now";
  case CallerStatus::Unknown:
    return "unknown";
  }
  return "unknown";
}

CallerAnswer CallerGateway::refuse(CallerStatus Status,
                                   std::string Detail) const {
  if (InForce_.outdated() || !InForce_.current(SteadyClock().now()))
    return tryLater("the configuration of this entry is not current");
  return answer(Status, std::move(Detail));
}

CallerAnswer CallerGateway::serve(const CallerRequest &Request) {
  const TimePoint StartedAt = SteadyClock().now();
  CallerAnswer Answer = handle(Request);
  Metrics_
      .counter("caller_answers_total{status=\"" +
               std::string(nameOf(Answer.Status_)) + "\"}")
      .add();
  Metrics_.histogram("caller_answer_seconds")
      .record(std::chrono::duration<double>(SteadyClock().now() - StartedAt)
                  .count());
  return Answer;
}

CallerAnswer CallerGateway::handle(const CallerRequest &Request) {
  if (!InForce_.known())
    return tryLater("no configuration yet");
  const CellConfig &Config = InForce_.config();
  const QueueConfig *Queue = Config.route(Request.Host_, Request.Path_);
  if (!Queue)
    return refuse(CallerStatus::NoSuchQueue, "no queue at this path");
  if (!Config.workspaceOf(Request.Key_, *Queue))
    return refuse(CallerStatus::UnknownKey, "key is not known");
  const std::string Job = Request.Path_.substr(Queue->PathPrefix_.size());
  if (Job.empty() && Request.Verb_ == CallerRequest::Verb::Read) {
    peers::JobCall Call;
    Call.Kind_ = JobCallKind::Waiting;
    Call.Queue_ = Queue->Name_.str();
    return forward(Request, std::move(Call));
  }
  if (!isJobId(Job) || Request.Verb_ == CallerRequest::Verb::Other)
    return refuse(CallerStatus::NoSuchQueue, "no job id at this path");
  if (Request.Verb_ == CallerRequest::Verb::Submit)
    return submit(Request, *Queue, Job);
  peers::JobCall Call;
  Call.Kind_ = kindOf(Request.Verb_);
  Call.Job_ = Job;
  Call.Queue_ = Queue->Name_.str();
  return forward(Request, std::move(Call));
}

CallerAnswer CallerGateway::submit(const CallerRequest &Request,
                                   const QueueConfig &Queue,
                                   const std::string &Job) {
  absl::StatusOr<jobs::JobSpec> Spec = ReadJob_(Request.Body_);
  if (!Spec.ok())
    return answer(CallerStatus::Malformed,
                  std::string(Spec.status().message()));
  Spec->Id_ = jobs::JobId(Job);
  Spec->Queue_ = Queue.Name_;
  Spec->Workspace_ = *InForce_.config().workspaceOf(Request.Key_, Queue);
  Spec->AcceptedMs_ =
      framework::clock::toMillis(framework::clock::SystemClock().now());
  peers::JobCall Call;
  Call.Kind_ = JobCallKind::Submit;
  Call.Job_ = Job;
  Call.Queue_ = Queue.Name_.str();
  Call.Spec_ = jobs::encodeGroup({jobs::JobAccepted{*Spec}});
  if (!jobs::fitsIntoValue(Call.Spec_.size(), MaxValueBytes_))
    return answer(CallerStatus::TooLarge,
                  tooLargeDetail(*Spec, Call.Spec_.size(), MaxValueBytes_));
  return forward(Request, std::move(Call));
}

CallerAnswer CallerGateway::forward(const CallerRequest &Request,
                                    peers::JobCall Call) {
  Call.ConfigVersion_ = InForce_.version().value();
  Call.Origin_ = {Request.Host_, Request.Path_, Request.Key_};
  const JobCallKind Kind = Call.Kind_;
  const jobs::JobId Job(Call.Job_);
  const TimePoint Now = SteadyClock().now();
  const Duration Timeout =
      std::min(ReplyTimeout, Request.Timeout_ - AnswerMargin);
  const CallResult Called =
      Router_.call(std::move(Call), Now + LeaderWait, Now + Timeout);
  InForce_.recordPeerVersion(ConfigVersion(Called.Reply_.ConfigVersion_));
  CallerAnswer Result = answerFor(Called.Reply_, Kind);
  // No leader was reached that could have told when to return.
  if (Result.Status_ == CallerStatus::TryLater &&
      Called.Reply_.RetryAfterMs_ == 0)
    Result.RetryAfter_ = scheduling::spreadDelay(Job, RetryAfter, RetryAfter);
  Result.Leader_ = Called.Asked_;
  Result.Call_ = Called.Sequence_;
  Result.Attempts_ = Called.Attempts_;
  return Result;
}

CallerAnswer CallerGateway::answerFor(const peers::JobReply &Reply,
                                      JobCallKind Kind) {
  CallerAnswer Result;
  switch (Reply.Status_) {
  case JobCallStatus::Ok:
    Result.Status_ = Kind == JobCallKind::State     ? CallerStatus::State
                     : Kind == JobCallKind::Waiting ? CallerStatus::Waiting
                                                    : CallerStatus::Accepted;
    Result.State_ = Reply.State_;
    Result.Waiting_ = Reply.Waiting_;
    return Result;
  case JobCallStatus::NoSuchQueue:
    return answer(CallerStatus::NoSuchQueue, "no queue at this path");
  case JobCallStatus::UnknownKey:
    return answer(CallerStatus::UnknownKey, "key is not known");
  case JobCallStatus::Missing:
    return answer(CallerStatus::NoSuchJob, "no such job");
  case JobCallStatus::Refused:
    if (Reply.Refusal_ == peers::RefusalReason::TooLarge)
      return answer(CallerStatus::TooLarge,
                    std::string(detailOf(Reply.Refusal_)));
    Result = tryLater(std::string(detailOf(Reply.Refusal_)));
    if (Reply.RetryAfterMs_ > 0)
      Result.RetryAfter_ = std::chrono::milliseconds(Reply.RetryAfterMs_);
    return Result;
  case JobCallStatus::Unknown:
  case JobCallStatus::NotLeader:
  case JobCallStatus::Forwarded:
    return answer(CallerStatus::Unknown, "the outcome is not known");
  }
  return answer(CallerStatus::Unknown);
}

} // namespace laburnumspread::cell
