#pragma once

#include "cell/commitqueue.h"
#include "cell/workertable.h"
#include "framework/metrics/metrics.h"
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
        Commits_(Table_, Log_), Metrics_(Metrics), Bounds_(Bounds),
        BegunAt_(now()) {}

  /// How long a holder that the store does not confirm goes on renewing what
  /// runs. Long enough that work outlives an outage of the store of this time
  /// and a lease; a successor waits as long before it gives up on a worker
  /// that it cannot reach.
  static constexpr Duration OrdersWithoutStore =
      std::chrono::milliseconds(4000);
  /// Added where clocks of two machines are compared.
  static constexpr Duration Margin = std::chrono::milliseconds(300);

  static TimePoint now() { return framework::clock::SteadyClock().now(); }

  bool over() const { return Over_ || Lead_.token() != Token_; }

  /// Whether orders to workers may leave.
  bool mayOrder() const {
    return !over() && now() - Lead_.confirmedAt() < OrdersWithoutStore;
  }

  /// After this, nothing that an earlier holder ordered runs on a worker that
  /// has not been heard: it went on for OrdersWithoutStore after its head was
  /// replaced at the latest, and what it ordered last has lapsed.
  TimePoint inheritedLeaseEnds() const {
    const auto Lease = Duration(static_cast<std::int64_t>(
        static_cast<double>(Bounds_.LongestHold_.count()) / SlowestClock));
    return BegunAt_ + OrdersWithoutStore + Lease + Margin;
  }

  journal::Leadership<Store> &Lead_;
  const jobs::FencingToken Token_;
  jobs::CellTable Table_;
  journal::Journal<Store> Log_;
  CommitQueue<Store> Commits_;
  WorkerTable Workers_;
  /// Lives that are over. Their entries may stay listed for some seconds.
  std::set<WorkerLife> EndedLives_;
  CellConfig Config_;
  scheduling::Estimates Learned_;
  framework::metrics::Registry &Metrics_;
  CellBounds Bounds_;
  TimePoint BegunAt_;
  /// Whether the journal has been read: before, nothing is known of any job.
  bool Loaded_ = false;
  bool Over_ = false;
};

} // namespace laburnumspread::cell
