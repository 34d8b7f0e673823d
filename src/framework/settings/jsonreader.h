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

/// Parses JSON with comments and trailing commas. A syntax error names the
/// line.
absl::StatusOr<boost::json::value> parseJson(std::string_view Text);

/// Line (from 1) on which the last part of \p Path first stands as a key in
/// \p Text, or 0 when it does not.
int lineOfField(std::string_view Text, std::string_view Path);

/// Inclusive range of an integer field.
struct Range {
  std::int64_t Low_ = 0;
  std::int64_t High_ = std::numeric_limits<std::int64_t>::max();
};

/// Reads the fields of one JSON object by name and type, and collects every
/// fault with its path instead of stopping at the first. Fields that were
/// never asked for are faults too (finish()), so that a misspelt name cannot
/// be passed over.
class JsonReader {
public:
  JsonReader(const boost::json::value &Value, std::string Path,
             FieldErrors &Errors);

  bool has(std::string_view Name) const;
  const std::string &path() const { return Path_; }

  std::string requiredString(std::string_view Name);
  std::string optionalString(std::string_view Name, std::string_view Default);
  std::int64_t requiredInt(std::string_view Name, Range Allowed);
  std::int64_t optionalInt(std::string_view Name, std::int64_t Default,
                           Range Allowed);
  double optionalNumber(std::string_view Name, double Default, double Low,
                        double High);
  bool optionalBool(std::string_view Name, bool Default);

  /// The object under \p Name; when it is absent an empty one, and a fault is
  /// noted only if it is \p Required.
  JsonReader child(std::string_view Name, bool Required);

  /// Calls \p Visit with a reader for each object of the array \p Name.
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

  std::vector<std::string> stringList(std::string_view Name);

  /// Marks a field as known without reading it.
  void markKnown(std::string_view Name) { Known_.insert(std::string(Name)); }

  /// Notes a fault of field \p Name.
  void addError(std::string_view Name, std::string_view Reason);

  /// Notes a fault for each field that was not asked for.
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
