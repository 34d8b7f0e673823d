#pragma once

#include "framework/clock/clock.h"

#include <algorithm>
#include <cstddef>

namespace laburnumspread::framework::http {

/// How many connections a client may have open to one server.
///
/// A server that is at its own limit resets new connections and goes on
/// answering on the others. The calls have to share those then: each new
/// connection would cost a call whose outcome is unknown.
class ConnectionLimit {
public:
  /// After a reset, no connection is added for this long.
  static constexpr clock::Duration ResetPause = std::chrono::seconds(2);

  explicit ConnectionLimit(std::size_t Max) : Max_(Max) {}

  /// Number of connections that may be open at \p Now, on a steady clock.
  std::size_t at(clock::TimePoint Now) const {
    return Now < ReducedUntil_ ? Reduced_ : Max_;
  }

  /// Records that the server reset a new connection beside \p Others, which
  /// are open.
  void recordReset(std::size_t Others, clock::TimePoint Now) {
    Reduced_ = std::clamp<std::size_t>(Others, 1, Max_);
    ReducedUntil_ = Now + ResetPause;
  }

private:
  std::size_t Max_;
  std::size_t Reduced_ = 0;
  clock::TimePoint ReducedUntil_{};
};

} // namespace laburnumspread::framework::http
