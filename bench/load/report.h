#pragma once

#include "bench/load/loadtypes.h"

#include <boost/json/object.hpp>

namespace laburnumspread::bench {

/// Returns counts, rates and latency percentiles of a run.
boost::json::object summarize(const LoadPlan &Plan, const LoadResult &Result);

/// Compares the callers' responses with the endpoints' counts of starts by key.
/// The arrays list violations, so they are empty after a correct run:
///   ranTwice: keys that were started more than once
///   notRunButRan: keys whose every response was not-run, but which were
///   started ranButNot: keys with a ran response that were never started
boost::json::object
compareWithEndpoints(const LoadResult &Result,
                     const std::map<std::string, std::uint64_t> &Started);

} // namespace laburnumspread::bench
