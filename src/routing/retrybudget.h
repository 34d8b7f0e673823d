#pragma once

#include "framework/clock/clock.h"

#include <algorithm>

namespace laburnumspread::routing {

/// Bounds retries to a part of the requests, so that a fault of many endpoints
/// does not multiply the load on the others.
class RetryBudget {
public:
  /// Retries earned by each first try.
  static constexpr double PerRequest = 0.1;
  /// Largest number of retries that can be saved up.
  static constexpr double Most = 10;

  void requestStarted() { Left_ = std::min(Most, Left_ + PerRequest); }

  /// Takes one retry. False when none is left.
  bool take() {
    if (Left_ < 1)
      return false;
    Left_ -= 1;
    return true;
  }

private:
  double Left_ = Most;
};

} // namespace laburnumspread::routing
