#pragma once

#include "scheduling/runtimeestimator.h"

#include <map>

namespace laburnumspread::scheduling {

/// What the workers of a pool can run of its finite tasks, now and later.
class PoolCapacity {
public:
  /// Adds resources that are free, or in use by finite tasks.
  void add(const jobs::Resources &Part);
  /// Adds resources that become free for finite tasks at \p At.
  void addLater(const jobs::Resources &Part, jobs::TimePoint At);
  /// Returns when the pool has run \p Work, starting at \p Now.
  /// TimePoint::max() if it has no capacity for it.
  jobs::TimePoint doneAt(const ResourceTime &Work, jobs::TimePoint Now) const;
  /// Returns all resources, now and later.
  jobs::Resources total() const;
  bool empty() const { return Now_.MilliCpus_ <= 0 && Later_.empty(); }

private:
  jobs::Resources Now_;
  std::map<jobs::TimePoint, jobs::Resources> Later_;
};

} // namespace laburnumspread::scheduling
