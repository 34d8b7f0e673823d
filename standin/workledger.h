#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace laburnumspread::standin {

/// Work that the endpoints have actually executed. Tests check refusals, limits
/// and duplicate executions against it.
struct WorkLedger {
  std::uint64_t Started_ = 0;
  std::uint64_t Finished_ = 0;
  /// Stopped because the lease ended or the connection closed.
  std::uint64_t Stopped_ = 0;
  std::uint64_t RefusedBusy_ = 0;
  std::uint64_t RefusedLease_ = 0;
  std::uint64_t RefusedDown_ = 0;
  /// Aborted by a reboot of the VM.
  std::uint64_t CutByReboot_ = 0;
  /// Keyed by "team/idempotency key".
  std::map<std::string, std::uint64_t> StartsByKey_;
  std::map<std::string, std::uint64_t> StartsByVm_;
  std::map<std::string, std::int64_t> RunningByTeam_;
  /// Highest number of concurrent requests of each team.
  std::map<std::string, std::int64_t> PeakRunningByTeam_;

  std::uint64_t keysStartedTwice() const {
    std::uint64_t Count = 0;
    for (const auto &[Key, Starts] : StartsByKey_)
      Count += Starts > 1;
    return Count;
  }
};

} // namespace laburnumspread::standin
