#pragma once

#include "jobs/celltable.h"

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace laburnumspread::jobs {

/// Encodes one journal entry: events that are committed together.
std::string encodeGroup(const std::vector<Event> &Events,
                        const GroupStamp &Stamp = {});
/// Decodes a journal entry. Returns DataLoss if the bytes are not one. Events
/// of unknown kinds are skipped.
absl::StatusOr<EventGroup> decodeGroup(std::string_view Bytes);

/// Encodes the table in parts of about \p PartBytes bytes each. A part ends
/// with the job or queue that reaches this size. Ended jobs without live runs
/// are stored without their steps and tasks.
std::vector<std::string> encodeSnapshot(const CellTable &Table,
                                        std::size_t PartBytes);
/// Adds the content of one part to \p Into. Returns DataLoss if the bytes are
/// not a part of a snapshot.
absl::Status decodeSnapshot(std::string_view Bytes, TimePoint Now,
                            CellTable &Into);

} // namespace laburnumspread::jobs
