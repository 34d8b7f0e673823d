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
struct Advice {
  jobs::WorkerId Worker_;
  std::string Ticket_;
};

/// One answer of the advisor.
struct AdviceReply {
  std::vector<Advice> Good_;
  Duration Valid_{};
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
  static constexpr Duration AskAgainAfter = std::chrono::milliseconds(400);
  /// Workers named in one call, the platform's bound.
  static constexpr std::size_t MostWorkers = 100;

  /// Whether the step should be asked about now; notes that it is.
  bool beginAsking(const StepName &Step, TimePoint Now);
  void answered(const StepName &Step, const std::vector<Advice> &Good,
                Duration Valid, TimePoint AskedAt);
  void unanswered(const StepName &Step, TimePoint Now);

  std::optional<std::string> ticket(const StepName &Step,
                                    const jobs::WorkerId &Worker,
                                    TimePoint Now) const;
  /// A worker has refused the ticket.
  void refused(const StepName &Step, const jobs::WorkerId &Worker);
  void forget(const jobs::JobId &Job);

private:
  struct Row {
    std::map<jobs::WorkerId, std::string> Tickets_;
    TimePoint Until_{};
    TimePoint AskAgainAt_{};
    bool Asking_ = false;
  };

  std::map<StepName, Row> Rows_;
};

} // namespace laburnumspread::scheduling
