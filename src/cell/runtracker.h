#pragma once

#include "cell/celltypes.h"
#include "jobs/celltable.h"

#include <map>
#include <set>

namespace laburnumspread::cell {

/// Tells which runs are over, from what was sent to workers and what they say.
///
/// A task may start again only when each earlier run of it is over for good: it
/// works no more and can never begin. An order without an answer may have been
/// carried out, or may be carried out seconds later, so silence proves nothing.
/// A run is over when
///  - its worker lists its end, or
///  - a hold that was sent after the start was settled does not list it, or
///  - a hold does not list it, and its start's deadline has passed on the
///    worker's own clock, and no further attempt is on its way, or
///  - a hold does not list it and an earlier holder ordered it: the worker
///    refuses that holder's token from this hold on, or
///  - the worker refuses the first and only attempt to start it.
///
/// A worker process that starts again may keep its id, and takes a start that
/// was meant for its former life: its clock begins anew, so no deadline stops
/// it. A run of a former life is over only when the new one does not list it
/// and no attempt without an answer is left, or the new life has stopped it.
class RunTracker {
public:
  struct EndedRun {
    jobs::RunName Run_;
    jobs::EndKind Kind_ = jobs::EndKind::Lost;
    jobs::Checkpoint Saved_;
    std::string_view Reason_;
  };

  /// What a worker's report comes to.
  struct Report {
    std::vector<EndedRun> Ended_;
    /// Runs that the journal does not know of as live there: orders of an
    /// earlier time that were carried out late.
    std::vector<jobs::RunName> Unknown_;
    /// Runs of former lives that may begin on this one: to be stopped there.
    std::vector<jobs::RunName> StaleStarts_;
  };

  /// A run that was told to stop is gone after this: the platform's word is a
  /// fifth of a second, and the worker's clock may be slow.
  static constexpr Duration MaxStopDuration = std::chrono::milliseconds(300);

  explicit RunTracker(jobs::CellTable &Table) : Table_(Table) {}

  /// The intent of a run was staged by this holder.
  void runStaged(const jobs::RunName &Run) { Staged_.insert(Run); }

  /// An attempt to start leaves, to be carried out by \p DeadlineMs of the
  /// worker's clock.
  void startSent(const jobs::RunName &Run, std::int64_t DeadlineMs);
  /// An attempt was answered. Returns how the run has ended if it has.
  std::optional<EndedRun> startAnswered(const jobs::RunName &Run,
                                        OrderResult Result, int Attempt,
                                        TimePoint Now);
  /// No further attempt will be sent.
  void noMoreStarts(const jobs::RunName &Run);
  /// A stop was carried out: from now on the run can only be listed as ended,
  /// or not at all.
  void stopAnswered(const jobs::RunName &Run, TimePoint Now);
  /// The same by a later life of the worker that the run was meant for.
  void stopAnsweredByLaterLife(const jobs::RunName &Run, TimePoint Now);
  /// Live runs on \p Worker that are to be gone: their job has ended, or a stop
  /// was ordered. Told from the tables alone, so that a stop may be lost, or
  /// its need be left to a later holder, at any moment: whoever asks after each
  /// report of the worker misses none. Without those whose stop was answered
  /// less than MaxStopDuration before \p AsOf, when the report was asked for:
  /// they may still be listed.
  std::vector<jobs::RunName> unwanted(const WorkerIncarnation &Worker,
                                      TimePoint AsOf) const;
  /// Whether a stop of the run has been answered.
  bool stopped(const jobs::RunName &Run) const;
  /// Whether a run of a life before \p Worker may still begin.
  bool mayRunStaleStarts(const WorkerIncarnation &Worker) const;

  /// A worker's report that answers a hold sent at \p SentAt. Ends up to
  /// \p EndsStaged have been taken already. Notes what runs in the table.
  Report processReport(const WorkerIncarnation &Worker, const HoldReply &Reply,
                       TimePoint SentAt, std::uint64_t EndsStaged);

  /// The run is over and staged as such.
  void forget(const jobs::RunName &Run);

private:
  struct StartState {
    std::int64_t DeadlineMs_ = 0;
    /// When an answer settled it; empty while it is in doubt.
    std::optional<TimePoint> SettledAt_;
    bool NoMoreStarts_ = false;
    /// Attempts that have not been answered.
    std::uint32_t Unanswered_ = 0;
    /// When its stop was last answered.
    std::optional<TimePoint> StoppedAt_;
    /// When a life after the one that it was meant for had first stopped it,
    /// since the last attempt left.
    std::optional<TimePoint> StoppedByLaterLifeAt_;
  };

  void settleFormerLives(const WorkerIncarnation &Worker,
                         const std::set<jobs::RunName> &Listed,
                         TimePoint SentAt, Report &Into) const;
  bool stopMayBeInProgress(const jobs::RunName &Run, TimePoint AsOf) const;
  bool cannotStartOnLaterLife(const jobs::RunName &Run, TimePoint SentAt) const;
  bool cannotStart(const jobs::RunName &Run, std::int64_t ClockMs,
                   TimePoint SentAt) const;

  jobs::CellTable &Table_;
  std::map<jobs::RunName, StartState> Starts_;
  std::set<jobs::RunName> Staged_;
};

} // namespace laburnumspread::cell
