#pragma once

#include "config/configtypes.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace laburnumspread::config {

/// Bounded log of the most recent configuration changes, for watchers. A
/// watcher that asks for evicted changes must list the objects again.
class ChangeLog {
public:
  /// Maximum number of changes kept.
  static constexpr std::size_t MaxChanges = 1024;

  void add(std::vector<Change> Changes, Revision Through);

  /// Changes of a kind after \p Since, in order. Returns nullopt if some of
  /// them have been evicted.
  std::optional<std::vector<Change>> since(Kind Of, Revision Since) const;

  /// Revision up to which all changes have been added.
  Revision through() const { return Through_; }

  /// Revision after which all changes are still kept.
  Revision compactedThrough() const { return CompactedThrough_; }

private:
  std::deque<Change> Changes_;
  Revision Through_;
  Revision CompactedThrough_;
  bool Started_ = false;
};

} // namespace laburnumspread::config
