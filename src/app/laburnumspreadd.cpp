#include "app/entryapp.h"

#include "framework/fibers/asioscheduler.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/log/log.h"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

// laburnumspreadd: one entry.

namespace {

using namespace laburnumspread;

constexpr int BadSettings = 2;
constexpr int CannotStart = 1;

/// Writes the dump to the standard output on each SIGUSR1.
void dumpOnSignal(boost::asio::signal_set &Signals, app::EntryApp &App) {
  Signals.async_wait([&Signals, &App](const auto &Error, int) {
    if (Error)
      return;
    framework::fibers::spawn([&App] { std::cout << App.dump() << std::endl; });
    dumpOnSignal(Signals, App);
  });
}

int serve(entry::EntrySettings Settings) {
  framework::log::configure(Settings.LogFormat_, Settings.LogLevel_);
  boost::asio::io_context Io(1);
  framework::fibers::useAsioScheduler(Io);
  app::EntryApp App(Io, Settings);
  if (absl::Status Started = App.start(); !Started.ok()) {
    framework::log::error("entry.cannot_start")
        .field("reason", std::string(Started.message()));
    return CannotStart;
  }
  framework::log::info("entry.listening")
      .field("entry", Settings.Name_.str())
      .field("http_port", App.httpPort())
      .field("peer_port", App.peerPort());
  boost::asio::signal_set Dump(Io, SIGUSR1);
  dumpOnSignal(Dump, App);
  framework::fibers::Waiter Stop;
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&Stop](const auto &, int) { Stop.signal(); });
  while (!Stop.signalled())
    Stop.waitUntil(framework::clock::SystemClock().now() +
                   std::chrono::hours(24));
  const bool Clean = App.stop();
  std::cout.flush();
  // Fibers of the parts run until the process ends; there is nothing left to
  // unwind that would matter to anybody else.
  std::_Exit(Clean ? 0 : 1);
}

} // namespace

int main(int Count, char **Words) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Options("laburnumspreadd",
                           "One entry of a laburnumspread fleet");
  Options.add_options()("config", "settings file, JSON with comments",
                        cxxopts::value<std::string>())(
      "check", "only check the settings")("help", "help");
  try {
    const auto Given = Options.parse(Count, Words);
    if (Given.count("help")) {
      std::cout << Options.help() << '\n';
      return 0;
    }
    if (!Given.count("config")) {
      std::cerr << "laburnumspreadd: --config is required\n";
      return BadSettings;
    }
    auto Settings = entry::loadSettings(Given["config"].as<std::string>());
    if (!Settings.ok()) {
      std::cerr << Settings.status().message() << '\n';
      return BadSettings;
    }
    if (Given.count("check")) {
      std::cout << "settings are valid\n";
      return 0;
    }
    return serve(std::move(*Settings));
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "laburnumspreadd: " << Error.what() << '\n';
    return BadSettings;
  }
}
