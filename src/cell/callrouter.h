#pragma once

#include "framework/clock/steadyclock.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "journal/leader.h"
#include "peers/messages.h"

#include <functional>
#include <map>
#include <memory>

namespace laburnumspread::cell {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// What may have become of a call that was sent once or more.
class CallAttempts {
public:
  void sent() { ++Unrejected_; }
  /// One of the sent calls was turned down unread.
  void rejected() {
    if (Unrejected_ > 0)
      --Unrejected_;
  }
  /// Whether some holder may have taken the call, or may yet.
  bool mayHaveBeenAccepted() const { return Unrejected_ > 0; }

private:
  std::uint32_t Unrejected_ = 0;
};

/// Brings callers' requests to the holder of the cell, wherever it is, and its
/// replies back. Letters may get lost, so a call is sent again until a reply
/// comes; all calls are idempotent.
class CallRouter {
public:
  using ReplyFn = std::function<void(const peers::JobReply &)>;

  /// How calls leave and where the holder is.
  struct Routes {
    /// Serves the call in this process if it leads.
    std::function<void(const peers::JobCall &, const ReplyFn &)> HandleLocally_;
    std::function<bool()> IsLeader_;
    std::function<journal::Leader()> Leader_;
    /// Whether a holder is this very process.
    std::function<bool(const journal::Leader &)> IsThisProcess_;
    std::function<void(const journal::Leader &, const peers::JobCall &)> Send_;
  };

  /// A reply takes some milliseconds between availability zones, and a commit
  /// as many; a letter that was dropped is sent again after this.
  static constexpr Duration ResendInterval = std::chrono::milliseconds(120);

  explicit CallRouter(Routes P) : Routes_(std::move(P)) {}

  /// Waits for the outcome. Without a holder by \p LeaderDeadline, or at \p
  /// Deadline, the verdict is Refused if surely none has taken the call; else
  /// it is Unknown at \p Deadline.
  peers::JobReply call(peers::JobCall Call, TimePoint LeaderDeadline,
                       TimePoint Deadline);

  /// Takes a reply that has come from the holder.
  void handleReply(const peers::JobReply &Reply);

private:
  struct Pending {
    framework::fibers::WaiterPtr Wake_;
    std::optional<peers::JobReply> Reply_;
  };

  Routes Routes_;
  std::uint64_t Next_ = 1;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Pending_;
};

} // namespace laburnumspread::cell
