#pragma once

#include "framework/settings/jsonreader.h"

#include <string>

namespace laburnumspread::framework::settings {

/// One line for each fault: "file:line: field: reason".
std::string formatErrors(const FieldErrors &Errors, std::string_view Text,
                         const std::string &File);

/// Reads settings from \p Text with \p ReadFields, which is given a reader of
/// the whole document. All faults are in the error.
template <typename Settings, typename ReadFieldsFn>
absl::StatusOr<Settings> readSettingsText(std::string_view Text,
                                          const std::string &File,
                                          ReadFieldsFn &&ReadFields) {
  const auto Document = parseJson(Text);
  if (!Document.ok())
    return absl::InvalidArgumentError(File + ": " +
                                      std::string(Document.status().message()));
  FieldErrors Errors;
  JsonReader Reader(*Document, "", Errors);
  Settings Result = ReadFields(Reader);
  if (!Errors.empty())
    return absl::InvalidArgumentError(formatErrors(Errors, Text, File));
  return Result;
}

/// The whole text of a settings file.
absl::StatusOr<std::string> readSettingsFile(const std::string &File);

/// A Z85 key of a CURVE pair.
std::string readCurveKey(JsonReader &Reader, std::string_view Field);

} // namespace laburnumspread::framework::settings
