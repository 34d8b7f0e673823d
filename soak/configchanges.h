#pragma once

#include "platform/standin/testrequests.h"
#include "soak/random.h"

#include <deque>
#include <optional>

namespace laburnumspread::soak {

using framework::clock::TimePoint;

/// A queue or an API key that the operator has added, and may have removed. The
/// times, on the steady clock, are those at which the store acknowledged the
/// change.
struct DeclaredItem {
  std::string Name_;
  /// nullopt if it was never declared.
  std::optional<TimePoint> AddedAt_;
  std::optional<TimePoint> RemovedAt_;

  bool declared() const { return AddedAt_ && !RemovedAt_; }
};

/// The operator: adds and removes queues and API keys in the store, and knows
/// when the store acknowledged each change. The queue and the key of the
/// callers' jobs always exist.
class ConfigChanges {
public:
  /// \p Padding is the number of queues that exist all the time and that nobody
  /// uses; they make the configuration large.
  ConfigChanges(platform::standin::CellPlatform &Platform, std::size_t Padding,
                std::uint64_t Seed);

  /// Adds a queue or a key, or removes one that was added before.
  void change();

  /// References to items remain valid.
  const std::deque<DeclaredItem> &queues() const { return Queues_; }
  const std::deque<DeclaredItem> &keys() const { return Keys_; }
  std::size_t count() const { return Count_; }

private:
  void changeOne(std::deque<DeclaredItem> &Items, const std::string &Prefix);
  /// Writes the configuration in full. Versions rise in uneven steps.
  void write();

  platform::standin::CellPlatform &Platform_;
  std::size_t Padding_;
  Random Random_;
  std::uint64_t Version_ = 0;
  std::size_t Count_ = 0;
  std::deque<DeclaredItem> Queues_;
  std::deque<DeclaredItem> Keys_;
};

} // namespace laburnumspread::soak
