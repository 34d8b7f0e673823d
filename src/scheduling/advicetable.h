#pragma once

#include "jobs/jobtypes.h"

#include <map>
#include <optional>
#include <set>

namespace laburnumspread::scheduling {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// A step of one occurrence of a job.
struct StepName {
  jobs::JobId Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;

  auto operator<=>(const StepName &) const = default;
  std::string str() const {
    return Job_.str() + '.' + std::to_string(Occurrence_) + '.' +
           std::to_string(Step_);
  }
};

/// A worker that may run a step, and the ticket that proves it.
struct AdvisedWorker {
  jobs::WorkerId Worker_;
  std::string Ticket_;
};

/// One answer of the advisor.
struct AdviceReply {
  std::vector<AdvisedWorker> Workers_;
  Duration ValidFor_{};
};

/// What the advisor has said lately. A ticket holds for all tasks of a step
/// during one life of the worker, and for a limited time; one that would end
/// on the way to the worker is not used.
class AdviceTable {
public:
  /// A start takes some milliseconds; its repetitions a second.
  static constexpr Duration UseMargin = std::chrono::milliseconds(300);
  /// After an answer without enough workers, or none, the advisor is asked
  /// again: what a step needs does not change, but which workers there are
  /// does.
  static constexpr Duration RetryInterval = std::chrono::milliseconds(400);
  /// Workers named in one call, the platform's bound.
  static constexpr std::size_t MaxWorkersPerRequest = 100;

  /// Whether the step should be asked about now; notes that it is.
  bool beginRequest(const StepName &Step, TimePoint Now);
  void recordAnswer(const StepName &Step,
                    const std::vector<AdvisedWorker> &Workers,
                    Duration ValidFor, TimePoint RequestedAt);
  void recordNoAnswer(const StepName &Step, TimePoint Now);

  std::optional<std::string> ticket(const StepName &Step,
                                    const jobs::WorkerId &Worker,
                                    TimePoint Now) const;
  /// A worker has refused the ticket.
  void recordRefusal(const StepName &Step, const jobs::WorkerId &Worker);
  void forget(const jobs::JobId &Job);

private:
  struct Row {
    std::map<jobs::WorkerId, std::string> Tickets_;
    TimePoint ExpiresAt_{};
    TimePoint NextRequestAt_{};
    bool RequestPending_ = false;
  };

  std::map<StepName, Row> Rows_;
};

} // namespace laburnumspread::scheduling
