#include "jobs/jobtypes.h"

#include <array>
#include <charconv>

namespace laburnumspread::jobs {

std::string TaskName::str() const {
  return Job_.str() + '.' + std::to_string(Occurrence_) + '.' +
         std::to_string(Step_) + '.' + std::to_string(Index_);
}

std::optional<TaskName> parseTaskName(std::string_view Text) {
  const auto Dot = Text.find('.');
  if (Dot == std::string_view::npos || Dot == 0)
    return std::nullopt;
  TaskName Result;
  Result.Job_ = JobId(Text.substr(0, Dot));
  std::array<std::uint32_t *, 3> Parts = {&Result.Occurrence_, &Result.Step_,
                                          &Result.Index_};
  const char *At = Text.data() + Dot;
  const char *End = Text.data() + Text.size();
  for (std::uint32_t *Part : Parts) {
    if (At == End || *At != '.')
      return std::nullopt;
    const auto Read = std::from_chars(At + 1, End, *Part);
    if (Read.ec != std::errc())
      return std::nullopt;
    At = Read.ptr;
  }
  return At == End ? std::optional(Result) : std::nullopt;
}

std::string_view nameOf(EndKind Kind) {
  switch (Kind) {
  case EndKind::Done:
    return "done";
  case EndKind::Failed:
    return "failed";
  case EndKind::Stopped:
    return "stopped";
  case EndKind::LeaseExpired:
    return "lapsed";
  case EndKind::GangMemberEnded:
    return "broken";
  case EndKind::GangIncomplete:
    return "alone";
  case EndKind::Refused:
    return "refused";
  case EndKind::Lost:
    return "lost";
  }
  return "lost";
}

std::string_view nameOf(JobState State) {
  switch (State) {
  case JobState::Pending:
    return "pending";
  case JobState::Running:
    return "running";
  case JobState::Done:
    return "done";
  case JobState::Failed:
    return "failed";
  case JobState::Cancelled:
    return "cancelled";
  }
  return "pending";
}

} // namespace laburnumspread::jobs
