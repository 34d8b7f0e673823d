#pragma once

#include "bench/load/loadtypes.h"

#include <boost/asio/io_context.hpp>

namespace laburnumspread::bench {

/// Puts the load on and returns when all is answered or given up.
LoadResult runLoad(boost::asio::io_context &Io, const LoadPlan &Plan);

} // namespace laburnumspread::bench
