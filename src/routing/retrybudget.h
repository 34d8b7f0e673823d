#pragma once

#include "framework/clock/clock.h"

#include <algorithm>

namespace laburnumspread::routing {

/// Limits retries to a fraction of the requests, so that a fault of many
/// endpoints does not multiply the load on the others.
class RetryBudget {
public:
  /// Retries added to the budget by each request.
  static constexpr double TokensPerRequest = 0.1;
  /// Maximum number of retries in the budget.
  static constexpr double MaxTokens = 10;

  void requestStarted() {
    Tokens_ = std::min(MaxTokens, Tokens_ + TokensPerRequest);
  }

  /// Takes one retry from the budget. Returns false if none is left.
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
