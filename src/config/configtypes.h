#pragma once

#include "fleet/resources.h"

#include <string>

namespace laburnumspread::config {

using fleet::Kind;
using fleet::Revision;

enum class ChangeType { Added, Modified, Deleted };
std::string_view nameOf(ChangeType Type);

/// Change of one object, as reported to watchers.
struct Change {
  ChangeType Type_ = ChangeType::Modified;
  Kind Kind_ = Kind::Pools;
  std::string Name_;
  Revision Revision_;
  /// The object as JSON text; for a deletion, its last state.
  std::string Object_;
};

} // namespace laburnumspread::config
