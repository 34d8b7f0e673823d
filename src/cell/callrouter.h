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
class CallFate {
public:
  void sent() { ++Open_; }
  /// One of the sent calls was turned down unread.
  void turnedDown() {
    if (Open_ > 0)
      --Open_;
  }
  /// Whether some holder may have taken the call, or may yet.
  bool mayBeTaken() const { return Open_ > 0; }

private:
  std::uint32_t Open_ = 0;
};

/// Brings callers' requests to the holder of the cell, wherever it is, and its
/// replies back. Letters may get lost, so a call is sent again until a reply
/// comes; all calls are idempotent.
class CallRouter {
public:
  using ReplyFn = std::function<void(const peers::JobReply &)>;

  /// How calls leave and where the holder is.
  struct Paths {
    /// Serves the call in this process if it leads.
    std::function<void(const peers::JobCall &, const ReplyFn &)> Local_;
    std::function<bool()> LeadsHere_;
    std::function<journal::Leader()> Holder_;
    /// Whether a holder is this very process.
    std::function<bool(const journal::Leader &)> IsHere_;
    std::function<void(const journal::Leader &, const peers::JobCall &)> Send_;
  };

  /// A reply takes some milliseconds between availability zones, and a commit
  /// as many; a letter that was dropped is sent again after this.
  static constexpr Duration ResendEvery = std::chrono::milliseconds(120);

  explicit CallRouter(Paths P) : Paths_(std::move(P)) {}

  /// Waits for the outcome. Without a holder by \p HolderBy, or at \p Deadline,
  /// the verdict is Refused if surely none has taken the call; else it is
  /// Unknown at \p Deadline.
  peers::JobReply call(peers::JobCall Call, TimePoint HolderBy,
                       TimePoint Deadline);

  /// Takes a reply that has come from the holder.
  void take(const peers::JobReply &Reply);

private:
  struct Pending {
    framework::fibers::WaiterPtr Wake_;
    std::optional<peers::JobReply> Reply_;
  };

  Paths Paths_;
  std::uint64_t Next_ = 1;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Pending_;
};

} // namespace laburnumspread::cell
