#pragma once

#include "framework/fibers/asioscheduler.h"

#include <ctime>

namespace laburnumspread::bench {

/// Runs fibers and their I/O on the calling thread. Returns the io_context, the
/// same one at each call.
inline boost::asio::io_context &useFibers() {
  static boost::asio::io_context Io;
  static const bool Installed = [] {
    framework::fibers::useAsioScheduler(Io);
    return true;
  }();
  (void)Installed;
  return Io;
}

/// Processor time of the calling thread, in seconds.
inline double threadSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * 1e-9;
}

} // namespace laburnumspread::bench
