#pragma once

#include "cell/rejectedcalls.h"
#include "jobs/celltable.h"

namespace laburnumspread::cell {

/// The tokens of a term, from the one with which it began to the latest.
struct TermTokens {
  jobs::FencingToken First_;
  jobs::FencingToken Latest_;
};

/// Whether a change was sent to a leader of another term than this. The entry
/// that sent it takes a rejection by the leader of a term as the answer to all
/// that it sent to that term and earlier ones; a late message must not be
/// accepted by a later term then.
bool isForAnotherTerm(const peers::JobCall &Call, const TermTokens &Own);

/// Whether the tables hold what the call asks for: the job of a submission, or
/// a cancelled job. An earlier attempt may have brought that about, so no
/// attempt is rejected any more.
bool isMade(const peers::JobCall &Call, const jobs::CellTable &Table);

/// Returns the reply to a call of which an earlier attempt was rejected, or may
/// have been; nullopt for any other.
std::optional<peers::JobReply> earlierRejection(const peers::JobCall &Call,
                                                const RejectedCalls &Rejected,
                                                const jobs::CellTable &Table);

/// Completes the reply that rejects a call, and remembers it for later
/// attempts of a change. \p By is the token of the leader.
peers::JobReply rejectCall(const peers::JobCall &Call,
                           peers::JobReply Rejection, jobs::FencingToken By,
                           RejectedCalls &Rejected,
                           framework::clock::TimePoint Now);

} // namespace laburnumspread::cell
