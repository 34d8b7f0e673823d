#pragma once

#include "jobs/celltable.h"

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace laburnumspread::jobs {

/// One entry of the journal: events that were committed together.
std::string encodeGroup(const std::vector<Event> &Events,
                        const GroupStamp &Stamp = {});
absl::StatusOr<EventGroup> decodeGroup(std::string_view Bytes);

/// The table as parts of at most about \p PartBytes each. Of ended jobs only
/// the name, the state and what is still live are kept.
std::vector<std::string> encodeSnapshot(const CellTable &Table,
                                        std::size_t PartBytes);
/// Adds the jobs of one part to \p Into.
absl::Status decodeSnapshot(std::string_view Bytes, TimePoint Now,
                            CellTable &Into);

} // namespace laburnumspread::jobs
