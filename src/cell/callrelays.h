#pragma once

#include "cell/candidacy.h"
#include "framework/clock/clock.h"

#include <map>
#include <optional>
#include <vector>

namespace laburnumspread::cell {

/// One attempt to send a call to the leader.
struct CallAttempt {
  /// Counts from 1.
  std::uint32_t Number_ = 1;
  /// Whether a relay has confirmed that it forwarded an earlier attempt.
  bool Forwarded_ = false;
};

/// Chooses the entries through which calls go to the leader.
///
/// Setting up a connection between entries takes each about a millisecond of
/// processor time for the key exchange. If every entry of a large fleet called
/// the leader directly, a new leader would do hundreds of exchanges in its
/// first second, renew its lease too late, and its successor would fare the
/// same. Therefore a fixed part of the entries, the strongest, forward the
/// calls of the others. Their number is the square root of that of all, so that
/// no entry has more than about that many connections, and those between the
/// entries and their relays outlast a leader.
///
/// A relay that does not confirm is passed over for a while. Only if none has
/// confirmed does a call go to the leader directly.
class CallRelays {
public:
  using Duration = framework::clock::Duration;
  using TimePoint = framework::clock::TimePoint;

  /// Up to this number of entries, all call the leader directly.
  static constexpr std::size_t MaxDirectEntries = 64;
  /// Relays that are tried before a call goes to the leader directly, and
  /// attempts through each. The first message to an entry only sets up the
  /// connection.
  static constexpr std::uint32_t MaxRelays = 2;
  static constexpr std::uint32_t AttemptsPerRelay = 2;
  /// Time within which a relay confirms that it forwarded a call.
  static constexpr Duration MaxConfirmationTime =
      std::chrono::milliseconds(240);
  /// Time for which a relay that did not is passed over.
  static constexpr Duration SilencePenalty = std::chrono::seconds(5);

  explicit CallRelays(fleet::EntryName Self) : Self_(std::move(Self)) {}

  /// Records what an entry has published about itself. A later incarnation
  /// replaces an earlier one.
  void recordEntry(const Candidate &Entry);
  const std::map<fleet::EntryName, Candidate> &entries() const {
    return Entries_;
  }

  /// Returns the entry to send the attempt to, or nullopt if it goes to the
  /// leader directly.
  std::optional<Candidate> choose(const CallAttempt &Attempt,
                                  const fleet::EntryName &Leader,
                                  TimePoint Now);

  /// Returns the relay that this entry uses first, to set up the connection
  /// before the first call. Nullopt if it calls the leader itself.
  std::optional<Candidate> preferred();

  /// Records that a relay has confirmed that it forwarded a call.
  void recordConfirmation(const fleet::EntryName &Relay, TimePoint Now);

private:
  struct Relay {
    fleet::EntryName Name_;
    /// When the oldest call was sent that it has not confirmed.
    std::optional<TimePoint> UnconfirmedSince_;
    TimePoint PassedOverUntil_{};
  };

  /// Chooses the relays of the fleet, which are the same for all entries, and
  /// puts them in the order of this entry, unless that has been done. Returns
  /// whether this entry uses them.
  bool usesRelays();
  void chooseRelays();
  Relay *find(const fleet::EntryName &Name);

  fleet::EntryName Self_;
  std::map<fleet::EntryName, Candidate> Entries_;
  std::vector<Relay> Relays_;
  bool RelaysChosen_ = false;
};

} // namespace laburnumspread::cell
