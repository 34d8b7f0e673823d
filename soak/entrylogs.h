#pragma once

#include "soak/entryprocesses.h"

#include <optional>
#include <string_view>

namespace laburnumspread::soak {

/// Returns the finding of a line of the entry's log: an entry told a caller
/// that its call was refused, and a leader had accepted it.
std::optional<std::string> findContradiction(std::string_view Line);

/// Reads what the entries' processes append to their logs.
class EntryLogs {
public:
  explicit EntryLogs(const EntryProcesses &Entries)
      : Entries_(Entries), Offsets_(Entries.count()) {}

  /// Findings in the lines that were completed since the last call.
  std::vector<std::string> readContradictions();

private:
  void readEntry(std::size_t Index, std::vector<std::string> &Into);

  const EntryProcesses &Entries_;
  /// For each entry, the end of the last line that was read, in bytes.
  std::vector<std::streamoff> Offsets_;
};

} // namespace laburnumspread::soak
