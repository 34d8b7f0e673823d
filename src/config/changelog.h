#pragma once

#include "config/configtypes.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace laburnumspread::config {

/// The last changes, for watchers. Bounded; a watcher that asks for more than
/// is kept is told to list again.
class ChangeLog {
public:
  static constexpr std::size_t Kept = 1024;

  void add(std::vector<Change> Changes, Revision Through);

  /// Changes of a kind after \p Since, in order. Empty optional when some of
  /// them are no longer kept.
  std::optional<std::vector<Change>> since(Kind Of, Revision Since) const;

  /// Everything up to this revision has been added.
  Revision through() const { return Through_; }

  /// Everything after this revision is kept.
  Revision compactedThrough() const { return CompactedThrough_; }

private:
  std::deque<Change> Changes_;
  Revision Through_;
  Revision CompactedThrough_;
  bool Started_ = false;
};

} // namespace laburnumspread::config
