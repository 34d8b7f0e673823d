#pragma once

#include "cell/callrules.h"
#include "cell/commitqueue.h"
#include "cell/leaderload.h"
#include "cell/pacereporter.h"
#include "cell/termgauges.h"
#include "cell/workerhistory.h"
#include "cell/zoneevacuations.h"
#include "framework/metrics/metrics.h"
#include "scheduling/admission.h"
#include "scheduling/advicetable.h"
#include "scheduling/runtimeestimator.h"
#include "scheduling/startdelay.h"
#include "scheduling/workerspeeds.h"
#include "scheduling/workspaceshares.h"

namespace laburnumspread::cell {

/// State of one leadership of a cell, from takeover to loss: the tables and the
/// commit queue to the journal. All fibers that work for the term share
/// ownership of it and stop once ended() returns true.
template <store::KeyValueStore Store> struct Term {
  Term(Store &S, const journal::CellKeys &Keys,
       journal::Leadership<Store> &Leadership,
       framework::metrics::Registry &Metrics, CellBounds Bounds,
       const ZoneEvacuations &Evacuations)
      : Leadership_(Leadership), TermNumber_(Leadership.term()),
        FirstToken_(Leadership.token()), Token_(FirstToken_),
        Log_(S, Keys, Leadership, Bounds.MaxValueBytes_),
        Commits_(Table_, Log_, Metrics), Evacuations_(Evacuations),
        Metrics_(Metrics), Bounds_(Bounds), StartedAt_(now()),
        History_(StartedAt_) {}

  static TimePoint now() { return framework::clock::SteadyClock().now(); }

  /// Returns the time since \p When in milliseconds.
  static std::int64_t sinceMs(TimePoint When) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now() - When)
        .count();
  }

  /// Marks a worker's incarnation as ended: its process exited or was
  /// restarted. The caller ends the runs that it had.
  void markIncarnationEnded(WorkerRow &Row, std::string_view Reason) {
    if (std::exchange(Row.Ended_, true))
      return;
    EndedIncarnations_.emplace(Row.Record_.Incarnation_, now());
    History_.recordEnd(Row);
    Row.endFirstReplyWaits();
    framework::log::info("worker.over")
        .field("worker", Row.Record_.Incarnation_.Id_.str())
        .field("born_ms", Row.Record_.Incarnation_.StartedMs_)
        .field("reason", Reason);
  }

  TermTokens tokens() const { return {FirstToken_, Token_}; }

  /// Whether the leadership has ended; fibers of the term then stop.
  bool ended() const { return Ended_ || !Leadership_.holds(TermNumber_); }

  /// Whether orders may be sent to workers: the term is not over, and the store
  /// confirmed the leadership recently enough.
  bool maySendOrders() const {
    return !ended() && now() - Leadership_.confirmedAt() < StoreOutageTolerance;
  }

  /// Whether tasks may be started: orders may be sent, and no evacuation of a
  /// zone can have been missed.
  bool maySendStarts() const {
    return maySendOrders() && Evacuations_.current(now());
  }

  /// Whether a start without a reply may be sent again. Once a successor may
  /// lead, only the token that it left at the worker keeps a repeated start
  /// from running beside the successor's own run of the task, and a worker that
  /// restarts forgets it. A start sent before that is lost with the connection.
  bool mayRepeatStarts() const {
    return maySendStarts() && Leadership_.soleLeaderAt(now());
  }

  /// Whether a planned start may still be sent to the worker. Storing the
  /// intent can take seconds; a task that starts long after its worker
  /// announced that it leaves is lost with it.
  bool takesStarts(const WorkerRow &Row) const {
    return !Row.Ended_ && !Row.Record_.Draining_ &&
           !Evacuations_.contains(Row.Record_.Zone_);
  }

  /// Returns what keeps the worker from new tasks, apart from its machine. One
  /// that has not replied yet accepts them only if the journal shows no runs on
  /// it.
  WorkerRestriction restrictionOf(const WorkerRow &Row) const {
    if (const auto Own = Row.restriction(); !allowsTasks(Own))
      return Own;
    if (Evacuations_.contains(Row.Record_.Zone_))
      return WorkerRestriction::EvacuatedZone;
    if (History_.mayDropUnreadEnds(Row, now()))
      return WorkerRestriction::UnreadEnds;
    if (Row.Orders_.avoided(now()))
      return WorkerRestriction::OrdersUnanswered;
    if (!Row.Synced_ && Table_.usageOf(Row.Record_.Incarnation_))
      return WorkerRestriction::FirstReply;
    return Row.Orders_.onTrial() ? WorkerRestriction::OnTrial
                                 : WorkerRestriction::None;
  }
  /// Whether new tasks may be planned on the worker, apart from its machine.
  bool acceptsTasks(const WorkerRow &Row) const {
    return allowsTasks(restrictionOf(Row));
  }

  /// Returns the time after which no run ordered by an earlier leader is active
  /// on a worker that has not replied to this one.
  TimePoint inheritedLeaseExpiry() const {
    return cell::inheritedLeaseExpiry(StartedAt_, Bounds_.MaxLease_);
  }

  /// Computes the metrics of the term.
  TermGauges gauges() const {
    TermGauges Result;
    Result.Token_ = Token_.value();
    Result.JobsOpen_ = Table_.open().size();
    Result.JobsKnown_ = Table_.jobs().size();
    Result.Workers_ = Workers_.size();
    Result.WorkersListAge_ = now() - WorkersSeenAt_;
    Result.StoreStalled_ = Commits_.stalled();
    Result.StartDelay_ = StartDelay_.expected();
    Result.FiberDelay_ = Load_.delay();
    for (const auto &[Incarnation, Use] : Table_.workers())
      for (const jobs::RunName &Run : Use.Runs_)
        countRun(Run, Result);
    for (const auto &[Incarnation, Row] : Workers_) {
      Result.WorkersSilent_ += Row->Unanswered_ > 0;
      Result.WorkersUnfenced_ +=
          Row->Listed_ && Row->mayExecuteFormerOrders(now());
      if (!Evacuations_.contains(Row->Record_.Zone_))
        continue;
      ++Result.WorkersEvacuated_;
      if (const jobs::WorkerUsage *Use = Table_.usageOf(Incarnation))
        Result.RunsEvacuated_ += Use->Runs_.size();
    }
    return Result;
  }

  void countRun(const jobs::RunName &Run, TermGauges &Into) const {
    const jobs::LiveRun *Live = Table_.find(Run);
    ++Into.RunsLive_;
    Into.RunsUnconfirmed_ += Live && !Live->Confirmed_;
    const auto Since = Table_.unwantedSince(Run);
    if (!Since)
      return;
    ++Into.RunsUnwanted_;
    Into.OldestUnwanted_ = std::max(Into.OldestUnwanted_, now() - *Since);
  }

  journal::Leadership<Store> &Leadership_;
  journal::TermNumber TermNumber_;
  /// The token with which the term began.
  jobs::FencingToken FirstToken_;
  /// Increases when this entry rewrites the head key during the same
  /// leadership.
  jobs::FencingToken Token_;
  jobs::CellTable Table_;
  journal::Journal<Store> Log_;
  CommitQueue<Store> Commits_;
  WorkerTable Workers_;
  /// Ended incarnations and when each ended. The platform's worker list may
  /// show them for some seconds more.
  absl::flat_hash_map<WorkerIncarnation, TimePoint> EndedIncarnations_;
  CellConfig Config_;
  const ZoneEvacuations &Evacuations_;
  scheduling::RunTimeEstimator Estimates_;
  scheduling::StartDelay StartDelay_;
  LeaderLoad Load_;
  PaceReporter Pace_;
  /// When the list of workers was last read, or a change of it arrived.
  TimePoint WorkersSeenAt_ = now();
  scheduling::AdviceTable Advice_;
  scheduling::WorkspaceShares Shares_;
  scheduling::WorkerSpeeds Speeds_;
  /// Made by each scheduling pass; empty until the first.
  scheduling::AdmissionProjection Admission_;
  framework::metrics::Registry &Metrics_;
  CellBounds Bounds_;
  TimePoint StartedAt_;
  WorkerHistory History_;
  /// Whether the journal has been replayed. Until then the tables are
  /// incomplete.
  bool JournalLoaded_ = false;
  /// Set when the leadership ended.
  bool Ended_ = false;
  /// Set when a worker refused the fencing token: a later leader exists.
  bool Superseded_ = false;
};

} // namespace laburnumspread::cell
