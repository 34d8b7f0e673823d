#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace laburnumspread::standin {

/// What the endpoints have run: the truth that refusals and limits are checked
/// against.
struct WorkLedger {
  std::uint64_t Started_ = 0;
  std::uint64_t Finished_ = 0;
  /// Ended by their lease or because their connection closed.
  std::uint64_t Stopped_ = 0;
  std::uint64_t RefusedBusy_ = 0;
  std::uint64_t RefusedLease_ = 0;
  std::uint64_t RefusedDown_ = 0;
  /// Requests cut off by a reboot.
  std::uint64_t CutByReboot_ = 0;
  std::map<std::string, std::uint64_t> StartsByKey_;
  std::map<std::string, std::uint64_t> StartsByVm_;
  std::map<std::string, std::int64_t> RunningByTeam_;
  std::map<std::string, std::int64_t> PeakRunningByTeam_;

  std::uint64_t keysStartedTwice() const {
    std::uint64_t Count = 0;
    for (const auto &[Key, Starts] : StartsByKey_)
      Count += Starts > 1;
    return Count;
  }
};

} // namespace laburnumspread::standin
