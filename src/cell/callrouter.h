#pragma once

#include "cell/answeredcalls.h"
#include "cell/callrelays.h"
#include "cell/callreplies.h"
#include "cell/callwindow.h"
#include "framework/clock/steadyclock.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "journal/leader.h"
#include "peers/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace laburnumspread::cell {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// Outcome of a call, and what it met on its way.
struct CallResult {
  peers::JobReply Reply_;
  /// The number by which the leader's log names the call.
  std::uint64_t Sequence_ = 0;
  /// The leader that was asked last; its token is 0 if none was.
  journal::Leader Asked_;
  /// Number of attempts that were sent.
  std::uint32_t Attempts_ = 0;
};

/// Sends callers' requests to the leader of the cell, in this process or
/// another, and returns its replies. Messages may be lost, so a call is resent
/// until a reply arrives; all calls are idempotent.
class CallRouter {
public:
  using ReplyFn = std::function<void(const peers::JobReply &)>;

  /// Access to the leader, locally and through the peers.
  struct Routes {
    /// Serves the call in this process if it leads.
    std::function<void(const peers::JobCall &, const ReplyFn &)> HandleLocally_;
    std::function<bool()> IsLeader_;
    std::function<journal::Leader()> Leader_;
    /// Whether the given leader is this process.
    std::function<bool(const journal::Leader &)> IsThisProcess_;
    std::function<void(const journal::Leader &, const peers::JobCall &,
                       const CallAttempt &)>
        Send_;
  };

  /// Least time after which an unanswered call is resent. A reply between
  /// availability zones and a commit take a few milliseconds each.
  static constexpr Duration ResendInterval = std::chrono::milliseconds(120);
  /// From the third attempt on, the interval doubles up to this. A leader that
  /// is short of processor time gets each call several times otherwise, and has
  /// the less time for any.
  static constexpr Duration MaxResendInterval = std::chrono::milliseconds(480);
  /// Longest interval, if calls wait that long before the leader reads them.
  static constexpr Duration MaxTransitInterval = std::chrono::milliseconds(960);
  /// Time in which a successor is found in a large cell: it is elected, and
  /// reads the journal. A call that is refused meanwhile returns a second later
  /// at the earliest.
  static constexpr Duration TakeoverTime = std::chrono::milliseconds(600);

  explicit CallRouter(Routes P) : Routes_(std::move(P)) {}

  /// Waits for the reply of the leader. A rejection is returned as soon as no
  /// attempt can be accepted any more. The status is Refused if no leader has
  /// processed the call by \p LeaderDeadline, while a successor is being found
  /// by TakeoverTime after the former leader left, and always by \p Deadline.
  /// If one may have accepted it and no reply arrived, it is Unknown then. A
  /// call that the leader has no time for (CallWindow) is Refused unsent.
  CallResult call(peers::JobCall Call, TimePoint LeaderDeadline,
                  TimePoint Deadline);

  /// Delivers a reply from the leader, or from a relay, to the waiting call.
  void handleReply(const peers::JobReply &Reply);
  /// Sends the calls again that wait for a reply: there is a new leader.
  void resendAll();
  const CallWindow &window() const { return Window_; }

  /// Number of calls that were answered as rejected, although a leader has
  /// accepted them.
  std::uint64_t contradictedCalls() const { return Answered_.contradicted(); }

private:
  /// A call that waits for its answer.
  struct PendingCall {
    explicit PendingCall(peers::JobCall Call)
        : Call_(std::move(Call)), Replies_(Call_.Kind_) {}

    peers::JobCall Call_;
    CallReplies Replies_;
    /// The leader that was asked last.
    journal::Leader Asked_;
    framework::fibers::WaiterPtr Wake_;
    /// Whether the recipient of the latest attempt does not lead.
    bool LeaderDenied_ = false;
    /// Number of attempts whose recipient does not lead.
    std::uint32_t Denials_ = 0;
    /// Whether a relay has forwarded the call.
    bool Forwarded_ = false;
    /// Whether the call is counted as in flight.
    bool Entered_ = false;
    /// Whether any attempt was replied to.
    bool Replied_ = false;
  };

  Duration resendInterval(std::uint32_t Attempts) const;
  /// Whether the leader is known and another process.
  bool leaderIsRemote() const;
  /// Sends the call until it is answered or \p Deadline has passed.
  void sendUntilAnswered(PendingCall &Own, TimePoint LeaderDeadline,
                         TimePoint Deadline);
  /// Waits until the call may be sent to a remote leader. Returns false if that
  /// takes too long.
  bool enterWindow(PendingCall &Own, TimePoint Deadline);
  void leaveWindow(const PendingCall &Own);
  /// Sends the call to the leader, if one is known.
  void sendAttempt(PendingCall &Own);
  void waitForReply(PendingCall &Own, TimePoint Deadline) const;
  /// Waits before the next attempt, unless a reply has named a later leader or
  /// one is found meanwhile.
  void pauseAfterDenial(PendingCall &Own) const;
  /// Evaluates a reply to one of the attempts.
  void acceptReply(PendingCall &Own, const peers::JobReply &Reply);
  /// Records that no entry is known that leads.
  void recordLeaderMissing();
  /// Whether a call that no leader has processed is not refused yet.
  bool mayFindLeader(TimePoint LeaderDeadline) const;

  Routes Routes_;
  /// Since when no entry is known that leads; nullopt while one replies.
  std::optional<TimePoint> LeaderMissingSince_;
  std::uint64_t Next_ = 1;
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> Pending_;
  CallWindow Window_;
  AnsweredCalls Answered_;
};

} // namespace laburnumspread::cell
