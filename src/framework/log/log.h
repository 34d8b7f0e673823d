#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/status.h>

namespace laburnumspread::framework::log {

enum class Level { Debug, Info, Warning, Error };
enum class Format { KeyValue, Json };

/// Sets the format of all lines and the lowest level that is written.
void configure(Format LineFormat, Level Lowest);

/// Writes buffered lines to standard output. Lines are otherwise buffered until
/// a few kilobytes are pending, so call this several times per second and
/// before the process exits. Logs how many lines were suppressed or dropped.
void flush();

/// Changes the lowest level while the process runs.
void setLevel(Level Lowest);
Level level();

/// Parses "debug", "info", "warning" or "error" into \p Into. Any other text is
/// an InvalidArgument error and leaves \p Into unchanged.
absl::Status parseLevel(std::string_view Text, Level &Into);

/// A structured log line, written when the object is destroyed:
/// `Event(Level::Info, "drain.started").field("vm", Name);`
class Event {
public:
  Event(Level Severity, std::string_view Name);
  ~Event();
  Event(const Event &) = delete;
  Event &operator=(const Event &) = delete;

  Event &field(std::string_view Key, std::string_view Value);
  Event &field(std::string_view Key, const char *Value) {
    return field(Key, std::string_view(Value));
  }
  Event &field(std::string_view Key, std::int64_t Value);
  Event &field(std::string_view Key, std::uint64_t Value);
  Event &field(std::string_view Key, int Value) {
    return field(Key, static_cast<std::int64_t>(Value));
  }

private:
  Level Severity_;
  bool Enabled_;
  std::string Line_;
};

inline Event debug(std::string_view Name) { return {Level::Debug, Name}; }
inline Event info(std::string_view Name) { return {Level::Info, Name}; }
inline Event warning(std::string_view Name) { return {Level::Warning, Name}; }
inline Event error(std::string_view Name) { return {Level::Error, Name}; }

} // namespace laburnumspread::framework::log
