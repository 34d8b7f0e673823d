#pragma once

#include "jobs/celltable.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace laburnumspread::jobs {

/// Upper limit on the bytes of a journal entry or of a snapshot's part besides
/// those of one encoded event or job.
inline constexpr std::size_t ValueOverheadBytes = 64;

/// Whether the store can hold a job, at its acceptance and in snapshots.
/// \p EncodedBytes is the size of a group of this one event.
constexpr bool fitsIntoValue(std::size_t EncodedBytes,
                             std::size_t MaxValueBytes) {
  return EncodedBytes + ValueOverheadBytes <= MaxValueBytes;
}

/// Returns the largest checkpoint, in bytes, that a task keeps. The rest of a
/// value is left to the names of its task, its runs and their workers.
constexpr std::size_t maxCheckpointBytes(std::size_t MaxValueBytes) {
  return MaxValueBytes / 4;
}

/// Encodes one journal entry: events that are committed together.
std::string encodeGroup(const std::vector<Event> &Events,
                        const GroupStamp &Stamp = {});

/// A journal entry and how many events it holds.
struct EncodedGroup {
  std::string Bytes_;
  std::size_t Events_ = 0;
};
/// Encodes as many of the first events as fit into one entry of \p MaxBytes
/// bytes; none if the first one does not fit.
EncodedGroup encodeFirst(std::span<const Event> Events, const GroupStamp &Stamp,
                         std::size_t MaxBytes);

/// Decodes a journal entry. Returns DataLoss if the bytes are not one. Events
/// of unknown kinds are skipped.
absl::StatusOr<EventGroup> decodeGroup(std::string_view Bytes);

/// Encodes the table in parts of about \p PartBytes bytes each. A part ends
/// with the job or queue that reaches this size. No part is larger than \p
/// MaxBytes: a job that is larger is continued in the parts that follow. Ended
/// jobs without live runs are stored without their steps and tasks.
std::vector<std::string> encodeSnapshot(const CellTable &Table,
                                        std::size_t PartBytes,
                                        std::size_t MaxBytes);
/// Adds the content of one part to \p Into. Parts must be added in their order.
/// Returns DataLoss if the bytes are not a part of a snapshot.
absl::Status decodeSnapshot(std::string_view Bytes, TimePoint Now,
                            CellTable &Into);

} // namespace laburnumspread::jobs
