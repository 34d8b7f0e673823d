#pragma once

#include "jobs/jobtypes.h"

#include <cstdint>
#include <map>

namespace laburnumspread::cell {

/// The attempts to send one call, and which of them may yet be accepted.
///
/// A rejection counts for more than its own attempt: the leader gives each
/// attempt of a call that was meant for its term the same answer
/// (DecidedCalls), and no former leader can store a job once it leads. Only an
/// attempt that was meant for a later leader remains open.
class CallAttempts {
public:
  /// A further attempt is sent, to the leader with token \p To; 0 if it is not
  /// known. Returns the number of the attempt, from 1.
  std::uint32_t sent(jobs::FencingToken To);
  /// The recipient of the attempt has not processed it. Earlier releases do not
  /// tell the number of the attempt; \p Attempt is then 0, and the oldest one
  /// is taken.
  void notProcessed(std::uint32_t Attempt);
  /// The leader with token \p By has rejected the attempt. With a token of 0,
  /// from earlier releases, only this attempt is rejected.
  void rejected(std::uint32_t Attempt, jobs::FencingToken By);

  /// Number of attempts that were sent.
  std::uint32_t count() const { return Count_; }
  /// Whether a leader may have accepted the call, or may still do so.
  bool mayHaveBeenAccepted() const { return !Open_.empty(); }

private:
  std::uint32_t Count_ = 0;
  /// Tokens of the leaders that were asked, by the number of the attempt.
  std::map<std::uint32_t, jobs::FencingToken> Open_;
};

} // namespace laburnumspread::cell
