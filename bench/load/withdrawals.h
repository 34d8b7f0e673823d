#pragma once

#include "bench/load/loadtypes.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

namespace laburnumspread::bench {

/// Grants a key and withdraws it again, \p Rounds times, by the first server,
/// and measures how long it takes until every server serves and refuses it.
/// Percentiles over servers and rounds, in milliseconds.
boost::json::object
runWithdrawals(boost::asio::io_context &Io,
               const std::vector<framework::http::Address> &Servers,
               std::size_t Rounds);

} // namespace laburnumspread::bench
