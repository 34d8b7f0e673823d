#pragma once

#include "cell/commitqueue.h"
#include "cell/workertable.h"
#include "framework/metrics/metrics.h"
#include "scheduling/advicetable.h"
#include "scheduling/estimates.h"

namespace laburnumspread::cell {

/// One leadership of a cell from takeover to loss: the tables, and the queue to
/// the journal. Everything that works for it holds it by shared ownership and
/// stops when over() holds.
template <store::KeyValueStore Store> struct Term {
  Term(Store &S, const journal::CellKeys &Keys,
       journal::Leadership<Store> &Lead, framework::metrics::Registry &Metrics,
       CellBounds Bounds)
      : Lead_(Lead), Token_(Lead.token()), Log_(S, Keys, Lead),
        Commits_(Table_, Log_, Metrics), Metrics_(Metrics), Bounds_(Bounds),
        BegunAt_(now()) {}

  static TimePoint now() { return framework::clock::SteadyClock().now(); }

  bool over() const { return Over_ || Lead_.token() != Token_; }

  /// Whether orders to workers may leave.
  bool mayOrder() const {
    return !over() && now() - Lead_.confirmedAt() < OrdersWithoutStore;
  }

  TimePoint inheritedLeaseEnds() const {
    return cell::inheritedLeaseEnds(BegunAt_, Bounds_.LongestHold_);
  }

  void fillGauges(framework::metrics::Registry &Into) const {
    std::size_t Live = 0, Unconfirmed = 0, Silent = 0;
    for (const auto &[Life, Use] : Table_.workers())
      for (const jobs::RunName &Run : Use.Runs_) {
        ++Live;
        const jobs::LiveRun *Found = Table_.find(Run);
        Unconfirmed += Found && !Found->Confirmed_;
      }
    for (const auto &[Life, Row] : Workers_)
      Silent += Row->Unanswered_ > 0;
    const auto Set = [&](std::string_view Name, std::size_t Value) {
      Into.gauge(Name).set(static_cast<double>(Value));
    };
    Set("cell_token", Token_.value());
    Set("jobs_open", Table_.open().size());
    Set("jobs_known", Table_.jobs().size());
    Set("runs_live", Live);
    Set("runs_unconfirmed", Unconfirmed);
    Set("workers", Workers_.size());
    Set("workers_silent", Silent);
    Set("store_stalled", Commits_.stalled() ? 1 : 0);
  }

  journal::Leadership<Store> &Lead_;
  /// Rises when the head is written anew under this leadership.
  jobs::FencingToken Token_;
  jobs::CellTable Table_;
  journal::Journal<Store> Log_;
  CommitQueue<Store> Commits_;
  WorkerTable Workers_;
  /// Lives that are over, and since when. Their entries may stay listed for
  /// some seconds.
  std::map<WorkerLife, TimePoint> EndedLives_;
  CellConfig Config_;
  scheduling::Estimates Learned_;
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
