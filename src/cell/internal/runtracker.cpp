#include "cell/runtracker.h"

#include "framework/log/log.h"

namespace laburnumspread::cell {

using jobs::Checkpoint;
using jobs::EndKind;
using jobs::LiveRun;
using jobs::RunName;

namespace {

/// Of several stops, the time of the first reply counts. A stop is sent after
/// each report and answered after the next hold has been sent, so with the last
/// reply no hold would ever be later than it, and the run would never be
/// settled.
void setIfEmpty(std::optional<TimePoint> &At, TimePoint Now) {
  if (!At)
    At = Now;
}

} // namespace

void RunTracker::startSent(const RunName &Run, std::int64_t DeadlineMs) {
  StartState &Sent = Starts_[Run];
  Sent.DeadlineMs_ = DeadlineMs;
  // This attempt may reach a later incarnation that has not executed a stop
  // yet.
  Sent.StoppedByLaterIncarnationAt_.reset();
  ++Sent.Unanswered_;
}

std::optional<RunTracker::EndedRun>
RunTracker::startAnswered(const RunName &Run, OrderResult Result, int Attempt,
                          TimePoint Now) {
  const auto Known = Starts_.find(Run);
  if (Known == Starts_.end())
    return std::nullopt;
  if (Result != OrderResult::Unknown)
    --Known->second.Unanswered_;
  if (Result == OrderResult::Done) {
    Known->second.SettledAt_ = Now;
    if (LiveRun *Live = Table_.findLive(Run)) {
      Live->Confirmed_ = true;
      Live->AcceptedAt_ = Now;
    }
    return std::nullopt;
  }
  // A refusal applies to this attempt only. If an earlier attempt was not
  // answered, the run may be active or may have been; the next holds tell.
  const bool EarlierUnanswered = Attempt > 0 && Known->second.Unanswered_ > 0;
  if (isUnanswered(Result) || EarlierUnanswered)
    return std::nullopt;
  return EndedRun{Run, EndKind::Refused, Checkpoint(), nameOf(Result)};
}

void RunTracker::noMoreStarts(const RunName &Run) {
  if (const auto Known = Starts_.find(Run); Known != Starts_.end())
    Known->second.NoMoreStarts_ = true;
}

bool RunTracker::cannotHaveArrived(const RunName &Run) const {
  const auto Known = Starts_.find(Run);
  if (Known == Starts_.end())
    return true;
  return Known->second.NoMoreStarts_ && Known->second.Unanswered_ == 0 &&
         !Known->second.SettledAt_;
}

void RunTracker::stopAnswered(const RunName &Run, TimePoint Now) {
  // State recorded for an ended run would never be removed.
  if (!Table_.findLive(Run))
    return;
  StartState &Known = Starts_[Run];
  setIfEmpty(Known.SettledAt_, Now);
  Known.StoppedAt_ = Now;
}

void RunTracker::stopAnsweredByLaterIncarnation(const RunName &Run,
                                                TimePoint Now) {
  if (!Table_.findLive(Run))
    return;
  setIfEmpty(Starts_[Run].StoppedByLaterIncarnationAt_, Now);
}

std::vector<RunName> RunTracker::unwanted(const WorkerIncarnation &Worker,
                                          TimePoint AsOf) const {
  std::vector<RunName> Result;
  const jobs::WorkerUsage *Use = Table_.usageOf(Worker);
  if (!Use)
    return Result;
  for (const RunName &Run : Use->Runs_)
    if (Table_.unwantedSince(Run) && !stopMayBeInProgress(Run, AsOf))
      Result.push_back(Run);
  return Result;
}

bool RunTracker::stopMayBeInProgress(const RunName &Run, TimePoint AsOf) const {
  return stopped(Run) && AsOf < *Starts_.at(Run).StoppedAt_ + MaxStopDuration;
}

bool RunTracker::stopped(const RunName &Run) const {
  const auto Known = Starts_.find(Run);
  return Known != Starts_.end() && Known->second.StoppedAt_.has_value();
}

bool RunTracker::mayRunStaleStarts(const WorkerIncarnation &Worker) const {
  const auto &All = Table_.workers();
  const auto First = All.lower_bound(WorkerIncarnation{Worker.Id_, 0});
  return First != All.end() && First->first.Id_ == Worker.Id_ &&
         First->first.StartedMs_ < Worker.StartedMs_;
}

void RunTracker::forget(const RunName &Run) {
  Starts_.erase(Run);
  Staged_.erase(Run);
}

std::vector<RunName>
RunTracker::unstoredStarts(const HoldReply &Reply,
                           std::uint64_t EndsStaged) const {
  std::vector<RunName> Result;
  const auto AddIfUnstored = [&](const RunName &Run) {
    const jobs::TaskRow *Task = Table_.find(Run.Task_);
    if (Task && Task->idle() && Run.Run_ > Task->LastRun_)
      Result.push_back(Run);
  };
  for (const EndReport &Item : Reply.Ends_)
    if (Item.Number_ > EndsStaged)
      AddIfUnstored(Item.Run_);
  for (const RunningReport &Item : Reply.Running_)
    AddIfUnstored(Item.Run_);
  return Result;
}

Checkpoint RunTracker::storable(const RunName &Run,
                                const Checkpoint &Saved) const {
  if (Saved.str().size() <= MaxCheckpointBytes_)
    return Saved;
  framework::log::warning("run.checkpoint_left_out")
      .field("task", Run.Task_.str())
      .field("bytes", static_cast<std::uint64_t>(Saved.str().size()))
      .field("max_bytes", static_cast<std::uint64_t>(MaxCheckpointBytes_));
  return Checkpoint();
}

RunTracker::Report RunTracker::processReport(const WorkerIncarnation &Worker,
                                             const HoldReply &Reply,
                                             TimePoint SentAt,
                                             std::uint64_t EndsStaged) {
  Report Result;
  Result.Whole_ = Reply.Ends_.size() < EndsPerReport_;
  ReportFacts Facts;
  Facts.EndsMayFollow_ = !Reply.Ends_.empty();
  Facts.ClockMs_ = Reply.ClockMs_;
  Facts.SentAt_ = SentAt;
  Facts.Listed_.reserve(Reply.Ends_.size() + Reply.Running_.size());
  for (const EndReport &Item : Reply.Ends_) {
    Facts.Listed_.insert(Item.Run_);
    const LiveRun *Live = Table_.find(Item.Run_);
    const bool Here = Live && Live->Worker_.Id_ == Worker.Id_ &&
                      Live->Worker_.StartedMs_ <= Worker.StartedMs_;
    if (Item.Number_ > EndsStaged && Here)
      Result.Ended_.push_back(
          {Item.Run_, Item.Kind_, storable(Item.Run_, Item.Saved_), "listed"});
  }
  for (const RunningReport &Item : Reply.Running_) {
    Facts.Listed_.insert(Item.Run_);
    LiveRun *Live = Table_.findLive(Item.Run_);
    if (!Live || Live->Worker_ != Worker) {
      Result.Unknown_.push_back(Item.Run_);
      continue;
    }
    Live->Confirmed_ = true;
    Live->Percent_ = Item.Percent_;
    if (Checkpoint Saved = storable(Item.Run_, Item.Saved_); !Saved.empty())
      Table_.findTask(Item.Run_.Task_)->Saved_ = std::move(Saved);
  }
  settleFormerIncarnations(Worker, Facts, Result);
  loseUnlisted(Worker, Facts, Result);
  return Result;
}

void RunTracker::loseUnlisted(const WorkerIncarnation &Worker,
                              const ReportFacts &Facts, Report &Into) const {
  const jobs::WorkerUsage *Use = Table_.usageOf(Worker);
  if (!Use)
    return;
  for (const RunName &Run : Use->Runs_)
    if (!Facts.Listed_.contains(Run) &&
        cannotStart(Run, Facts.ClockMs_, Facts.SentAt_))
      lose(Run, "not listed", Facts, Into);
}

void RunTracker::settleFormerIncarnations(const WorkerIncarnation &Worker,
                                          const ReportFacts &Facts,
                                          Report &Into) const {
  const auto &All = Table_.workers();
  for (auto Incarnation = All.lower_bound(WorkerIncarnation{Worker.Id_, 0});
       Incarnation != All.end() && Incarnation->first < Worker; ++Incarnation)
    for (const RunName &Run : Incarnation->second.Runs_) {
      if (Facts.Listed_.contains(Run))
        continue;
      if (cannotStartOnLaterIncarnation(Run, Facts.SentAt_))
        lose(Run, "the incarnation of its worker has ended", Facts, Into);
      else
        Into.StaleStarts_.push_back(Run);
    }
}

void RunTracker::lose(const RunName &Run, std::string_view Reason,
                      const ReportFacts &Facts, Report &Into) {
  // The run may have ended as done. Taken as lost, its task would be started
  // again, and a later report would show it done twice. Each acknowledgement
  // brings the next ends, so a report without any comes.
  if (Facts.EndsMayFollow_)
    Into.Whole_ = false;
  else
    Into.Ended_.push_back({Run, EndKind::Lost, Checkpoint(), Reason});
}

bool RunTracker::cannotStartOnLaterIncarnation(const RunName &Run,
                                               TimePoint SentAt) const {
  const auto Known = Starts_.find(Run);
  if (Known == Starts_.end())
    return !Staged_.contains(Run);
  const StartState &Sent = Known->second;
  if (Sent.StoppedByLaterIncarnationAt_ &&
      *Sent.StoppedByLaterIncarnationAt_ < SentAt)
    return true;
  return Sent.SettledAt_ && *Sent.SettledAt_ < SentAt && Sent.Unanswered_ == 0;
}

bool RunTracker::cannotStart(const RunName &Run, std::int64_t ClockMs,
                             TimePoint SentAt) const {
  const auto Known = Starts_.find(Run);
  if (Known == Starts_.end())
    return !Staged_.contains(Run);
  const StartState &Sent = Known->second;
  if (Sent.SettledAt_ && *Sent.SettledAt_ < SentAt)
    return true;
  return Sent.NoMoreStarts_ && Sent.DeadlineMs_ < ClockMs;
}

} // namespace laburnumspread::cell
