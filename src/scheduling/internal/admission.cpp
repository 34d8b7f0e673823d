#include "scheduling/admission.h"

#include <algorithm>
#include <limits>

namespace laburnumspread::scheduling {

using jobs::JobSpec;
using jobs::QueueConfig;
using jobs::Resources;

namespace {

/// Rounds in which the effect of workspaces' upper limits is approached. Each
/// brings the projected end closer to its value from above.
constexpr int LimitRounds = 3;

/// Whether the job has an end that can be projected.
bool isJudged(const JobSpec &Job) {
  return Job.Occurrences_ == 0 &&
         std::none_of(
             Job.Steps_.begin(), Job.Steps_.end(),
             [](const jobs::StepSpec &Step) { return Step.LongRunning_; });
}

/// Returns what the steps hold that can start at once.
Resources firstDemand(const JobSpec &Job) {
  Resources Sum;
  for (const jobs::StepSpec &Step : Job.Steps_)
    if (Step.After_.empty()) {
      const Resources Each = Step.demand();
      const std::int64_t Count = Step.Count_;
      Sum += {Count * Each.MilliCpus_, Count * Each.MemoryMb_,
              Count * Each.Accelerators_};
    }
  return Sum;
}

/// Returns for how many microseconds the work would occupy all of \p Whole.
double occupies(const ResourceTime &Work, const Resources &Whole) {
  const auto Part = [](double Amount, std::int64_t Of) {
    if (Amount <= 0)
      return 0.0;
    return Of > 0 ? Amount / static_cast<double>(Of)
                  : std::numeric_limits<double>::infinity();
  };
  return std::max(Part(Work.MilliCpus_, Whole.MilliCpus_),
                  Part(Work.MemoryMb_, Whole.MemoryMb_));
}

/// Returns the pool's resources that the workspace may hold.
Resources allowedOf(const WorkspaceBacklog &Workspace, const Resources &Pool) {
  const auto Allowed = [](std::int64_t Limit, std::int64_t Most) {
    return Limit == 0 ? Most : std::min(Limit, Most);
  };
  const Resources &Limit = Workspace.MaxAllowed_;
  return {Allowed(Limit.MilliCpus_, Pool.MilliCpus_),
          Allowed(Limit.MemoryMb_, Pool.MemoryMb_), Pool.Accelerators_};
}

ResourceTime workUpTo(const WorkspaceBacklog &Workspace,
                      const WorkspaceBacklog::Rank &Last) {
  ResourceTime Sum;
  for (const auto &[Rank, Part] : Workspace.Parts_)
    if (Rank <= Last)
      Sum += Part.All_;
  return Sum;
}

/// Returns the work that goes before a job that can be in time: the others of
/// its rank that are larger can wait for it.
ResourceTime workBefore(const WorkspaceBacklog &Workspace,
                        const WorkspaceBacklog::Rank &Own,
                        const ResourceTime &Size) {
  ResourceTime Sum;
  for (const auto &[Rank, Part] : Workspace.Parts_) {
    if (Rank > Own)
      break;
    Sum += Part.Begun_;
    for (const ResourceTime &Job : Part.Pending_)
      if (Rank < Own || Job.MilliCpus_ <= Size.MilliCpus_)
        Sum += Job;
  }
  return Sum;
}

ResourceTime allWork(const WorkspaceBacklog &Workspace) {
  return workUpTo(Workspace, {true, std::numeric_limits<std::int64_t>::max()});
}

/// Longest time that is projected: later than any deadline, and far from the
/// limits of the type.
constexpr Duration Longest = std::chrono::hours(10'000);

Duration toDuration(double Micros) {
  return Duration(static_cast<std::int64_t>(
      std::min(Micros, static_cast<double>(Longest.count()))));
}

/// Projects when one workspace of a pool has done some work of its own.
class WorkspaceProjection {
public:
  WorkspaceProjection(const PoolBacklog &Pool, const WorkspaceBacklog &Own,
                      const jobs::WorkspaceName &Name, const ResourceTime &Work)
      : Pool_(Pool), Total_(Pool.Capacity_.total()), Own_(Own), Name_(Name),
        Work_(Work) {}

  /// Returns when the work is done.
  TimePoint doneAt() const {
    const TimePoint ByLimit =
        Pool_.At_ + toDuration(occupies(Work_, allowedOf(Own_, Total_)));
    Duration Time = Longest;
    for (int Round = 0; Round < LimitRounds; ++Round)
      Time = std::min(Longest, Pool_.Capacity_.doneAt(
                                   Work_ + workOfOthers(Time), Pool_.At_) -
                                   Pool_.At_);
    return std::max(ByLimit, Pool_.At_ + Time);
  }

private:
  /// Returns what the others have done when the own work is done, if that takes
  /// \p Time.
  ResourceTime workOfOthers(Duration Time) const {
    const double Progress = occupies(Work_, Total_) / Own_.Weight_;
    ResourceTime Sum;
    for (const auto &[Name, Other] : Pool_.Workspaces_) {
      if (Name == Name_)
        continue;
      const ResourceTime All = allWork(Other);
      const double Share = Progress * Other.Weight_ / occupies(All, Total_);
      const double Allowed = static_cast<double>(Time.count()) /
                             occupies(All, allowedOf(Other, Total_));
      Sum += All * std::min({1.0, Share, Allowed});
    }
    return Sum;
  }

  const PoolBacklog &Pool_;
  Resources Total_;
  const WorkspaceBacklog &Own_;
  const jobs::WorkspaceName &Name_;
  ResourceTime Work_;
};

Duration retryAfter(const JobSpec &Job, Duration UntilAccepted) {
  return std::clamp(spreadDelay(Job.Id_, UntilAccepted, UntilAccepted / 2),
                    AdmissionProjection::MinRetryAfter,
                    AdmissionProjection::MaxRetryAfter);
}

} // namespace

WorkspaceBacklog::Rank rankOf(const JobSpec &Job, const QueueConfig &Queue) {
  return {Job.Steps_.front().Filler_, Queue.Priority_};
}

Duration spreadDelay(const jobs::JobId &Job, Duration Least, Duration Spread) {
  constexpr std::size_t Steps = 1000;
  const std::size_t Step = std::hash<std::string>()(Job.str()) % Steps;
  return Least + Spread * static_cast<std::int64_t>(Step) /
                     static_cast<std::int64_t>(Steps);
}

WorkspaceBacklog WorkspaceBacklog::of(const CellConfig &Config,
                                      const jobs::WorkspaceName &Workspace) {
  const auto Row = Config.Workspaces_.find(Workspace);
  return {weightOf(Config, Workspace),
          Row == Config.Workspaces_.end() ? Resources()
                                          : Row->second.MaxAllowed_,
          {}};
}

void AdmissionProjection::rebuild(std::vector<PoolBacklog> Pools) {
  Pools_.clear();
  for (PoolBacklog &Item : Pools)
    Pools_[Item.Pool_] = std::move(Item);
}

Admission AdmissionProjection::decide(const JobSpec &Job,
                                      const CellConfig &Config,
                                      const RunTimeEstimator &Estimator,
                                      TimePoint Now) const {
  const QueueConfig *Queue = Config.find(Job.Queue_);
  const auto Pool = Queue ? Pools_.find(Queue->Pool_) : Pools_.end();
  if (Pool == Pools_.end() || !isJudged(Job) ||
      firstDemand(Job).fitsInto(Pool->second.Free_))
    return {};
  const Duration Allowance = allowanceOf(Job, *Queue, Estimator);
  // Without an estimate and a target there is no time to compare with.
  if (Allowance <= Duration::zero())
    return {};
  const auto Row = Pool->second.Workspaces_.find(Job.Workspace_);
  const WorkspaceBacklog Own =
      Row == Pool->second.Workspaces_.end()
          ? WorkspaceBacklog::of(Config, Job.Workspace_)
          : Row->second;
  const Duration Chain = criticalPath(Job, Estimator);
  const auto EndAfter = [&](const ResourceTime &Work) {
    const WorkspaceProjection Projected(Pool->second, Own, Job.Workspace_,
                                        Work);
    return std::max(Projected.doneAt(), Now) + Chain - Now;
  };
  const WorkspaceBacklog::Rank Rank = rankOf(Job, *Queue);
  const ResourceTime Work = totalWork(Job, Estimator);
  Admission Result;
  Result.Useful_ = UsefulAllowances * Allowance;
  Result.Projected_ = EndAfter(workUpTo(Own, Rank) + Work);
  if (Result.Projected_ <= Result.Useful_)
    return Result;
  const Duration InTurn = EndAfter(workBefore(Own, Rank, Work));
  Result.Accepted_ = InTurn <= Allowance;
  if (!Result.Accepted_)
    Result.RetryAfter_ = retryAfter(
        Job, std::min(Result.Projected_ - Result.Useful_, InTurn - Allowance));
  return Result;
}

void AdmissionProjection::add(const JobSpec &Job, const CellConfig &Config,
                              const RunTimeEstimator &Estimator) {
  const QueueConfig *Queue = Config.find(Job.Queue_);
  const auto Pool = Queue ? Pools_.find(Queue->Pool_) : Pools_.end();
  if (Pool == Pools_.end() || !isJudged(Job))
    return;
  const auto [Row, New] = Pool->second.Workspaces_.try_emplace(Job.Workspace_);
  if (New)
    Row->second = WorkspaceBacklog::of(Config, Job.Workspace_);
  const ResourceTime Work = totalWork(Job, Estimator);
  WorkspaceBacklog::Part &Part = Row->second.Parts_[rankOf(Job, *Queue)];
  Part.All_ += Work;
  Part.Pending_.push_back(Work);
  Pool->second.Free_ -= firstDemand(Job);
}

} // namespace laburnumspread::scheduling
