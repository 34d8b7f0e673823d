#pragma once

#include "jobs/jobtypes.h"

#include <map>

namespace laburnumspread::scheduling {

/// Run times as they were seen, beside the callers' own estimates.
///
/// Declared estimates are several times off, each by a factor of its own, so a
/// mean ratio does not mend them: what is declared long is on average not that
/// long, and what is declared short not that short. So the logarithm of the
/// time seen is fitted to that of the time declared, by queue, as a straight
/// line (least squares, the older runs fading). Where the declared times say
/// nothing, the line is flat and every task is expected to take the queue's
/// mean; where they are right, it follows them.
class RunTimeEstimator {
public:
  /// Weight of the newest run once enough are known: about the last hundred
  /// count. Fewer leave the slope to chance.
  static constexpr double MinRunWeight = 0.01;
  /// Runs of a queue before which the declared times are taken as they are.
  static constexpr std::uint64_t MinRuns = 10;
  /// A run that took longer or shorter than declared by more than this is taken
  /// as off by this: its worker hung, or its end was noticed late.
  static constexpr double MaxErrorFactor = 10;

  void recordRun(const jobs::QueueName &Queue, jobs::Duration Declared,
                 jobs::Duration Measured);

  /// Expected run time of one task of the step.
  jobs::Duration expectedRunTime(const jobs::QueueName &Queue,
                                 const jobs::StepSpec &Step) const;

private:
  /// Means of the logarithms of both times, and how they vary together.
  struct LinearFit {
    std::uint64_t Runs_ = 0;
    double MeanLogDeclared_ = 0;
    double MeanLogMeasured_ = 0;
    double Variance_ = 0;
    double Covariance_ = 0;

    void add(double LogDeclared, double LogMeasured);
    double expected(double LogDeclared) const;
  };

  std::map<jobs::QueueName, LinearFit> Fits_;
};

/// Longest chain of expected run times over the job's steps.
jobs::Duration criticalPath(const jobs::JobSpec &Job,
                            const RunTimeEstimator &Estimator);

/// Processor time of all finite tasks of one occurrence, in thousandths of a
/// core times microseconds.
double totalCpuWork(const jobs::JobSpec &Job,
                    const RunTimeEstimator &Estimator);

} // namespace laburnumspread::scheduling
