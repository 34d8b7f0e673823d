#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

namespace laburnumspread::framework::settings {

/// Value of one settings field that takes the place of the file's own. With it
/// a deployment passes a field that is newer than the settings file it fills
/// in, which stays valid for every release.
struct FieldOverride {
  /// Names from the document to the field, joined by dots.
  std::string Path_;
  boost::json::value Value_;
};

using FieldOverrides = std::vector<FieldOverride>;

/// Parses "path=value". The value is JSON; text that is not valid JSON is taken
/// as a string. InvalidArgument if the path or one of its names is empty.
absl::StatusOr<FieldOverride> parseOverride(std::string_view Text);

/// Sets the fields in \p Document; an object on a path is created if it is
/// absent. InvalidArgument if a name on a path, but the last, is not an object.
absl::Status applyOverrides(const FieldOverrides &Overrides,
                            boost::json::value &Document);

} // namespace laburnumspread::framework::settings
