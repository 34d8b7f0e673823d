#pragma once

#include "cell/celltypes.h"
#include "jobs/eventcodec.h"

#include <map>
#include <set>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace laburnumspread::cell {

/// Determines which runs have ended, from the orders sent to workers and their
/// reports.
///
/// A task may be started again only once each of its earlier runs has ended for
/// good: it is not active and can never start. An order without a reply may
/// have been executed, or may be executed seconds later, so a missing reply
/// proves nothing. A run has ended when
///
///  - its worker reports its end, or
///  - a hold that was sent after the start was settled does not report it, or
///  - a hold does not report it, the deadline of its start has passed on the
///    worker's clock, and no further attempt will be sent, or
///  - a hold does not report it and an earlier leader ordered it: after this
///    hold the worker refuses that leader's token, or
///  - the worker refuses the first and only attempt to start it.
///
/// Only a report that names no end can leave out a run that has ended for good.
/// A worker returns its ends in parts, the next one once the last has been
/// acknowledged. So while a report names ends, that of the run may follow.
///
/// A restarted worker process may keep its id and execute a start that was sent
/// to its former incarnation. Its clock starts anew, so the deadline does not
/// prevent that. A run of a former incarnation has ended only when the new
/// incarnation does not report it and either no attempt is unanswered or the
/// new incarnation has executed a stop for it.
class RunTracker {
public:
  /// A run that has ended, and the reason for the log.
  struct EndedRun {
    jobs::RunName Run_;
    jobs::EndKind Kind_ = jobs::EndKind::Lost;
    jobs::Checkpoint Saved_;
    std::string_view Reason_;
  };

  /// Result of processing a worker's report.
  struct Report {
    std::vector<EndedRun> Ended_;
    /// Runs that the journal does not show as live on this worker: orders of an
    /// earlier time that were executed late.
    std::vector<jobs::RunName> Unknown_;
    /// Runs of former incarnations that may still start on this one and have to
    /// be stopped here.
    std::vector<jobs::RunName> StaleStarts_;
    /// Whether the report decides on all runs that can no longer start. If it
    /// does not, or holds as many ends as fit, the next one is needed at once.
    bool Whole_ = false;
  };

  /// A run is gone at most this long after its stop was answered. The platform
  /// specifies 200 ms; the worker's clock may run slow.
  static constexpr Duration MaxStopDuration = std::chrono::milliseconds(300);

  /// \p EndsPerReport is the number of ends that fit into a report; it only
  /// tells when to ask for the next one. Checkpoints of more than \p
  /// MaxCheckpointBytes are left out.
  explicit RunTracker(jobs::CellTable &Table,
                      std::uint64_t EndsPerReport = MaxEndsPerReport,
                      std::size_t MaxCheckpointBytes =
                          jobs::maxCheckpointBytes(store::DefaultMaxValueBytes))
      : Table_(Table), EndsPerReport_(EndsPerReport),
        MaxCheckpointBytes_(MaxCheckpointBytes) {}

  /// Records that this leader has staged the intent of a run.
  void runStaged(const jobs::RunName &Run) { Staged_.insert(Run); }

