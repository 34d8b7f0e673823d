#pragma once

#include "cell/commitqueue.h"
#include "cell/termgauges.h"
#include "cell/workertable.h"
#include "framework/metrics/metrics.h"
#include "scheduling/advicetable.h"
#include "scheduling/runtimeestimator.h"

namespace laburnumspread::cell {

/// One leadership of a cell from takeover to loss: the tables, and the queue to
/// the journal. Everything that works for it holds it by shared ownership and
/// stops when over() holds.
template <store::KeyValueStore Store> struct Term {
  Term(Store &S, const journal::CellKeys &Keys,
       journal::Leadership<Store> &Lead, framework::metrics::Registry &Metrics,
       CellBounds Bounds)
      : Lead_(Lead), Reign_(Lead.term()), Token_(Lead.token()),
        Log_(S, Keys, Lead), Commits_(Table_, Log_, Metrics), Metrics_(Metrics),
        Bounds_(Bounds), BegunAt_(now()) {}

  static TimePoint now() { return framework::clock::SteadyClock().now(); }

  static std::int64_t sinceMs(TimePoint When) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now() - When)
        .count();
  }

  /// The worker's process is gone or has started again. What it ran is for the
  /// caller to settle.
  void endLife(WorkerRow &Row, std::string_view Reason) {
    if (std::exchange(Row.Over_, true))
      return;
    EndedLives_.emplace(Row.Record_.Incarnation_, now());
    framework::log::info("worker.over")
        .field("worker", Row.Record_.Incarnation_.Id_.str())
        .field("born_ms", Row.Record_.Incarnation_.StartedMs_)
        .field("reason", Reason);
    Row.wake();
  }

  bool over() const { return Over_ || !Lead_.holds(Reign_); }

  /// Whether orders to workers may leave.
  bool mayOrder() const {
    return !over() && now() - Lead_.confirmedAt() < OrdersWithoutStore;
  }

  TimePoint inheritedLeaseEnds() const {
    return cell::inheritedLeaseEnds(BegunAt_, Bounds_.LongestHold_);
  }

  TermGauges gauges() const {
    TermGauges Result;
    Result.Token_ = Token_.value();
    Result.JobsOpen_ = Table_.open().size();
    Result.JobsKnown_ = Table_.jobs().size();
    Result.Workers_ = Workers_.size();
    Result.StoreStalled_ = Commits_.stalled();
    for (const auto &[Life, Use] : Table_.workers())
      for (const jobs::RunName &Run : Use.Runs_)
        count(Run, Result);
    for (const auto &[Life, Row] : Workers_)
      Result.WorkersSilent_ += Row->Unanswered_ > 0;
    return Result;
  }

  void count(const jobs::RunName &Run, TermGauges &Into) const {
    const jobs::LiveRun *Live = Table_.find(Run);
    ++Into.RunsLive_;
    Into.RunsUnconfirmed_ += Live && !Live->Confirmed_;
    const auto Since = Table_.unwantedSince(Run);
    if (!Since)
      return;
    ++Into.RunsUnwanted_;
    Into.OldestUnwanted_ = std::max(Into.OldestUnwanted_, now() - *Since);
  }

  journal::Leadership<Store> &Lead_;
  journal::TermNumber Reign_;
  /// Rises when the head is written anew under this leadership.
  jobs::FencingToken Token_;
  jobs::CellTable Table_;
  journal::Journal<Store> Log_;
  CommitQueue<Store> Commits_;
  WorkerTable Workers_;
  /// Lives that are over, and since when. Their entries may stay listed for
  /// some seconds.
  std::map<WorkerIncarnation, TimePoint> EndedLives_;
  CellConfig Config_;
  scheduling::RunTimeEstimator Learned_;
  scheduling::AdviceTable Advised_;
  framework::metrics::Registry &Metrics_;
  CellBounds Bounds_;
  TimePoint BegunAt_;
  /// Whether the journal has been read: before, nothing is known of any job.
  bool Loaded_ = false;
  bool Over_ = false;
  /// A worker has refused the token: there is a later holder.
  bool Superseded_ = false;
};

} // namespace laburnumspread::cell
