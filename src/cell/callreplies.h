#pragma once

#include "cell/callattempts.h"
#include "peers/messages.h"

#include <optional>

namespace laburnumspread::cell {

/// Evaluates the replies to the attempts of one call, and finds its answer.
class CallReplies {
public:
  explicit CallReplies(peers::JobCallKind Kind) : Kind_(Kind) {}

  /// A further attempt is sent, to the leader with token \p To. Returns the
  /// number of the attempt, from 1.
  std::uint32_t sent(jobs::FencingToken To) { return Attempts_.sent(To); }
  /// Evaluates a reply to one of the attempts. Once there is an answer, later
  /// replies do not change it.
  void add(const peers::JobReply &Reply);

  /// No further attempt is sent.
  void notSent(peers::RefusalReason Why) { DeniedBecause_ = Why; }

  const CallAttempts &attempts() const { return Attempts_; }
  /// The answer to the caller; nullopt while an attempt may yet be accepted.
  const std::optional<peers::JobReply> &answer() const { return Answer_; }
  /// Whether waiting for replies may still change the answer: an attempt may
  /// have been accepted, or, for a call that changes nothing, no entry has said
  /// that it does not answer it.
  bool mayBeDecided() const;
  /// The answer to a caller that waits no longer: Unknown while mayBeDecided().
  peers::JobReply answerAtDeadline() const;

private:
  peers::JobCallKind Kind_;
  CallAttempts Attempts_;
  /// The latest rejection. It is the answer once no attempt can be accepted.
  std::optional<peers::JobReply> Rejection_;
  /// Why the latest entry did not process an attempt; nullopt if all did.
  std::optional<peers::RefusalReason> DeniedBecause_;
  std::optional<peers::JobReply> Answer_;
};

} // namespace laburnumspread::cell
