#pragma once

#include "jobs/events.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace laburnumspread::jobs {

/// A run that may still be executing on a worker.
struct LiveRun {
  RunNumber Run_;
  WorkerIncarnation Worker_;
  /// Whether the worker has confirmed the start, or listed the run.
  bool Confirmed_ = false;
  /// Whether it is being stopped, and since when by this process's clock.
  bool Stopping_ = false;
  TimePoint StoppingSince_{};
  /// Whether it has been logged that the run continues although it is being
  /// stopped.
  bool StillRunningLogged_ = false;
  /// Speed that the worker reported last, in percent of full speed.
  int Percent_ = 0;
  /// When its intent was staged, and when its worker accepted the start; the
  /// latter is empty if this leader did not see it.
  TimePoint StartedAt_{};
  std::optional<TimePoint> AcceptedAt_;
  /// Whether another run of the task was live when this table added it. After a
  /// restore, a copy whose original has ended counts as an ordinary run.
  bool Copy_ = false;
};

/// State of one task.
struct TaskRow {
  bool Done_ = false;
  /// When it was done.
  TimePoint DoneAt_{};
  std::uint32_t Failures_ = 0;
  RunNumber LastRun_;
  Checkpoint Saved_;
  /// Up to StepSpec::maxLiveRuns(), the earliest first. One may still be live
  /// when the task is done by another.
  std::vector<LiveRun> Runs_;
  /// Earliest time of the next start, after a failure.
  TimePoint NotBefore_{};

  bool idle() const { return !Done_ && Runs_.empty(); }
};

/// State of one step of one occurrence of a job.
struct StepRow {
  std::vector<TaskRow> Tasks_;
  std::uint32_t DoneCount_ = 0;
  /// Tasks with a live run that are not done.
  std::uint32_t LiveCount_ = 0;

  bool done() const { return DoneCount_ == Tasks_.size(); }
};

/// State of one occurrence of a job.
struct OccurrenceRow {
  std::vector<StepRow> Steps_;
  std::uint32_t StepsDone_ = 0;
  /// Live runs of its tasks, those of tasks that are done included.
  std::uint32_t LiveRuns_ = 0;

  bool done() const { return StepsDone_ == Steps_.size(); }
};

/// The occurrences of a job. Only those that have begun and are not settled
/// have a row of their own: a job that runs once a minute for a month has
/// 43,200 occurrences, and with the rows of all their tasks a few such jobs
/// exceeded the memory of every leader. Those that have not begun share a row,
/// and of settled ones just the numbers are kept. The only occurrence of a job
/// has its row at once.
class OccurrenceTable {
public:
  /// Occurrences by number.
  using Rows = std::map<std::uint32_t, OccurrenceRow>;

  OccurrenceTable() = default;
  explicit OccurrenceTable(const JobSpec &Spec);

  /// Number of rows that the tasks and steps of one occurrence take. A step
  /// takes as much memory as a few tasks, by its entry in the job.
  static std::uint64_t rowsPerOccurrence(const JobSpec &Spec);

  std::uint32_t size() const { return Count_; }
  /// The lowest number that is not settled.
  std::uint32_t firstOpen() const { return SettledThrough_; }
  /// Returns the occurrence's row, that of all untouched ones if it has not
  /// begun, or nullptr if it is settled or does not exist.
  const OccurrenceRow *find(std::uint32_t K) const;
  /// Returns the occurrence's own row, or nullptr if it has none.
  OccurrenceRow *findTouched(std::uint32_t K);
  /// The same, but gives the occurrence a row of its own if it has not begun.
  OccurrenceRow *touch(std::uint32_t K);

  const Rows &touched() const { return Touched_; }
  /// The row of those that have not begun.
  const OccurrenceRow &untouched() const { return Untouched_; }
  /// Number of occurrences below \p K that have not begun.
  std::uint32_t untouchedBefore(std::uint32_t K) const;
  std::uint32_t untouchedCount() const;

  /// Drops the row of an occurrence that is done and has no live runs. The row
  /// of a job's only occurrence stays.
  void settleIfOver(std::uint32_t K);
  /// Records that an occurrence is settled, from a snapshot. Returns false if
  /// it was known.
  bool restoreSettled(std::uint32_t K);
  bool settled(std::uint32_t K) const {
    return K < SettledThrough_ || SettledAhead_.contains(K);
  }
  /// Ranges of settled occurrences: the first number and the number after the
  /// last.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> settledRanges() const;

  /// Number of rows that this table holds.
  std::uint64_t rows() const;

private:
  void markSettled(std::uint32_t K);

  std::uint32_t Count_ = 0;
  std::uint64_t RowsEach_ = 0;
  OccurrenceRow Untouched_;
  Rows Touched_;
  /// All below this number are settled, and those in the set.
  std::uint32_t SettledThrough_ = 0;
  std::set<std::uint32_t> SettledAhead_;
};

} // namespace laburnumspread::jobs
