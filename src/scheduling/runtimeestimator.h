#pragma once

#include "jobs/jobtypes.h"

#include <absl/container/flat_hash_map.h>

namespace laburnumspread::scheduling {

/// Predicts run times from measured ones and the callers' declared estimates.
///
/// Declared estimates are wrong by several times, each by a different factor,
/// so scaling them by a mean ratio does not help: tasks that are declared long
/// are on average shorter than declared, and those declared short are longer.
/// Instead, the logarithm of the measured time is fitted to that of the
/// declared time as a straight line per queue (least squares with exponentially
/// decaying weights). If the declared times carry no information the slope is
/// zero and every task gets the queue's mean; if they are correct, the line
/// reproduces them.
class RunTimeEstimator {
public:
  /// Weight of the newest run once enough runs are known, so that about the
  /// last hundred runs count. With fewer, the slope is mostly noise.
  static constexpr double MinRunWeight = 0.01;
  /// Until this many runs of a queue are known, declared times are used
  /// unchanged.
  static constexpr std::uint64_t MinRuns = 10;
  /// Limit on the ratio between measured and declared time, in both directions.
  /// Larger ratios are clamped: the worker hung, or the end of the run was
  /// detected late.
  static constexpr double MaxErrorFactor = 10;

  /// Adds one completed run. Ignored if either time is not positive.
  void recordRun(const jobs::QueueName &Queue, jobs::Duration Declared,
                 jobs::Duration Measured);

  /// Returns the expected run time of one task of the step: the declared
  /// estimate as long as the queue has fewer than MinRuns runs or the step
  /// declares none.
  jobs::Duration expectedRunTime(const jobs::QueueName &Queue,
                                 const jobs::StepSpec &Step) const;

  /// Whether enough runs of the queue are known to expect more than what is
  /// declared.
  bool knowsRunTimes(const jobs::QueueName &Queue) const;

  /// Returns how far run times deviate from expectedRunTime() (one standard
  /// deviation); zero if too few runs are known.
  jobs::Duration deviation(const jobs::QueueName &Queue,
                           const jobs::StepSpec &Step) const;

private:
  /// Weighted least-squares fit of log(measured) to log(declared).
  struct LinearFit {
    std::uint64_t Runs_ = 0;
    double MeanLogDeclared_ = 0;
    double MeanLogMeasured_ = 0;
    double Variance_ = 0;
    double Covariance_ = 0;
    /// Mean square of the errors of the expected logarithms.
    double SquaredError_ = 0;

    void add(double LogDeclared, double LogMeasured);
    double expected(double LogDeclared) const;
  };

  absl::flat_hash_map<jobs::QueueName, LinearFit> Fits_;
};

/// Returns the expected run time of the job's critical path: the longest chain
/// of dependent steps of one occurrence.
jobs::Duration criticalPath(const jobs::JobSpec &Job,
                            const RunTimeEstimator &Estimator);

/// Resources that a job holds, each multiplied by the time for which it holds
/// them, in microseconds.
struct ResourceTime {
  double MilliCpus_ = 0;
  double MemoryMb_ = 0;

  ResourceTime &operator+=(const ResourceTime &Other) {
    MilliCpus_ += Other.MilliCpus_;
    MemoryMb_ += Other.MemoryMb_;
    return *this;
  }
  ResourceTime operator+(const ResourceTime &Other) const {
    return ResourceTime(*this) += Other;
  }
  ResourceTime operator*(double Factor) const {
    return {Factor * MilliCpus_, Factor * MemoryMb_};
  }
};

/// Returns what all finite tasks of one occurrence are expected to hold.
ResourceTime totalWork(const jobs::JobSpec &Job,
                       const RunTimeEstimator &Estimator);

} // namespace laburnumspread::scheduling
