#pragma once

#include "bench/load/loadtypes.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

namespace laburnumspread::bench {

/// Grants and withdraws a key \p Rounds times through the first server and
/// measures how long each server takes to accept and to refuse it. Returns
/// percentiles over servers and rounds, in milliseconds.
boost::json::object
runWithdrawals(boost::asio::io_context &Io,
               const std::vector<framework::http::Address> &Servers,
               std::size_t Rounds);

} // namespace laburnumspread::bench
