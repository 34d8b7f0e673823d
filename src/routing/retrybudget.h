#pragma once

#include "framework/clock/clock.h"

#include <algorithm>

namespace laburnumspread::routing {

/// Bounds retries to a part of the requests, so that a fault of many endpoints
/// does not multiply the load on the others.
class RetryBudget {
public:
  /// Retries earned by each first try.
  static constexpr double TokensPerRequest = 0.1;
  /// Largest number of retries that can be saved up.
  static constexpr double MaxTokens = 10;

  void requestStarted() {
    Tokens_ = std::min(MaxTokens, Tokens_ + TokensPerRequest);
  }

  /// Takes one retry. False when none is left.
  bool tryConsume() {
    if (Tokens_ < 1)
      return false;
    Tokens_ -= 1;
    return true;
  }

private:
  double Tokens_ = MaxTokens;
};

} // namespace laburnumspread::routing
