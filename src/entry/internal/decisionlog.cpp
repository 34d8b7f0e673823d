#include "entry/decisionlog.h"

#include "framework/log/log.h"

namespace laburnumspread::entry {

std::string_view nameOf(DecisionKind Kind) {
  switch (Kind) {
  case DecisionKind::Refusal:
    return "refusal";
  case DecisionKind::Ejection:
    return "ejection";
  case DecisionKind::Return:
    return "return";
  case DecisionKind::Drain:
    return "drain";
  case DecisionKind::Reboot:
    return "reboot";
  case DecisionKind::Move:
    return "move";
  case DecisionKind::Grant:
    return "grant";
  case DecisionKind::Withdrawal:
    return "withdrawal";
  case DecisionKind::Preemption:
    return "preemption";
  case DecisionKind::Wave:
    return "wave";
  case DecisionKind::Membership:
    return "membership";
  case DecisionKind::Store:
    return "store";
  }
  return "refusal";
}

void DecisionLog::add(DecisionKind Kind, std::string_view Subject,
                      std::string_view Reason, std::string_view Detail) {
  Decisions_.push_back({Next_++, framework::clock::SystemClock().now(), Kind,
                        std::string(Subject), std::string(Reason),
                        std::string(Detail)});
  if (Decisions_.size() > MaxDecisions)
    Decisions_.pop_front();
  // A full pool causes thousands of refusals. Logging them at debug level keeps
  // the process log from becoming the bottleneck.
  const auto Severity = Kind == DecisionKind::Refusal
                            ? framework::log::Level::Debug
                            : framework::log::Level::Info;
  framework::log::Event(Severity, "decision")
      .field("kind", nameOf(Kind))
      .field("subject", Subject)
      .field("reason", Reason)
      .field("detail", Detail);
  if (Listener_)
    Listener_();
}

std::vector<Decision> DecisionLog::since(std::uint64_t Sequence) const {
  std::vector<Decision> Result;
  for (const Decision &Item : Decisions_)
    if (Item.Sequence_ > Sequence)
      Result.push_back(Item);
  return Result;
}

std::uint64_t DecisionLog::oldestSequence() const {
  return Decisions_.empty() ? Next_ : Decisions_.front().Sequence_;
}

} // namespace laburnumspread::entry
