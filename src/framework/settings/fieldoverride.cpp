#include "framework/settings/fieldoverride.h"

#include "framework/settings/jsonreader.h"

#include <algorithm>

#include <absl/strings/str_split.h>

namespace laburnumspread::framework::settings {

namespace json = boost::json;

namespace {

std::vector<std::string> namesOf(std::string_view Path) {
  return absl::StrSplit(absl::string_view(Path.data(), Path.size()), '.');
}

absl::Status applyOverride(const FieldOverride &Override,
                           json::value &Document) {
  const std::vector<std::string> Names = namesOf(Override.Path_);
  json::value *At = &Document;
  for (const std::string &Name : Names) {
    if (At->is_null())
      At->emplace_object();
    if (!At->is_object())
      return absl::InvalidArgumentError(Override.Path_ +
                                        ": is not in an object");
    At = &At->get_object()[Name];
  }
  *At = Override.Value_;
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<FieldOverride> parseOverride(std::string_view Text) {
  const std::size_t Separator = Text.find('=');
  if (Separator == std::string_view::npos)
    return absl::InvalidArgumentError(std::string(Text) +
                                      ": must be FIELD=VALUE");
  FieldOverride Result;
  Result.Path_ = std::string(Text.substr(0, Separator));
  const std::vector<std::string> Names = namesOf(Result.Path_);
  if (std::any_of(Names.begin(), Names.end(),
                  [](const std::string &Name) { return Name.empty(); }))
    return absl::InvalidArgumentError(std::string(Text) +
                                      ": has an empty field name");
  const std::string_view Value = Text.substr(Separator + 1);
  if (auto Parsed = parseJson(Value); Parsed.ok())
    Result.Value_ = std::move(*Parsed);
  else
    Result.Value_ = json::string(Value.data(), Value.size());
  return Result;
}

absl::Status applyOverrides(const FieldOverrides &Overrides,
                            json::value &Document) {
  for (const FieldOverride &Override : Overrides)
    if (absl::Status Applied = applyOverride(Override, Document); !Applied.ok())
      return Applied;
  return absl::OkStatus();
}

} // namespace laburnumspread::framework::settings
