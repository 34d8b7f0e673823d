#include "app/processsignals.h"

#include <csignal>
#include <utility>

#include <unistd.h>

namespace laburnumspread::app {

namespace {

extern "C" void exitAtOnce(int) { _exit(0); }

void handleEach(boost::asio::signal_set &Signals,
                std::function<void()> Handle) {
  Signals.async_wait(
      [&Signals, Handle = std::move(Handle)](const auto &Error, int) {
        if (Error)
          return;
        Handle();
        handleEach(Signals, Handle);
      });
}

} // namespace

void handleSignalsBeforeServing() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGUSR1, SIG_IGN);
  std::signal(SIGTERM, exitAtOnce);
  std::signal(SIGINT, exitAtOnce);
}

ProcessSignals::ProcessSignals(boost::asio::io_context &Io)
    : Stop_(Io, SIGTERM, SIGINT), Hangup_(Io, SIGHUP), Dump_(Io, SIGUSR1) {}

void ProcessSignals::onStop(std::function<void()> Handle) {
  Stop_.async_wait([Handle = std::move(Handle)](const auto &Error, int) {
    if (!Error)
      Handle();
  });
}

void ProcessSignals::onHangup(std::function<void()> Handle) {
  handleEach(Hangup_, std::move(Handle));
}

void ProcessSignals::onDump(std::function<void()> Handle) {
  handleEach(Dump_, std::move(Handle));
}

} // namespace laburnumspread::app
