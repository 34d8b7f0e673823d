#include "framework/log/log.h"

#include "framework/clock/steadyclock.h"
#include "framework/log/logratelimiter.h"
#include "framework/log/outputbuffer.h"

#include <unistd.h>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace laburnumspread::framework::log {

namespace {

OutputBuffer &output() {
  static OutputBuffer Out(STDOUT_FILENO);
  return Out;
}

LogRateLimiter &rateLimiter() {
  static LogRateLimiter Limiter;
  return Limiter;
}

/// Writes lines formatted by Easylogging++ to the output buffer.
class OutputBufferCallback : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) override {
    const el::LogMessage *Message = Data->logMessage();
    output().add(Message->logger()->logBuilder()->build(Message, true));
  }
};

Format LineFormat = Format::KeyValue;
Level CurrentLevel = Level::Info;

std::string_view nameOf(Level Severity) {
  switch (Severity) {
  case Level::Debug:
    return "debug";
  case Level::Info:
    return "info";
  case Level::Warning:
    return "warning";
  case Level::Error:
    return "error";
  }
  return "error";
}

/// Quotes and escapes \p Text as a JSON string, so that a value cannot break
/// out of its field or line.
std::string quoted(std::string_view Text) {
  return boost::json::serialize(
      boost::json::value(boost::json::string_view(Text.data(), Text.size())));
}

bool needsQuotes(std::string_view Text) {
  if (Text.empty())
    return true;
  for (unsigned char C : Text)
    if (C <= ' ' || C == '"' || C == '=' || C == '\\' || C == 127)
      return true;
  return false;
}

void appendField(std::string &Line, std::string_view Key,
                 std::string_view Rendered) {
  if (LineFormat == Format::Json) {
    Line += ",\"";
    Line += Key;
    Line += "\":";
  } else {
    Line += ' ';
    Line += Key;
    Line += '=';
  }
  Line += Rendered;
}

} // namespace

void configure(Format NewFormat, Level MinimumLevel) {
  LineFormat = NewFormat;
  CurrentLevel = MinimumLevel;
  el::Configurations Settings;
  Settings.setToDefault();
  Settings.setGlobally(el::ConfigurationType::ToFile, "false");
  Settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  Settings.setGlobally(
      el::ConfigurationType::Format,
      NewFormat == Format::Json
          ? "{\"time\":\"%datetime{%Y-%M-%dT%H:%m:%s.%g}\",%msg}"
          : "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
  el::Loggers::reconfigureAllLoggers(Settings);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<OutputBufferCallback>("ToOutput");
}

void flush() {
  const std::uint64_t LeftOut =
      rateLimiter().takeSuppressed() + output().takeDropped();
  if (LeftOut > 0)
    LOG(WARNING) << "level=warning event=log.lines_left_out count=" << LeftOut;
  output().flush();
}

void setLevel(Level MinimumLevel) { CurrentLevel = MinimumLevel; }

Level level() { return CurrentLevel; }

absl::Status parseLevel(std::string_view Text, Level &Into) {
  for (Level Candidate :
       {Level::Debug, Level::Info, Level::Warning, Level::Error}) {
    if (nameOf(Candidate) != Text)
      continue;
    Into = Candidate;
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(
      "must be one of debug, info, warning, error");
}

Event::Event(Level Severity, std::string_view Name)
    : Severity_(Severity),
      Enabled_(Severity >= CurrentLevel &&
               rateLimiter().admit(Severity >= Level::Warning,
                                   clock::SteadyClock().now())) {
  if (!Enabled_)
    return;
  if (LineFormat == Format::Json) {
    Line_ =
        "\"level\":" + quoted(nameOf(Severity)) + ",\"event\":" + quoted(Name);
  } else {
    Line_ = "level=";
    Line_ += nameOf(Severity);
    Line_ += " event=";
    Line_ += Name;
  }
}

Event::~Event() {
  if (!Enabled_)
    return;
  if (Severity_ == Level::Error)
    LOG(ERROR) << Line_;
  else if (Severity_ == Level::Warning)
    LOG(WARNING) << Line_;
  else
    LOG(INFO) << Line_;
}

Event &Event::field(std::string_view Key, std::string_view Value) {
  if (!Enabled_)
    return *this;
  const bool Quote = LineFormat == Format::Json || needsQuotes(Value);
  appendField(Line_, Key, Quote ? quoted(Value) : std::string(Value));
  return *this;
}

Event &Event::field(std::string_view Key, std::int64_t Value) {
  if (Enabled_)
    appendField(Line_, Key, std::to_string(Value));
  return *this;
}

Event &Event::field(std::string_view Key, std::uint64_t Value) {
  if (Enabled_)
    appendField(Line_, Key, std::to_string(Value));
  return *this;
}

} // namespace laburnumspread::framework::log
