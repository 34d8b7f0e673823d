#pragma once

#include "framework/clock/steadyclock.h"

#include <algorithm>
#include <functional>

namespace laburnumspread::store {

/// Maximum time to wait for the next part of a body before the read fails.
inline constexpr std::chrono::milliseconds BodyIdleTimeout{900};
/// Limit on the whole body, counted from the head deadline. Enough for a 1 MB
/// page, encoded as base64, at 1.2 Mbit/s.
inline constexpr std::chrono::seconds BodyTimeout{10};

/// Deadlines for reading the body of an answer that grows with the stored
/// state. Reading continues while data arrives: with one short deadline for the
/// whole answer, reads over a slow link would never complete, since each retry
/// starts at the first byte.
inline std::function<framework::clock::TimePoint()>
bodyDeadlines(framework::clock::TimePoint HeadDeadline) {
  const framework::clock::TimePoint Last = HeadDeadline + BodyTimeout;
  return [Last] {
    return std::min(framework::clock::wallDeadline(BodyIdleTimeout), Last);
  };
}

} // namespace laburnumspread::store
