#pragma once

#include "framework/clock/clock.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspread::entry {

using framework::clock::TimePoint;

enum class DecisionKind {
  Refusal,
  Ejection,
  Return,
  Drain,
  Reboot,
  Move,
  Grant,
  Withdrawal,
  Preemption,
  Wave,
  Membership,
  Store
};
std::string_view nameOf(DecisionKind Kind);

/// One automatic decision of the system, with its reason.
struct Decision {
  std::uint64_t Sequence_ = 0;
  TimePoint At_{};
  DecisionKind Kind_ = DecisionKind::Refusal;
  /// Name of the VM, team, key, wave or entry concerned.
  std::string Subject_;
  std::string Reason_;
  std::string Detail_;
};

/// Bounded log of this entry's most recent decisions, oldest first.
class DecisionLog {
public:
  static constexpr std::size_t MaxDecisions = 8192;

  void add(DecisionKind Kind, std::string_view Subject, std::string_view Reason,
           std::string_view Detail);

  /// Decisions after a sequence number. Those already evicted are missing; see
  /// oldestSequence().
  std::vector<Decision> since(std::uint64_t Sequence) const;
  std::uint64_t oldestSequence() const;
  std::uint64_t last() const { return Next_ - 1; }

  /// Sets the listener that is called after each addition.
  void onAdded(std::function<void()> Listener) {
    Listener_ = std::move(Listener);
  }

private:
  std::deque<Decision> Decisions_;
  std::uint64_t Next_ = 1;
  std::function<void()> Listener_;
};

} // namespace laburnumspread::entry
