#include "framework/settings/settingsfile.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace laburnumspread::framework::settings {

namespace {

constexpr std::size_t CurveKeyLength = 40;
/// Digits of Z85 (ZeroMQ RFC 32).
constexpr std::string_view Z85Digits =
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    ".-:+=^!/*?&<>()[]{}@%$#";

bool isCurveKey(std::string_view Text) {
  return Text.size() == CurveKeyLength &&
         Text.find_first_not_of(Z85Digits) == std::string_view::npos;
}

/// Where the field of an error was given: "file", "file:line" or "command
/// line".
std::string placeOf(const FieldError &Error, std::string_view Text,
                    const std::string &File, const FieldOverrides &Overrides) {
  const bool Overridden = std::any_of(Overrides.begin(), Overrides.end(),
                                      [&](const FieldOverride &Override) {
                                        return Override.Path_ == Error.Path_;
                                      });
  if (Overridden)
    return "command line";
  const int Line = lineOfField(Text, Error.Path_);
  return Line > 0 ? File + ":" + std::to_string(Line) : File;
}

} // namespace

std::string formatErrors(const FieldErrors &Errors, std::string_view Text,
                         const std::string &File,
                         const FieldOverrides &Overrides) {
  std::string Lines;
  for (const auto &Error : Errors) {
    if (!Lines.empty())
      Lines += '\n';
    Lines += placeOf(Error, Text, File, Overrides);
    Lines += ": " + Error.Path_ + ": " + Error.Reason_;
  }
  return Lines;
}

absl::StatusOr<std::string> readSettingsFile(const std::string &File) {
  std::ifstream In(File);
  // A folder can be opened, but not read.
  In.peek();
  if (!In.is_open() || In.bad())
    return absl::NotFoundError(File + ": cannot be read");
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

std::string readCurveKey(JsonReader &Reader, std::string_view Field) {
  std::string Key = Reader.requiredString(Field);
  if (!Key.empty() && !isCurveKey(Key))
    Reader.addError(Field, "must be a Z85 key of 40 characters");
  return Key;
}

} // namespace laburnumspread::framework::settings
