#pragma once

#include "bench/load/loadtypes.h"

#include <boost/asio/io_context.hpp>

namespace laburnumspread::bench {

/// Generates the load and returns when every caller has finished, or at the
/// latest 10 s plus twice the request timeout after the planned end.
LoadResult runLoad(boost::asio::io_context &Io, const LoadPlan &Plan);

} // namespace laburnumspread::bench
