#pragma once

#include "cell/celltypes.h"

#include <memory>

namespace laburnumspread::cell {

/// The operator's configuration as one entry knows it, and how current that
/// knowledge is.
///
/// An entry that learns of changes late, because it is slow, cut off, or its
/// watch is silent, would go on serving removed queues and withdrawn keys.
/// Whoever answers therefore checks current() first: an answer that is given
/// while it holds leaves out only changes that need not be in force yet,
/// whatever delays the others.
///
/// All times are on the steady clock.
class ConfigInForce {
public:
  /// Part of the operator's bound that is left for clocks that run apart.
  static constexpr Duration ClockMargin = std::chrono::milliseconds(100);
  /// An entry that has heard nothing of the configuration for this long should
  /// get no new callers.
  static constexpr Duration MaxSilence = std::chrono::seconds(3);

  /// \p ApplyWithin is the operator's bound for a change to be in force; zero
  /// if there is none, and knowledge of any age is then current.
  explicit ConfigInForce(Duration ApplyWithin = CellBounds().ConfigDelay_)
      : ApplyWithin_(ApplyWithin) {}

  void setBound(Duration ApplyWithin) { ApplyWithin_ = ApplyWithin; }

  const CellConfig &config() const { return Config_; }
  ConfigVersion version() const { return Config_.Version_; }
  /// Whether any configuration has been received.
  bool known() const { return version() != ConfigVersion(); }

  /// Takes a configuration that is newer than the one in force; returns whether
  /// it is.
  bool replace(CellConfig Next);
  /// Records that the operator has written something that cannot be read. The
  /// configuration in force remains, but a newer one may exist.
  void recordUnreadable() { Unreadable_ = true; }
  /// Records that every version that was acknowledged before \p CompleteThrough
  /// has been received, as the store said in an answer that came at \p Now.
  void confirm(TimePoint CompleteThrough, TimePoint Now);
  /// Records a version that a peer has; older ones are ignored.
  void recordPeerVersion(ConfigVersion Version);

  /// The newest version that this entry or a peer has.
  ConfigVersion newestKnown() const {
    return std::max(NewestPeerVersion_, version());
  }
  /// Whether a newer configuration than the one in force may exist.
  bool outdated() const { return Unreadable_ || newestKnown() > version(); }
  /// Time for which a version may have been acknowledged without being known
  /// here.
  Duration age(TimePoint Now) const { return Now - CompleteThrough_; }
  /// Whether every change that must be in force at \p Now is known. Nothing is
  /// current before the first configuration.
  bool current(TimePoint Now) const;
  /// Whether the next confirmation is late enough to ask for another one.
  bool confirmationLate(TimePoint Now) const;
  /// Whether the store has said anything of the configuration within
  /// MaxSilence.
  bool heardOf(TimePoint Now) const { return Now - HeardAt_ < MaxSilence; }

private:
  Duration maxAge() const { return ApplyWithin_ - ClockMargin; }

  Duration ApplyWithin_;
  CellConfig Config_;
  bool Unreadable_ = false;
  ConfigVersion NewestPeerVersion_;
  TimePoint CompleteThrough_{};
  TimePoint HeardAt_{};
};

} // namespace laburnumspread::cell
