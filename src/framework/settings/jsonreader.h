#pragma once

#include "framework/settings/fielderror.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

namespace laburnumspread::framework::settings {

/// Parses JSON with comments and trailing commas. Returns InvalidArgument with
/// the line number for malformed JSON or nesting above 32 levels.
absl::StatusOr<boost::json::value> parseJson(std::string_view Text);

/// Line number (from 1) of the first key in \p Text that equals the last
/// component of \p Path, or 0 if there is none.
int lineOfField(std::string_view Text, std::string_view Path);

/// Inclusive range of an integer field.
struct Range {
  std::int64_t Low_ = 0;
  std::int64_t High_ = std::numeric_limits<std::int64_t>::max();
};

/// Reads the fields of a JSON object by name and type. Collects all validation
/// errors with their paths instead of stopping at the first. finish() also
/// reports fields that were never read, so that a misspelt name is not
/// silently ignored.
class JsonReader {
public:
  JsonReader(const boost::json::value &Value, std::string Path,
             FieldErrors &Errors);

  bool has(std::string_view Name) const;
  const std::string &path() const { return Path_; }

  /// These return the field's value. On an error they record it and return the
  /// default; a required field has the empty string or the lower end of its
  /// range as default. A required string must not be empty. \p Low and \p High
  /// are inclusive.
  std::string requiredString(std::string_view Name);
  std::string optionalString(std::string_view Name, std::string_view Default);
  std::int64_t requiredInt(std::string_view Name, Range Allowed);
  std::int64_t optionalInt(std::string_view Name, std::int64_t Default,
                           Range Allowed);
  double optionalNumber(std::string_view Name, double Default, double Low,
                        double High);
  bool optionalBool(std::string_view Name, bool Default);

  /// Reader for the object \p Name. If the field is absent, the reader is for
  /// an empty object, and an error is recorded only if it is \p Required.
  JsonReader child(std::string_view Name, bool Required);

  /// Calls \p Visit with a reader for each object of the array \p Name, then
  /// that reader's finish(). An absent array counts as empty.
  template <typename Visitor>
  void eachObject(std::string_view Name, Visitor &&Visit) {
    const boost::json::array *Items = arrayField(Name);
    if (!Items)
      return;
    for (std::size_t I = 0; I < Items->size(); ++I) {
      JsonReader Item((*Items)[I], elementPath(Name, I), Errors_);
      Visit(Item);
      Item.finish();
    }
  }

  /// The array \p Name of strings; empty if it is absent.
  std::vector<std::string> stringList(std::string_view Name);

  /// Accepts field \p Name without reading it.
  void markKnown(std::string_view Name) { Known_.insert(std::string(Name)); }

  /// Records an error for field \p Name.
  void addError(std::string_view Name, std::string_view Reason);

  /// Records an error for each field that was neither read nor marked as known.
  void finish();

private:
  const boost::json::value *find(std::string_view Name);
  const boost::json::array *arrayField(std::string_view Name);
  std::string fieldPath(std::string_view Name) const;
  std::string elementPath(std::string_view Name, std::size_t Index) const;

  const boost::json::object *Object_;
  std::string Path_;
  FieldErrors &Errors_;
  std::set<std::string, std::less<>> Known_;
};

} // namespace laburnumspread::framework::settings
