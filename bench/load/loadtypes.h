#pragma once

#include "framework/clock/clock.h"
#include "framework/http/httptypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laburnumspread::bench {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// What load to put on which servers. Bounded in time and in number.
struct LoadPlan {
  std::vector<framework::http::Address> Servers_;
  /// Sends straight to endpoints, past the entries.
  bool Direct_ = false;
  std::vector<std::string> Pools_;
  std::vector<std::string> Teams_;
  /// Share of each team, for the closeness to share; may be empty.
  std::vector<double> Shares_;
  /// Callers that each wait for their answer before they go on.
  std::size_t Callers_ = 16;
  /// Requests a second over all callers; 0 for as fast as they are answered.
  double Rate_ = 0;
  Duration RunTime_ = std::chrono::seconds(5);
  std::int64_t WorkMs_ = 5;
  std::int64_t TimeoutMs_ = 5000;
  /// Part of the requests that are non-repeatable.
  double OnceFraction_ = 0;
  /// Part of the non-repeatable requests that are sent again with the same
  /// key, to any server: at once if answered unknown, else after the answer.
  double ResendFraction_ = 0;
  /// Part of the requests of class urgent, and of class batch.
  double UrgentFraction_ = 0;
  double BatchFraction_ = 0;
  /// If set, the pools take turns: each in turn gets five times its mean for
  /// this long and a twentieth in between.
  Duration RotationPeriod_{0};
  std::uint64_t Seed_ = 1;
  /// Where the endpoints' own counts are read; empty to check nothing.
  std::string Platform_;
};

/// One answered request.
struct Sample {
  TimePoint SentAt_{};
  Duration Took_{};
  std::string Team_;
  std::string Pool_;
  std::string Key_;
  std::string Class_;
  /// "ran", "not-run", "unknown", or "no-answer".
  std::string Outcome_;
  std::string Code_;
  int Status_ = 0;
  bool Replayed_ = false;
};

struct LoadResult {
  std::vector<Sample> Samples_;
  TimePoint Start_{};
  TimePoint End_{};
};

} // namespace laburnumspread::bench
