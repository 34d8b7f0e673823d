#pragma once

#include "jobs/jobtypes.h"

#include <map>

namespace laburnumspread::scheduling {

/// Run times as they were seen, beside the callers' own estimates: the ratio of
/// the two by queue, as an exponentially weighted mean.
class Estimates {
public:
  /// Weight of the newest run: about the last twenty count.
  static constexpr double NewestWeight = 0.05;
  static constexpr double LeastRatio = 0.1;
  static constexpr double MostRatio = 10;

  void note(const jobs::QueueName &Queue, jobs::Duration Declared,
            jobs::Duration Seen);

  /// Expected run time of one task of the step.
  jobs::Duration of(const jobs::QueueName &Queue,
                    const jobs::StepSpec &Step) const;

private:
  std::map<jobs::QueueName, double> Ratios_;
};

/// Longest chain of expected run times over the job's steps.
jobs::Duration longestChain(const jobs::JobSpec &Job, const Estimates &Learned);

} // namespace laburnumspread::scheduling
