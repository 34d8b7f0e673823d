#pragma once

#include "peers/messages.h"

#include <map>

namespace laburnumspread::cell {

/// Remembers which calls were answered as rejected and compares them with the
/// replies that come later. A reply "accepted" means that the caller was told
/// something untrue.
class AnsweredCalls {
public:
  /// Bounds the memory; the oldest calls are forgotten first.
  static constexpr std::size_t MaxCalls = 1000;

  /// Records the answer to a call, if it says that a change was rejected.
  void record(const peers::JobCall &Call, const peers::JobReply &Answer);
  /// Logs and counts a reply that says that a rejected call was accepted.
  void checkLateReply(const peers::JobReply &Reply);
  /// Number of calls for which such a reply came.
  std::uint64_t contradicted() const { return Contradicted_; }

private:
  struct RejectedCall {
    std::string Job_;
    peers::JobCallStatus Status_ = peers::JobCallStatus::Refused;
  };

  /// By the number of the call.
  std::map<std::uint64_t, RejectedCall> Rejected_;
  std::uint64_t Contradicted_ = 0;
};

} // namespace laburnumspread::cell
