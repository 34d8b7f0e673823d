#pragma once

#include "framework/clock/clock.h"

#include <algorithm>
#include <optional>

namespace laburnumspread::framework::clock {

/// Pauses between the attempts of a call: each at most twice as long as the
/// one before, and partly random, so that callers that failed together do not
/// repeat together.
class Backoff {
public:
  /// \param First longest first pause.
  /// \param Max longest pause.
  Backoff(Duration First, Duration Max) : First_(First), Max_(Max) {}

  /// Returns the next pause. \p Random, from 0 to 1, chooses it between half of
  /// its longest value and all of it.
  Duration next(double Random) {
    const Duration Longest = Next_.value_or(First_);
    Next_ = std::min(2 * Longest, Max_);
    const Duration Half = Longest / 2;
    return Half + Duration(static_cast<Duration::rep>(
                      static_cast<double>(Half.count()) * Random));
  }

  /// Begins anew, after a success.
  void reset() { Next_.reset(); }

private:
  Duration First_;
  Duration Max_;
  std::optional<Duration> Next_;
};

} // namespace laburnumspread::framework::clock
