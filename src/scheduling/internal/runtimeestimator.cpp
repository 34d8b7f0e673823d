#include "scheduling/runtimeestimator.h"

#include <algorithm>
#include <cmath>

#include <absl/container/inlined_vector.h>

namespace laburnumspread::scheduling {

void RunTimeEstimator::LinearFit::add(double LogDeclared, double LogMeasured) {
  ++Runs_;
  const double Weight =
      std::max(MinRunWeight, 1.0 / static_cast<double>(Runs_));
  const double Error = LogMeasured - expected(LogDeclared);
  if (Runs_ > 1)
    SquaredError_ += Weight * (Error * Error - SquaredError_);
  const double DeclaredOffset = LogDeclared - MeanLogDeclared_;
  MeanLogDeclared_ += Weight * DeclaredOffset;
  const double MeasuredOffset = LogMeasured - MeanLogMeasured_;
  MeanLogMeasured_ += Weight * MeasuredOffset;
  Variance_ =
      (1 - Weight) * (Variance_ + Weight * DeclaredOffset * DeclaredOffset);
  Covariance_ =
      (1 - Weight) * (Covariance_ + Weight * DeclaredOffset * MeasuredOffset);
}

double RunTimeEstimator::LinearFit::expected(double LogDeclared) const {
  const double Slope =
      Variance_ > 0 ? std::clamp(Covariance_ / Variance_, 0.0, 1.0) : 1.0;
  return MeanLogMeasured_ + Slope * (LogDeclared - MeanLogDeclared_);
}

void RunTimeEstimator::recordRun(const jobs::QueueName &Queue,
                                 jobs::Duration Declared,
                                 jobs::Duration Measured) {
  if (Declared.count() <= 0 || Measured.count() <= 0)
    return;
  const double LogDeclared = std::log(static_cast<double>(Declared.count()));
  const double LogMeasured = std::log(static_cast<double>(Measured.count()));
  const double MaxLogError = std::log(MaxErrorFactor);
  Fits_[Queue].add(LogDeclared,
                   std::clamp(LogMeasured, LogDeclared - MaxLogError,
                              LogDeclared + MaxLogError));
}

jobs::Duration
RunTimeEstimator::expectedRunTime(const jobs::QueueName &Queue,
                                  const jobs::StepSpec &Step) const {
  const auto Row = Fits_.find(Queue);
  if (Row == Fits_.end() || Row->second.Runs_ < MinRuns ||
      Step.Estimate_.count() <= 0)
    return Step.Estimate_;
  const double Declared = std::log(static_cast<double>(Step.Estimate_.count()));
  return jobs::Duration(
      static_cast<std::int64_t>(std::exp(Row->second.expected(Declared))));
}

bool RunTimeEstimator::knowsRunTimes(const jobs::QueueName &Queue) const {
  const auto Row = Fits_.find(Queue);
  return Row != Fits_.end() && Row->second.Runs_ >= MinRuns;
}

jobs::Duration RunTimeEstimator::deviation(const jobs::QueueName &Queue,
                                           const jobs::StepSpec &Step) const {
  if (!knowsRunTimes(Queue))
    return jobs::Duration::zero();
  const auto Row = Fits_.find(Queue);
  const auto Expected =
      static_cast<double>(expectedRunTime(Queue, Step).count());
  return jobs::Duration(static_cast<std::int64_t>(
      Expected * std::sqrt(Row->second.SquaredError_)));
}

jobs::Duration criticalPath(const jobs::JobSpec &Job,
                            const RunTimeEstimator &Estimator) {
  absl::InlinedVector<jobs::Duration, 8> EndOf(Job.Steps_.size());
  jobs::Duration Longest{};
  for (std::size_t I = 0; I < Job.Steps_.size(); ++I) {
    jobs::Duration Begin{};
    for (const std::uint32_t Before : Job.Steps_[I].After_)
      if (Before < I)
        Begin = std::max(Begin, EndOf[Before]);
    EndOf[I] = Begin + Estimator.expectedRunTime(Job.Queue_, Job.Steps_[I]);
    Longest = std::max(Longest, EndOf[I]);
  }
  return Longest;
}

ResourceTime totalWork(const jobs::JobSpec &Job,
                       const RunTimeEstimator &Estimator) {
  ResourceTime Sum;
  for (const jobs::StepSpec &Step : Job.Steps_) {
    if (Step.LongRunning_)
      continue;
    const double Time =
        static_cast<double>(Step.Count_) *
        static_cast<double>(
            Estimator.expectedRunTime(Job.Queue_, Step).count());
    Sum.MilliCpus_ += Time * static_cast<double>(Step.demand().MilliCpus_);
    Sum.MemoryMb_ += Time * static_cast<double>(Step.demand().MemoryMb_);
  }
  return Sum;
}

} // namespace laburnumspread::scheduling
