#pragma once

#include "framework/settings/fieldoverride.h"
#include "framework/settings/jsonreader.h"

#include <string>

namespace laburnumspread::framework::settings {

/// Formats each error on a line of its own, as "file:line: field: reason". The
/// line number is left out if the field does not occur in \p Text. A field that
/// is in \p Overrides is reported as one of the command line.
std::string formatErrors(const FieldErrors &Errors, std::string_view Text,
                         const std::string &File,
                         const FieldOverrides &Overrides);

/// Parses settings from \p Text, with \p Overrides in place of its own fields.
/// \p ReadFields is called with a reader for the whole document and returns the
/// settings. Returns InvalidArgument with all validation errors.
template <typename Settings, typename ReadFieldsFn>
absl::StatusOr<Settings>
readSettingsText(std::string_view Text, const std::string &File,
                 const FieldOverrides &Overrides, ReadFieldsFn &&ReadFields) {
  auto Document = parseJson(Text);
  if (!Document.ok())
    return absl::InvalidArgumentError(File + ": " +
                                      std::string(Document.status().message()));
  if (absl::Status Applied = applyOverrides(Overrides, *Document);
      !Applied.ok())
    return Applied;
  FieldErrors Errors;
  JsonReader Reader(*Document, "", Errors);
  Settings Result = ReadFields(Reader);
  if (!Errors.empty())
    return absl::InvalidArgumentError(
        formatErrors(Errors, Text, File, Overrides));
  return Result;
}

/// Returns the content of a settings file, or NotFound if it cannot be opened.
absl::StatusOr<std::string> readSettingsFile(const std::string &File);

/// Reads a required field with a Z85-encoded CURVE key. Records an error if it
/// does not have 40 characters, or one that is no digit of Z85.
std::string readCurveKey(JsonReader &Reader, std::string_view Field);

} // namespace laburnumspread::framework::settings
