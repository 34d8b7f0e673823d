#pragma once

#include <string>
#include <vector>

namespace laburnumspread::framework::settings {

/// One fault of a JSON document: where it stands and what is wrong.
struct FieldError {
  std::string Path_;
  std::string Reason_;
};

using FieldErrors = std::vector<FieldError>;

/// All faults on one line, "path: reason; path: reason".
std::string describe(const FieldErrors &Errors);

} // namespace laburnumspread::framework::settings
