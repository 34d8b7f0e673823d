#include "app/processsignals.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace laburnumspread::app {

BOOST_AUTO_TEST_SUITE(ProcessSignalsTest)

// Guards against a stop that is lost, or ends the process as if it had crashed,
// because it comes while the entry starts.
BOOST_AUTO_TEST_CASE(SignalsThatComeBeforeTheirHandlerAreKept) {
  boost::asio::io_context Io(1);
  ProcessSignals Signals(Io);
  std::raise(SIGTERM);
  std::raise(SIGHUP);
  std::raise(SIGUSR1);
  Io.poll();
  int Stops = 0, Hangups = 0, Dumps = 0;
  Signals.onStop([&] { ++Stops; });
  Signals.onHangup([&] { ++Hangups; });
  Signals.onDump([&] { ++Dumps; });
  Io.restart();
  Io.poll();
  BOOST_TEST(Stops == 1);
  BOOST_TEST(Hangups == 1);
  BOOST_TEST(Dumps == 1);
}

BOOST_AUTO_TEST_CASE(EachHangupIsHandled) {
  boost::asio::io_context Io(1);
  ProcessSignals Signals(Io);
  int Hangups = 0;
  Signals.onHangup([&] { ++Hangups; });
  for (int I = 0; I < 2; ++I) {
    std::raise(SIGHUP);
    Io.restart();
    Io.poll();
  }
  BOOST_TEST(Hangups == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::app