  /// Records that an attempt to start is being sent, to be executed by \p
  /// DeadlineMs on the worker's clock.
  void startSent(const jobs::RunName &Run, std::int64_t DeadlineMs);
  /// Records the reply to an attempt. Returns how the run ended, or nullopt if
  /// it has not.
  std::optional<EndedRun> startAnswered(const jobs::RunName &Run,
                                        OrderResult Result, int Attempt,
                                        TimePoint Now);
  /// Records that no further attempt will be sent.
  void noMoreStarts(const jobs::RunName &Run);
  /// Whether no attempt to start the run has left this process, and none will.
  /// To be asked after the last attempt.
  bool cannotHaveArrived(const jobs::RunName &Run) const;
  /// Records that a stop was executed: the run can no longer be reported as
  /// running.
  void stopAnswered(const jobs::RunName &Run, TimePoint Now);
  /// The same for a stop executed by a later incarnation of the worker that the
  /// run was sent to.
  void stopAnsweredByLaterIncarnation(const jobs::RunName &Run, TimePoint Now);
  /// Returns the live runs on \p Worker that should be gone because their job
  /// has ended or a stop was ordered. The result depends on the tables alone,
  /// so a lost stop, or one left to the next leader, is found again by calling
  /// this after each report. Excludes runs whose stop was answered less than
  /// MaxStopDuration before \p AsOf, the time at which the report was
  /// requested: they may still be reported.
  std::vector<jobs::RunName> unwanted(const WorkerIncarnation &Worker,
                                      TimePoint AsOf) const;
  /// Whether a stop of the run has been answered.
  bool stopped(const jobs::RunName &Run) const;
  /// Whether a run of an earlier incarnation than \p Worker may still start.
  bool mayRunStaleStarts(const WorkerIncarnation &Worker) const;

  /// Processes the report that answers a hold sent at \p SentAt, and updates
  /// the live runs in the table. Ends up to \p EndsStaged have been processed
  /// before.
  Report processReport(const WorkerIncarnation &Worker, const HoldReply &Reply,
                       TimePoint SentAt, std::uint64_t EndsStaged);

  /// Returns the runs of a report that an earlier leader started without
  /// storing their intents, during an outage of the store. A run whose number
  /// is higher than any in the journal cannot be anything else: all other
  /// starts are stored before they are sent. Those of ended jobs are included,
  /// as they hold resources until they have been stopped.
  std::vector<jobs::RunName> unstoredStarts(const HoldReply &Reply,
                                            std::uint64_t EndsStaged) const;

  /// Drops the state of a run whose end has been staged.
  void forget(const jobs::RunName &Run);

private:
  struct StartState {
    std::int64_t DeadlineMs_ = 0;
    /// When a reply settled the start; empty while it may still be executed.
    std::optional<TimePoint> SettledAt_;
    bool NoMoreStarts_ = false;
    /// Attempts without a reply.
    std::uint32_t Unanswered_ = 0;
    /// When the last stop was answered.
    std::optional<TimePoint> StoppedAt_;
    /// When a later incarnation of the worker first executed a stop, since the
    /// last attempt was sent.
    std::optional<TimePoint> StoppedByLaterIncarnationAt_;
  };

  /// What a report names, and when it was requested.
  struct ReportFacts {
    absl::flat_hash_set<jobs::RunName> Listed_;
    /// Ends that the worker keeps may be missing in it.
    bool EndsMayFollow_ = false;
    std::int64_t ClockMs_ = 0;
    TimePoint SentAt_{};
  };

  void settleFormerIncarnations(const WorkerIncarnation &Worker,
                                const ReportFacts &Facts, Report &Into) const;
  void loseUnlisted(const WorkerIncarnation &Worker, const ReportFacts &Facts,
                    Report &Into) const;
  /// Ends a run that the report leaves out and that can no longer start, or
  /// leaves it to the next report.
  static void lose(const jobs::RunName &Run, std::string_view Reason,
                   const ReportFacts &Facts, Report &Into);
  /// Returns the checkpoint, or none if it is larger than the store can hold.
  jobs::Checkpoint storable(const jobs::RunName &Run,
                            const jobs::Checkpoint &Saved) const;
  bool stopMayBeInProgress(const jobs::RunName &Run, TimePoint AsOf) const;
  bool cannotStartOnLaterIncarnation(const jobs::RunName &Run,
                                     TimePoint SentAt) const;
  bool cannotStart(const jobs::RunName &Run, std::int64_t ClockMs,
                   TimePoint SentAt) const;

  jobs::CellTable &Table_;
  const std::uint64_t EndsPerReport_;
  const std::size_t MaxCheckpointBytes_;
  absl::flat_hash_map<jobs::RunName, StartState> Starts_;
  absl::flat_hash_set<jobs::RunName> Staged_;
};

} // namespace laburnumspread::cell
