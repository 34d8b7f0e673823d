#include "soak/entrylogs.h"

#include <fstream>

namespace laburnumspread::soak {

namespace {

constexpr std::string_view ContradictedEvent = " event=call.contradicted ";

} // namespace

std::optional<std::string> findContradiction(std::string_view Line) {
  const std::size_t Event = Line.find(ContradictedEvent);
  if (Event == std::string_view::npos)
    return std::nullopt;
  return "an entry told a caller a refusal that was not true: " +
         std::string(Line.substr(Event + ContradictedEvent.size()));
}

std::vector<std::string> EntryLogs::readContradictions() {
  std::vector<std::string> Result;
  for (std::size_t I = 0; I < Offsets_.size(); ++I)
    readEntry(I, Result);
  return Result;
}

void EntryLogs::readEntry(std::size_t Index, std::vector<std::string> &Into) {
  std::ifstream In(Entries_.filePath(Index, "log"));
  In.seekg(Offsets_[Index]);
  std::string Line;
  while (std::getline(In, Line) && !In.eof()) {
    Offsets_[Index] = In.tellg();
    if (const auto Found = findContradiction(Line))
      Into.push_back(*Found);
  }
}

} // namespace laburnumspread::soak
