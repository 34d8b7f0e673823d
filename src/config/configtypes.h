#pragma once

#include "fleet/resources.h"

#include <string>

namespace laburnumspread::config {

using fleet::Kind;
using fleet::Revision;

enum class ChangeType { Added, Modified, Deleted };
std::string_view nameOf(ChangeType Type);

/// One object's change, as watchers see it.
struct Change {
  ChangeType Type_ = ChangeType::Modified;
  Kind Kind_ = Kind::Pools;
  std::string Name_;
  Revision Revision_;
  /// The object as JSON text; as it last was if it has been deleted.
  std::string Object_;
};

} // namespace laburnumspread::config
