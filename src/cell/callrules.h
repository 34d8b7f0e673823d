#pragma once

#include "cell/decidedcalls.h"
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
/// an ended job for a cancel. An earlier attempt may have brought that about,
/// so no attempt is rejected any more.
bool isInEffect(const peers::JobCall &Call, const jobs::CellTable &Table);

/// Returns the reply to a call that an earlier attempt has decided, or may
/// have; nullopt for any other, and for one that is in effect and accepted,
/// which is answered once it is stored.
std::optional<peers::JobReply> earlierReply(const peers::JobCall &Call,
                                            const DecidedCalls &Decided,
                                            const jobs::CellTable &Table);

/// Records the rejection of a call, for its later attempts, and completes the
/// reply. \p By is the token of the leader.
peers::JobReply recordRejection(const peers::JobCall &Call,
                                peers::JobReply Rejection,
                                jobs::FencingToken By, DecidedCalls &Decided,
                                framework::clock::TimePoint Now);

/// Records that a call was accepted.
void recordAcceptance(const peers::JobCall &Call, DecidedCalls &Decided,
                      framework::clock::TimePoint Now);

} // namespace laburnumspread::cell
