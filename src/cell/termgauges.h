#pragma once

#include "framework/clock/clock.h"
#include "framework/metrics/metrics.h"

namespace laburnumspread::cell {

/// What the holder of a cell shows of its term. An entry that leads nothing
/// shows the default: the last figures of a former holder would be read as the
/// cell's.
struct TermGauges {
  std::uint64_t Token_ = 0;
  std::size_t JobsOpen_ = 0;
  std::size_t JobsKnown_ = 0;
  std::size_t RunsLive_ = 0;
  std::size_t RunsUnconfirmed_ = 0;
  /// Runs that are to be gone, since their job has ended or they are being
  /// stopped, and how long the oldest of them has been so.
  std::size_t RunsUnwanted_ = 0;
  framework::clock::Duration OldestUnwanted_{};
  std::size_t Workers_ = 0;
  std::size_t WorkersSilent_ = 0;
  bool StoreStalled_ = false;

  void publish(framework::metrics::Registry &Into) const;
};

} // namespace laburnumspread::cell
