#include "framework/settings/jsonreader.h"

#include <algorithm>

#include <boost/json/stream_parser.hpp>

namespace laburnumspread::framework::settings {

namespace json = boost::json;

namespace {

const json::object EmptyObject;

constexpr std::size_t MaxNesting = 32;

json::parse_options lenientOptions() {
  json::parse_options Options;
  Options.allow_comments = true;
  Options.allow_trailing_commas = true;
  Options.max_depth = MaxNesting;
  return Options;
}

std::size_t lineAt(std::string_view Text, std::size_t Offset) {
  Offset = std::min(Offset, Text.size());
  return 1 + std::count(Text.begin(), Text.begin() + Offset, '\n');
}

std::string rangeText(Range Allowed) {
  if (Allowed.High_ == std::numeric_limits<std::int64_t>::max())
    return "must be at least " + std::to_string(Allowed.Low_);
  return "must be between " + std::to_string(Allowed.Low_) + " and " +
         std::to_string(Allowed.High_);
}

} // namespace

std::string describe(const FieldErrors &Errors) {
  std::string Text;
  for (const FieldError &Error : Errors) {
    if (!Text.empty())
      Text += "; ";
    Text += Error.Path_ + ": " + Error.Reason_;
  }
  return Text;
}

absl::StatusOr<json::value> parseJson(std::string_view Text) {
  json::stream_parser Parser({}, lenientOptions());
  boost::system::error_code Error;
  const std::size_t Consumed =
      Parser.write_some(Text.data(), Text.size(), Error);
  if (!Error && Consumed < Text.size()) {
    const std::string_view Rest = Text.substr(Consumed);
    if (Rest.find_first_not_of(" \t\r\n") != std::string_view::npos)
      Error = json::make_error_code(json::error::extra_data);
  }
  if (!Error)
    Parser.finish(Error);
  if (Error)
    return absl::InvalidArgumentError("line " +
                                      std::to_string(lineAt(Text, Consumed)) +
                                      ": not valid JSON: " + Error.message());
  return Parser.release();
}

int lineOfField(std::string_view Text, std::string_view Path) {
  std::string_view Name = Path.substr(Path.rfind('.') + 1);
  Name = Name.substr(0, Name.find('['));
  const std::size_t At = Text.find("\"" + std::string(Name) + "\"");
  if (Name.empty() || At == std::string_view::npos)
    return 0;
  return static_cast<int>(lineAt(Text, At));
}

JsonReader::JsonReader(const json::value &Value, std::string Path,
                       FieldErrors &Errors)
    : Object_(Value.if_object()), Path_(std::move(Path)), Errors_(Errors) {
  if (Object_)
    return;
  Errors_.push_back({Path_.empty() ? "document" : Path_, "must be an object"});
  Object_ = &EmptyObject;
}

std::string JsonReader::fieldPath(std::string_view Name) const {
  return Path_.empty() ? std::string(Name) : Path_ + "." + std::string(Name);
}

std::string JsonReader::elementPath(std::string_view Name,
                                    std::size_t Index) const {
  return fieldPath(Name) + "[" + std::to_string(Index) + "]";
}

void JsonReader::addError(std::string_view Name, std::string_view Reason) {
  Errors_.push_back({fieldPath(Name), std::string(Reason)});
}

bool JsonReader::has(std::string_view Name) const {
  return Object_->if_contains(Name) != nullptr;
}

const json::value *JsonReader::find(std::string_view Name) {
  markKnown(Name);
  return Object_->if_contains(Name);
}

std::string JsonReader::requiredString(std::string_view Name) {
  if (!has(Name)) {
    markKnown(Name);
    addError(Name, "is required");
    return {};
  }
  std::string Text = optionalString(Name, "");
  if (Text.empty() && find(Name)->is_string())
    addError(Name, "must not be empty");
  return Text;
}

std::string JsonReader::optionalString(std::string_view Name,
                                       std::string_view Default) {
  const json::value *Value = find(Name);
  if (!Value)
    return std::string(Default);
  if (!Value->is_string()) {
    addError(Name, "must be a string");
    return std::string(Default);
  }
  return std::string(Value->get_string());
}

std::int64_t JsonReader::requiredInt(std::string_view Name, Range Allowed) {
  if (!has(Name)) {
    markKnown(Name);
    addError(Name, "is required");
    return Allowed.Low_;
  }
  return optionalInt(Name, Allowed.Low_, Allowed);
}

std::int64_t JsonReader::optionalInt(std::string_view Name,
                                     std::int64_t Default, Range Allowed) {
  const json::value *Value = find(Name);
  if (!Value)
    return Default;
  boost::system::error_code NotExact;
  const auto Number =
      Value->is_double() ? 0 : Value->to_number<std::int64_t>(NotExact);
  if (Value->is_double() || NotExact) {
    addError(Name, "must be a whole number");
    return Default;
  }
  if (Number < Allowed.Low_ || Number > Allowed.High_) {
    addError(Name, rangeText(Allowed) + ", is " + std::to_string(Number));
    return Default;
  }
  return Number;
}

double JsonReader::optionalNumber(std::string_view Name, double Default,
                                  double Low, double High) {
  const json::value *Value = find(Name);
  if (!Value)
    return Default;
  if (!Value->is_number()) {
    addError(Name, "must be a number");
    return Default;
  }
  const double Number = Value->to_number<double>();
  if (Number < Low || Number > High) {
    addError(Name, "must be between " + std::to_string(Low) + " and " +
                       std::to_string(High));
    return Default;
  }
  return Number;
}

bool JsonReader::optionalBool(std::string_view Name, bool Default) {
  const json::value *Value = find(Name);
  if (!Value)
    return Default;
  if (!Value->is_bool()) {
    addError(Name, "must be true or false");
    return Default;
  }
  return Value->get_bool();
}

JsonReader JsonReader::child(std::string_view Name, bool Required) {
  static const json::value Empty = json::object();
  const json::value *Value = find(Name);
  if (!Value && Required)
    addError(Name, "is required");
  return {Value ? *Value : Empty, fieldPath(Name), Errors_};
}

const json::array *JsonReader::arrayField(std::string_view Name) {
  const json::value *Value = find(Name);
  if (!Value)
    return nullptr;
  if (!Value->is_array()) {
    addError(Name, "must be an array");
    return nullptr;
  }
  return &Value->get_array();
}

std::vector<std::string> JsonReader::stringList(std::string_view Name) {
  std::vector<std::string> List;
  const json::array *Items = arrayField(Name);
  if (!Items)
    return List;
  for (std::size_t I = 0; I < Items->size(); ++I) {
    if ((*Items)[I].is_string())
      List.emplace_back((*Items)[I].get_string());
    else
      Errors_.push_back({elementPath(Name, I), "must be a string"});
  }
  return List;
}

void JsonReader::finish() {
  for (const auto &Field : *Object_) {
    const std::string_view Name(Field.key().data(), Field.key().size());
    if (!Known_.contains(Name))
      addError(Name, "unknown field");
  }
}

} // namespace laburnumspread::framework::settings
