#include "scheduling/estimates.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace laburnumspread::scheduling {

void Estimates::Fit::add(double LogDeclared, double LogSeen) {
  ++Runs_;
  const double Weight =
      std::max(NewestWeight, 1.0 / static_cast<double>(Runs_));
  const double Off = LogDeclared - Declared_;
  Declared_ += Weight * Off;
  const double OffSeen = LogSeen - Seen_;
  Seen_ += Weight * OffSeen;
  Variance_ = (1 - Weight) * (Variance_ + Weight * Off * Off);
  Covariance_ = (1 - Weight) * (Covariance_ + Weight * Off * OffSeen);
}

double Estimates::Fit::expected(double LogDeclared) const {
  const double Slope =
      Variance_ > 0 ? std::clamp(Covariance_ / Variance_, 0.0, 1.0) : 1.0;
  return Seen_ + Slope * (LogDeclared - Declared_);
}

void Estimates::note(const jobs::QueueName &Queue, jobs::Duration Declared,
                     jobs::Duration Seen) {
  if (Declared.count() <= 0 || Seen.count() <= 0)
    return;
  const double LogDeclared = std::log(static_cast<double>(Declared.count()));
  const double LogSeen = std::log(static_cast<double>(Seen.count()));
  const double Most = std::log(MostOff);
  Fits_[Queue].add(LogDeclared,
                   std::clamp(LogSeen, LogDeclared - Most, LogDeclared + Most));
}

jobs::Duration Estimates::of(const jobs::QueueName &Queue,
                             const jobs::StepSpec &Step) const {
  const auto Row = Fits_.find(Queue);
  if (Row == Fits_.end() || Row->second.Runs_ < FewRuns ||
      Step.Estimate_.count() <= 0)
    return Step.Estimate_;
  const double Declared = std::log(static_cast<double>(Step.Estimate_.count()));
  return jobs::Duration(
      static_cast<std::int64_t>(std::exp(Row->second.expected(Declared))));
}

jobs::Duration longestChain(const jobs::JobSpec &Job,
                            const Estimates &Learned) {
  std::vector<jobs::Duration> EndOf(Job.Steps_.size());
  jobs::Duration Longest{};
  for (std::size_t I = 0; I < Job.Steps_.size(); ++I) {
    jobs::Duration Begin{};
    for (const std::uint32_t Before : Job.Steps_[I].After_)
      if (Before < I)
        Begin = std::max(Begin, EndOf[Before]);
    EndOf[I] = Begin + Learned.of(Job.Queue_, Job.Steps_[I]);
    Longest = std::max(Longest, EndOf[I]);
  }
  return Longest;
}

double workOf(const jobs::JobSpec &Job, const Estimates &Learned) {
  double Sum = 0;
  for (const jobs::StepSpec &Step : Job.Steps_)
    if (!Step.LongRunning_)
      Sum += static_cast<double>(Step.Count_) *
             static_cast<double>(Step.demand().MilliCpus_) *
             static_cast<double>(Learned.of(Job.Queue_, Step).count());
  return Sum;
}

} // namespace laburnumspread::scheduling
