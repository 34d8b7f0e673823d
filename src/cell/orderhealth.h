#pragma once

#include "cell/celltypes.h"
#include "framework/clock/backoff.h"

namespace laburnumspread::cell {

/// Whether a worker executes starts, as far as its replies tell.
///
/// A worker at its limit of connections answers holds and resets orders. Its
/// runs end as lost, so it has the most room left, and without this the next
/// tasks would be planned there again.
class OrderHealth {
public:
  /// Consecutive orders without a reply after which the worker gets no new
  /// task. Single replies are lost often.
  static constexpr std::uint32_t MaxUnanswered = 3;
  /// Shortest pause after any further failure.
  static constexpr Duration MinPause = std::chrono::milliseconds(150);
  /// Longest pause before a worker is tried with one task, at first and after
  /// further failures.
  static constexpr Duration FirstPause = std::chrono::milliseconds(300);
  static constexpr Duration MaxPause = std::chrono::milliseconds(1500);

  /// Records the reply to a start. \p Random is from 0 to 1.
  void recordStart(OrderResult Result, TimePoint Now, double Random) {
    if (isUnanswered(Result))
      recordNoReply(Now, Random);
    else
      recordReply();
  }

  /// Records the reply to a stop. A reply tells nothing of starts: a worker may
  /// execute stops and let starts hang.
  void recordStop(OrderResult Result, TimePoint Now, double Random) {
    if (isUnanswered(Result))
      recordNoReply(Now, Random);
  }

  /// Whether the worker gets no new task at \p Now.
  bool avoided(TimePoint Now) const { return onTrial() && Now < NextTrialAt_; }

  /// Whether the worker gets one new task only, until it has replied.
  bool onTrial() const { return Unanswered_ >= MaxUnanswered; }

  /// Records that a task was planned on the worker.
  void recordPlanned(TimePoint Now) {
    if (onTrial())
      NextTrialAt_ = std::max(NextTrialAt_, Now + FirstPause);
  }

private:
  void recordNoReply(TimePoint Now, double Random) {
    if (++Unanswered_ < MaxUnanswered)
      return;
    if (Now >= NextTrialAt_)
      NextTrialAt_ = Now + Pause_.next(Random);
    NextTrialAt_ = std::max(NextTrialAt_, Now + MinPause);
  }

  void recordReply() {
    Unanswered_ = 0;
    Pause_.reset();
    NextTrialAt_ = {};
  }

  std::uint32_t Unanswered_ = 0;
  TimePoint NextTrialAt_{};
  framework::clock::Backoff Pause_{FirstPause, MaxPause};
};

} // namespace laburnumspread::cell
