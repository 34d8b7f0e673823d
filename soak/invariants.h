#pragma once

#include "platform/standin/worker.h"

#include <deque>
#include <set>
#include <string>
#include <vector>

/// A soak: the real daemons under seeded faults, judged by what callers hear
/// and what workers see.
namespace laburnumspread::soak {

using platform::standin::TaskLedger;

/// One job, as its caller knows it.
struct JobRecord {
  jobs::JobId Id_;
  /// Tasks of each step.
  std::vector<std::uint32_t> Tasks_;
  bool Standing_ = false;
  bool Accepted_ = false;
  /// All attempts were refused, or never left.
  bool Refused_ = false;
  bool CancelRequested_ = false;
  bool CancelAcknowledged_ = false;
  bool DoneObserved_ = false;
};

/// All jobs of a run; records stay where they are.
using JobRecords = std::deque<JobRecord>;

/// Findings, each told once.
class FindingLog {
public:
  void report(const std::string &What);
  void report(const std::vector<std::string> &All);
  bool hasFindings() const { return !Findings_.empty(); }
  const std::set<std::string> &findings() const { return Findings_; }

private:
  std::set<std::string> Findings_;
};

/// What may be at no time: a task in two places, or again after a good end that
/// was noted; a task of a job that was refused.
std::vector<std::string> findSafetyViolations(const JobRecords &Jobs,
                                              const TaskLedger &Ledger);

/// Tasks at work of jobs whose cancel was acknowledged.
std::vector<std::string> findRunningCancelledTasks(const JobRecords &Jobs,
                                                   const TaskLedger &Ledger);

/// What is still to come: calls without a last word, finite jobs that are not
/// done, standing tasks that are not at work.
std::vector<std::string> findUnfinishedWork(const JobRecords &Jobs,
                                            const TaskLedger &Ledger);

} // namespace laburnumspread::soak
