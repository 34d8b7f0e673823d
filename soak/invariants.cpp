#include "soak/invariants.h"

#include "framework/log/log.h"

namespace laburnumspread::soak {

namespace {

const JobRecord *findRecord(const JobRecords &Jobs, const jobs::JobId &Id) {
  for (const JobRecord &Job : Jobs)
    if (Job.Id_ == Id)
      return &Job;
  return nullptr;
}

std::uint32_t running(const TaskLedger &Ledger, const jobs::TaskName &Task) {
  const auto Found = Ledger.Running_.find(Task);
  return Found == Ledger.Running_.end() ? 0 : Found->second;
}

void addMissingStandingTasks(const JobRecord &Job, const TaskLedger &Ledger,
                             std::vector<std::string> &Into) {
  for (std::uint32_t Step = 0; Step < Job.Tasks_.size(); ++Step)
    for (std::uint32_t Index = 0; Index < Job.Tasks_[Step]; ++Index) {
      const jobs::TaskName Task{Job.Id_, 0, Step, Index};
      if (running(Ledger, Task) == 0)
        Into.push_back("standing task is not running: " + Task.str());
    }
}

} // namespace

void FindingLog::report(const std::string &What) {
  if (Findings_.insert(What).second)
    framework::log::error("soak.finding").field("what", What);
}

void FindingLog::report(const std::vector<std::string> &All) {
  for (const std::string &What : All)
    report(What);
}

std::vector<std::string> findSafetyViolations(const JobRecords &Jobs,
                                              const TaskLedger &Ledger) {
  std::vector<std::string> Result;
  for (const jobs::TaskName &Task : Ledger.ForbiddenDuplicates_)
    Result.push_back(
        "task ran in two places or again after a successful end: " +
        Task.str());
  for (const JobRecord &Job : Jobs) {
    if (!Job.Refused_)
      continue;
    const auto Started = Ledger.Starts_.lower_bound({Job.Id_, 0, 0, 0});
    if (Started != Ledger.Starts_.end() && Started->first.Job_ == Job.Id_)
      Result.push_back("task of a refused job ran: " + Job.Id_.str());
  }
  return Result;
}

std::vector<std::string> findRunningCancelledTasks(const JobRecords &Jobs,
                                                   const TaskLedger &Ledger) {
  std::vector<std::string> Result;
  for (const auto &[Task, Running] : Ledger.Running_) {
    if (Running == 0)
      continue;
    const JobRecord *Job = findRecord(Jobs, Task.Job_);
    if (Job && Job->CancelAcknowledged_)
      Result.push_back("task of a cancelled job is running: " + Task.str());
  }
  return Result;
}

std::vector<std::string> findUnfinishedWork(const JobRecords &Jobs,
                                            const TaskLedger &Ledger) {
  std::vector<std::string> Result;
  for (const JobRecord &Job : Jobs) {
    if (!Job.Accepted_ && !Job.Refused_)
      Result.push_back("submit without a final response: " + Job.Id_.str());
    else if (Job.CancelRequested_ && !Job.CancelAcknowledged_)
      Result.push_back("cancel is not acknowledged: " + Job.Id_.str());
    else if (!Job.Accepted_ || Job.CancelAcknowledged_)
      continue;
    else if (Job.Standing_)
      addMissingStandingTasks(Job, Ledger, Result);
    else if (!Job.DoneObserved_)
      Result.push_back("job is not done: " + Job.Id_.str());
  }
  return Result;
}

} // namespace laburnumspread::soak
