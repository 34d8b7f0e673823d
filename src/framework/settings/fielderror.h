#pragma once

#include <string>
#include <vector>

namespace laburnumspread::framework::settings {

/// Validation error of a JSON document: path of the field and what is wrong.
struct FieldError {
  std::string Path_;
  std::string Reason_;
};

using FieldErrors = std::vector<FieldError>;

/// Formats all errors on one line, as "path: reason; path: reason".
std::string describe(const FieldErrors &Errors);

} // namespace laburnumspread::framework::settings
