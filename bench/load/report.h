#pragma once

#include "bench/load/loadtypes.h"

#include <boost/json/object.hpp>

namespace laburnumspread::bench {

/// Counts, rates and percentiles of a run.
boost::json::object summarize(const LoadPlan &Plan, const LoadResult &Result);

/// Compares what callers were told with what the endpoints have counted.
/// Empty members mean that all is well:
///   ranTwice: keys that were started more than once
///   notRunButRan: keys that were refused as not-run, never told otherwise,
///     and yet started
///   ranButNot: keys that were answered as ran and never started
boost::json::object
compareWithEndpoints(const LoadResult &Result,
                     const std::map<std::string, std::uint64_t> &Started);

} // namespace laburnumspread::bench
