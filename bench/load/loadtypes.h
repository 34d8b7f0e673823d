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

/// Workload to generate and the servers to send it to.
struct LoadPlan {
  std::vector<framework::http::Address> Servers_;
  /// Sends directly to endpoints, bypassing the entries.
  bool Direct_ = false;
  std::vector<std::string> Pools_;
  std::vector<std::string> Teams_;
  /// Share of each team, to report how close the work comes to the shares; may
  /// be empty.
  std::vector<double> Shares_;
  /// Number of closed-loop callers: each waits for the response before it sends
  /// its next request.
  std::size_t Callers_ = 16;
  /// Requests per second over all callers; 0 sends without pauses.
  double Rate_ = 0;
  Duration RunTime_ = std::chrono::seconds(5);
  std::int64_t WorkMs_ = 5;
  std::int64_t TimeoutMs_ = 5000;
  /// Fraction of the requests that are non-repeatable, from 0 to 1.
  double OnceFraction_ = 0;
  /// Fraction of the non-repeatable requests that are sent a second time with
  /// the same key, to a random server, after the first response.
  double ResendFraction_ = 0;
  /// Fractions of the requests of class urgent and of class batch.
  double UrgentFraction_ = 0;
  double BatchFraction_ = 0;
  /// If not 0, demand rotates: one pool after another gets five times its mean
  /// demand for this long, and a twentieth of it otherwise.
  Duration RotationPeriod_{0};
  std::uint64_t Seed_ = 1;
  /// Address from which the endpoints' own counts are read; empty to skip the
  /// check.
  std::string Platform_;
};

/// One request and its outcome.
struct Sample {
  TimePoint SentAt_{};
  Duration Took_{};
  std::string Team_;
  std::string Pool_;
  std::string Key_;
  std::string Class_;
  /// "ran", "not-run", "unknown" or "no-answer"; empty if a response does not
  /// tell its outcome.
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
