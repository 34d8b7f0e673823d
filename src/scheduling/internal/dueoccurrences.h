#pragma once

#include "jobs/celltable.h"

#include <algorithm>
#include <vector>

namespace laburnumspread::scheduling {

/// Returns the number of occurrences that are due by the wall clock.
inline std::uint32_t dueOccurrences(const jobs::JobSpec &Job,
                                    std::int64_t WallMs) {
  if (Job.Occurrences_ == 0)
    return 1;
  if (WallMs < Job.FirstDueMs_)
    return 0;
  const std::int64_t Interval = std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(Job.Interval_)
             .count());
  const std::int64_t Due = (WallMs - Job.FirstDueMs_) / Interval + 1;
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(Due, Job.Occurrences_));
}

/// Number of rows that the due occurrences of one job may take, and most
/// occurrences that are worked on at a time. The next ones follow as these end.
constexpr std::uint64_t MaxDueRows = 50'000;
constexpr std::uint64_t MaxDueOccurrences = 1000;

/// Returns the due occurrences that are not settled, the earliest first, as
/// many as may be worked on at a time. All occurrences of a job may be due at
/// once, and the rows of all their tasks would take the leader's memory.
inline std::vector<std::uint32_t> openDueOccurrences(const jobs::JobRow &Job,
                                                     std::int64_t WallMs) {
  const std::uint64_t Each = std::max<std::uint64_t>(
      1, jobs::OccurrenceTable::rowsPerOccurrence(Job.Spec_));
  const std::uint64_t Most =
      std::clamp<std::uint64_t>(MaxDueRows / Each, 1, MaxDueOccurrences);
  const std::uint32_t Due = dueOccurrences(Job.Spec_, WallMs);
  std::vector<std::uint32_t> Result;
  for (std::uint32_t K = Job.Occurrences_.firstOpen();
       K < Due && Result.size() < Most; ++K)
    if (!Job.Occurrences_.settled(K))
      Result.push_back(K);
  return Result;
}

} // namespace laburnumspread::scheduling
