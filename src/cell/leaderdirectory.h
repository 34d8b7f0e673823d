#pragma once

#include "journal/leader.h"
#include "peers/messages.h"

namespace laburnumspread::cell {

/// The latest leader that this entry has learned of, from the store and from
/// peers.
///
/// An entry that the store turns away learns of no new leader there, and would
/// go on calling one that has been replaced while all others are served.
/// Fencing tokens are store revisions, so whatever the source and the order of
/// arrival, the higher token is the later leader.
class LeaderDirectory {
public:
  /// Records a leader. One with a lower token than the latest is ignored.
  /// Returns whether it is a new leader, or a new token of the latest.
  bool record(const journal::Leader &Leader);
  /// Records that the store had no leader at revision \p AsOf. Leaders with
  /// higher tokens have come after it.
  void recordNone(fleet::Revision AsOf);

  /// The latest leader; its token is 0 if there is none.
  const journal::Leader &latest() const { return Latest_; }

private:
  journal::Leader Latest_;
  /// Leaders with tokens up to this are gone.
  jobs::FencingToken GoneThrough_;
};

/// Converts between the store's record of a leader and the peers' message.
peers::LeaderNotice toNotice(const journal::Leader &Leader);
journal::Leader fromNotice(const peers::LeaderNotice &Notice);

} // namespace laburnumspread::cell
