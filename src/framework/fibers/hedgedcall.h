#pragma once

#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"

#include <deque>
#include <memory>
#include <optional>

namespace laburnumspread::framework::fibers {

/// Copies of one call that may be repeated without harm. Each is made by a
/// fiber of its own, so that the answer to an earlier one still counts after a
/// later one has left.
template <typename Answer> class HedgedCall {
public:
  /// Makes the call once more. \p Call is kept until it has returned, which may
  /// be after this object's end.
  template <typename Call> void send(Call &&Make) {
    ++State_->Open_;
    spawn([State = State_, Make = std::forward<Call>(Make)] {
      State->Answers_.push_back(Make());
      --State->Open_;
      if (State->Awaited_)
        State->Awaited_->signal();
    });
  }

  /// The next answer to any of the copies; none when it has not come by \p
  /// Deadline, or when no copy is on its way.
  std::optional<Answer> next(clock::TimePoint Deadline) {
    if (State_->Answers_.empty() && State_->Open_ > 0) {
      State_->Awaited_ = std::make_shared<Waiter>();
      State_->Awaited_->waitUntil(Deadline);
      State_->Awaited_ = nullptr;
    }
    if (State_->Answers_.empty())
      return std::nullopt;
    std::optional<Answer> Result = std::move(State_->Answers_.front());
    State_->Answers_.pop_front();
    return Result;
  }

  /// Copies on their way.
  int open() const { return State_->Open_; }

private:
  struct State {
    std::deque<Answer> Answers_;
    int Open_ = 0;
    WaiterPtr Awaited_;
  };

  std::shared_ptr<State> State_ = std::make_shared<State>();
};

} // namespace laburnumspread::framework::fibers
