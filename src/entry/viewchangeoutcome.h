#pragma once

#include "membership/viewchanges.h"
#include "store/kvstore.h"

namespace laburnumspread::entry {

/// Returns the outcome of a change of the view, from the store's answer to the
/// write and the view that was read afterwards. Returns Aborted if the view was
/// changed concurrently, Unavailable if nothing was written, and Unknown if the
/// store did not answer and the view that was read is another one.
absl::Status
viewChangeOutcome(const absl::StatusOr<store::TransactionResult> &Answer,
                  const membership::View &Wanted, const membership::View &Seen);

} // namespace laburnumspread::entry
