#pragma once

#include "jobs/jobtypes.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

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

/// A question to the advisor: which of the workers may run the step.
struct AdviceQuestion {
  StepName Step_;
  std::vector<jobs::WorkerIncarnation> Workers_;
};

/// What the advisor has said of each step.
///
/// Which workers may run a step does not change, so each incarnation of a
/// worker is asked about once for a step; if it was named, again when its
/// ticket is about to expire. So a step that no worker may run costs a bounded
/// number of questions, and the workers of a large pool are gone through in
/// questions of bounded size. Asking about the same workers again took all of
/// the advisor's time once there were a few such steps, and the others were
/// never asked about.
///
/// A ticket is valid for all tasks of the step, for one incarnation of the
/// worker and for a limited time. A ticket that could expire before the worker
/// receives it is not used.
class AdviceTable {
public:
  /// Time that a ticket must still be valid to be used. A start request takes
  /// a few milliseconds; with its retries it can take a second.
  static constexpr Duration UseMargin = std::chrono::milliseconds(300);
  /// Time until a question is repeated that had no answer, and until a step is
  /// looked at again for which there was nothing to ask.
  static constexpr Duration RetryInterval = std::chrono::milliseconds(400);

  /// Most steps that were refused so far can never run. They get this part of
  /// the questions, so that one of them that can run is not left out.
  static constexpr int QuestionsPerRefused = 4;

  /// Appends the workers that the step may run on to its second argument.
  using FindWorkers = std::function<void(
      const StepName &, std::vector<jobs::WorkerIncarnation> &)>;

  /// Chooses the next question for \p Steps, given in scheduling order, and
  /// marks it as pending. \p MostWorkers returns how many workers a question
  /// about a step may name. Returns nullopt if a question is pending or there
  /// is nothing to ask.
  ///
  /// Steps take turns, the one that has waited longest first. Those of which
  /// every worker asked about was refused come after the others, but for one
  /// question in QuestionsPerRefused.
  std::optional<AdviceQuestion>
  nextQuestion(const std::vector<StepName> &Steps, const FindWorkers &Find,
               const std::function<std::size_t(const StepName &)> &MostWorkers,
               TimePoint Now);

  /// Stores the answer to a question that was sent at \p AskedAt.
  void recordAnswer(const AdviceQuestion &Asked, const AdviceReply &Answer,
                    TimePoint AskedAt);
  /// The question failed or timed out; it is repeated after RetryInterval.
  void recordNoAnswer(const AdviceQuestion &Asked, TimePoint Now);

  /// Returns the ticket of the step for the worker, or nullopt if there is none
  /// or it expires within UseMargin.
  std::optional<std::string> ticket(const StepName &Step,
                                    const jobs::WorkerIncarnation &Worker,
                                    TimePoint Now) const;
  /// The worker has refused the ticket: it is dropped, and the advisor may be
  /// asked about the worker again.
  void recordRefusal(const StepName &Step,
                     const jobs::WorkerIncarnation &Worker);
  /// Removes the steps of jobs for which \p IsOpen returns false.
  void forgetEnded(const std::function<bool(const jobs::JobId &)> &IsOpen);

  std::size_t size() const { return Rows_.size(); }

private:
  struct Ticket {
    std::string Text_;
    TimePoint ExpiresAt_{};
    /// When a new one is asked for.
    TimePoint RenewAt_{};
  };

  struct Row {
    /// Of the workers that were named.
    std::map<jobs::WorkerIncarnation, Ticket> Tickets_;
    /// Whether the advisor was asked about a worker, by its number.
    std::vector<bool> Asked_;
    /// When it was first seen or last asked about.
    TimePoint WaitingSince_{};
    /// Not before then is it looked at.
    TimePoint NextAt_{};
    bool WasAsked_ = false;

    /// Whether every worker that was asked about was refused.
    bool refused() const { return WasAsked_ && Tickets_.empty(); }
  };

  /// A step that may be asked about, by how long it has waited.
  using Turn = std::pair<TimePoint, std::size_t>;

  std::vector<Turn> findTurns(const std::vector<StepName> &Steps, bool Refused,
                              TimePoint Now);
  std::vector<jobs::WorkerIncarnation>
  workersToAskAbout(Row &Of, const std::vector<jobs::WorkerIncarnation> &Among,
                    std::size_t Most, TimePoint Now);
  std::uint32_t numberOf(const jobs::WorkerIncarnation &Worker);
  static bool wasAsked(const Row &Of, std::uint32_t Number);

  std::map<StepName, Row> Rows_;
  absl::flat_hash_map<jobs::WorkerIncarnation, std::uint32_t> Numbers_;
  bool Pending_ = false;
  /// Questions since the last one about a step that had been refused.
  int SinceRefused_ = 0;
};

} // namespace laburnumspread::scheduling
