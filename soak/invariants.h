#pragma once

#include "platform/standin/worker.h"

#include <deque>
#include <set>
#include <string>
#include <vector>

/// Soak test: runs real daemons under seeded faults and checks invariants
/// against the callers' responses and the workers' task ledger.
namespace laburnumspread::soak {

using platform::standin::TaskLedger;

/// One job, as its caller knows it.
struct JobRecord {
  jobs::JobId Id_;
  /// Number of tasks of each step.
  std::vector<std::uint32_t> Tasks_;
  bool Standing_ = false;
  bool Accepted_ = false;
  /// All attempts to submit were refused or not sent.
  bool Refused_ = false;
  bool CancelRequested_ = false;
  bool CancelAcknowledged_ = false;
  bool DoneObserved_ = false;
};

/// All jobs of a run. A deque, because callers keep references to their records
/// while others are appended.
using JobRecords = std::deque<JobRecord>;

/// Collects invariant violations and logs each distinct one once.
class FindingLog {
public:
  void report(const std::string &What);
  void report(const std::vector<std::string> &All);
  bool hasFindings() const { return !Findings_.empty(); }
  const std::set<std::string> &findings() const { return Findings_; }

private:
  std::set<std::string> Findings_;
};

/// Violations of what must hold at all times: no task runs in two places or
/// again after a successful end that was recorded, and no task of a refused job
/// runs.
std::vector<std::string> findSafetyViolations(const JobRecords &Jobs,
                                              const TaskLedger &Ledger);

/// Running tasks of jobs whose cancel was acknowledged.
std::vector<std::string> findRunningCancelledTasks(const JobRecords &Jobs,
                                                   const TaskLedger &Ledger);

/// Work still to be completed: submits and cancels without a final response,
/// finite jobs that are not done, and standing tasks that are not running.
std::vector<std::string> findUnfinishedWork(const JobRecords &Jobs,
                                            const TaskLedger &Ledger);

} // namespace laburnumspread::soak
