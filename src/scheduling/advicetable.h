#pragma once

#include "jobs/jobtypes.h"

#include <map>
#include <optional>
#include <set>

namespace laburnumspread::scheduling {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// Identifies a step of one occurrence of a job.
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

/// A worker that the advisor permits to run a step, and the ticket with which
/// the worker verifies the permission.
struct AdvisedWorker {
  jobs::WorkerId Worker_;
  std::string Ticket_;
};

/// An answer of the advisor for one step.
struct AdviceReply {
  std::vector<AdvisedWorker> Workers_;
  /// How long the tickets are valid, counted from the request.
  Duration ValidFor_{};
};

/// Caches the advisor's answers per step. A ticket is valid for all tasks of
/// the step, for one incarnation of the worker and for a limited time. A ticket
/// that could expire before the worker receives it is not used.
class AdviceTable {
public:
  /// Time that a ticket must still be valid to be used. A start request takes
  /// a few milliseconds; with its retries it can take a second.
  static constexpr Duration UseMargin = std::chrono::milliseconds(300);
  /// Time until the advisor is asked again after it named no or too few
  /// workers, or did not answer. The needs of a step are fixed, but the set of
  /// workers changes.
  static constexpr Duration RetryInterval = std::chrono::milliseconds(400);
  /// The platform's limit on the workers named in one request.
  static constexpr std::size_t MaxWorkersPerRequest = 100;

  /// Returns whether the advisor should be asked about the step now, and if so
  /// marks the request as pending.
  bool beginRequest(const StepName &Step, TimePoint Now);
  /// Stores the answer to a request that was sent at \p RequestedAt, and
  /// replaces the step's earlier tickets.
  void recordAnswer(const StepName &Step,
                    const std::vector<AdvisedWorker> &Workers,
                    Duration ValidFor, TimePoint RequestedAt);
  /// The request failed or timed out; it is repeated after RetryInterval.
  void recordNoAnswer(const StepName &Step, TimePoint Now);

  /// Returns the ticket of the step for the worker, or nullopt if there is none
  /// or it expires within UseMargin.
  std::optional<std::string> ticket(const StepName &Step,
                                    const jobs::WorkerId &Worker,
                                    TimePoint Now) const;
  /// The worker has refused the ticket. It is dropped; if it was the step's
  /// last one, the advisor may be asked again at once.
  void recordRefusal(const StepName &Step, const jobs::WorkerId &Worker);
  /// Removes all entries of the job.
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
