#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

namespace laburnumspread::app {

/// Sets the handling of signals for the time until ProcessSignals exists.
/// Called first in main(): by default SIGHUP and SIGUSR1 would end the process,
/// and SIGTERM would end it as if it had crashed. SIGTERM and SIGINT end it
/// with exit code 0, as no caller has been served. SIGHUP and SIGUSR1 are
/// ignored, as the settings are still to be read and there is no state to dump.
void handleSignalsBeforeServing();

/// The signals of a serving process. Created before anything starts, and
/// signals that arrive before their handler is set are kept for it.
class ProcessSignals {
public:
  explicit ProcessSignals(boost::asio::io_context &Io);

  /// Calls \p Handle once, on the first SIGTERM or SIGINT.
  void onStop(std::function<void()> Handle);
  /// Calls \p Handle on each SIGHUP.
  void onHangup(std::function<void()> Handle);
  /// Calls \p Handle on each SIGUSR1.
  void onDump(std::function<void()> Handle);

private:
  boost::asio::signal_set Stop_;
  boost::asio::signal_set Hangup_;
  boost::asio::signal_set Dump_;
};

} // namespace laburnumspread::app
