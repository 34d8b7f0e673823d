#include "ctl/internal/reporting.h"

#include "ctl/table.h"

#include <iostream>

namespace laburnumspread::ctl {

ExitCode reportError(ExitCode Code, const std::string &Text) {
  std::cerr << "laburnumctl: " << Text << '\n';
  return Code;
}

ExitCode reportRefusal(const Reply &Answer) {
  std::string Text = textAt(Answer.Json_, "detail");
  const std::string Code = textAt(Answer.Json_, "code");
  if (Text.empty())
    Text = Answer.Text_;
  reportError(ExitCode::Refused, Code + ": " + Text);
  if (Answer.Outcome_ == "unknown")
    return ExitCode::Unknown;
  return Answer.Status_ == 409 ? ExitCode::Conflict : ExitCode::Refused;
}

ExitCode reportUnreachable(const absl::Status &Error) {
  const bool Sent = Error.message().find("not sent") == absl::string_view::npos;
  return reportError(Sent ? ExitCode::Unknown : ExitCode::Unreachable,
                     std::string(Error.message()));
}

bool succeeded(const Reply &Answer) {
  return Answer.Status_ >= 200 && Answer.Status_ < 300;
}

} // namespace laburnumspread::ctl
