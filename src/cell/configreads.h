#pragma once

#include "cell/celltypes.h"

#include <optional>

namespace laburnumspread::cell {

/// Why an entry needs the configuration beyond what its watch brings.
enum class ConfigNeed {
  None,
  /// A newer configuration than the one in force may exist.
  Newer,
  /// The entry leads, and the configuration is about to be no longer current.
  Confirmation,
};
/// Returns the name used in logs.
std::string_view nameOf(ConfigNeed Need);

/// Decides when the configuration is read beside the watch.
///
/// A watch can hang on a connection that has gone silent, or wait for a large
/// answer that the newest version would replace. A second read does not wait
/// for it. Each is given twice the time that the last one took, and further
/// ones twice the time of the one before, so that a thin link is not filled
/// with copies of a value that does not help.
///
/// Times are on the steady clock.
class ConfigReads {
public:
  /// Time that the watch has to bring a version that a peer has.
  static constexpr Duration Patience = std::chrono::milliseconds(300);
  /// Longest time between reads that are needed.
  static constexpr Duration MaxPause = std::chrono::seconds(5);
  /// Bytes of the configuration that are read without need, a second. A read
  /// finds what a watch has left out.
  static constexpr std::uint64_t IdleBytesPerSecond = 4096;
  static constexpr Duration LeastIdleInterval = std::chrono::seconds(10);

  /// Whether to begin a read now. Called again and again with the present need.
  bool due(ConfigNeed Need, TimePoint Now);
  /// Records a full read, of values of \p Bytes.
  void recordRead(Duration Took, std::uint64_t Bytes, TimePoint Now);
  /// Whether the watch has lasted so long that a full read is due.
  bool idleReadDue(TimePoint Now) const { return Now >= NextIdleReadAt_; }
  /// Returns the size of a watch's answer, in bytes, above which a full read
  /// transfers less.
  std::size_t maxWatchBytes() const;

private:
  /// A full read is preferred to an answer with more than this many versions.
  static constexpr std::uint64_t MaxVersionsPerAnswer = 2;
  static constexpr std::size_t LeastWatchBytes = 64 * 1024;

  /// Time for one read, or for the watch, to bring the configuration.
  Duration allowance() const;

  std::optional<TimePoint> NeededSince_;
  TimePoint NextReadAt_{};
  /// Reads begun since NeededSince_.
  std::uint32_t Begun_ = 0;
  TimePoint NextIdleReadAt_{};
  Duration LastReadTook_{};
  std::uint64_t LastReadBytes_ = 0;
};

/// Finds changes that a watch has left out: its answers were complete through a
/// revision, and a later read shows a write before it.
class WatchedRevisions {
public:
  /// Records an item that the watch or a read has brought.
  void recordItem(const store::KeyValue &Item);
  /// Records that the answers of the watch are complete through a revision.
  void recordThrough(fleet::Revision Through);
  /// Whether the watch should have brought the item and has not.
  bool wasMissed(const store::KeyValue &Item) const;
  /// Whether a read is older than what is known already.
  bool isOlder(fleet::Revision ReadAt) const { return ReadAt < Through_; }

private:
  std::map<std::string, fleet::Revision> Newest_;
  fleet::Revision Through_;
};

/// Leaves the newest write of each key.
std::vector<store::KeyValue> newestOfEach(std::vector<store::KeyValue> Items);

} // namespace laburnumspread::cell
