#pragma once

#include "framework/settings/jsonreader.h"

#include <string>

namespace laburnumspread::framework::settings {

/// Formats each error on a line of its own, as "file:line: field: reason". The
/// line number is left out if the field does not occur in \p Text.
std::string formatErrors(const FieldErrors &Errors, std::string_view Text,
                         const std::string &File);

/// Parses settings from \p Text. \p ReadFields is called with a reader for the
/// whole document and returns the settings. Returns InvalidArgument with all
/// validation errors.
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

/// Returns the content of a settings file, or NotFound if it cannot be opened.
absl::StatusOr<std::string> readSettingsFile(const std::string &File);

/// Reads a required field with a Z85-encoded CURVE key. Records an error if it
/// does not have 40 characters.
std::string readCurveKey(JsonReader &Reader, std::string_view Field);

} // namespace laburnumspread::framework::settings
