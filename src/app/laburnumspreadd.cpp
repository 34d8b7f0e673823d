#include "app/cellapp.h"
#include "app/entryapp.h"
#include "app/processsignals.h"

#include "framework/fibers/asioscheduler.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/log/log.h"
#include "framework/process/exitprocess.h"
#include "framework/settings/settingswatch.h"

#include <functional>
#include <iostream>

// A value may contain commas; cxxopts would split it there.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>

// laburnumspreadd: the entry server process.

namespace {

using namespace laburnumspread;
using framework::process::BadUsage;
using framework::process::exitProcess;
using framework::process::StartFailed;

/// Where the settings come from, at the start and at each reload.
struct SettingsSource {
  std::string File_;
  framework::settings::FieldOverrides Overrides_;
  std::shared_ptr<framework::settings::SettingsWatch> Watch_;
};

/// Limits the log lines lost when the process is killed.
constexpr auto LogFlushInterval = std::chrono::milliseconds(50);
/// Interval at which the settings file is checked for changes without SIGHUP. A
/// check reads about a page.
constexpr auto SettingsPollInterval = std::chrono::seconds(2);

/// Logs that the settings file is invalid and the old settings remain in force.
void reportRejectedSettings(const absl::Status &Reason) {
  framework::log::error("settings.kept")
      .field("reason", std::string(Reason.message()));
}

/// Polls the settings file and calls \p Reload when it has changed.
void reloadOnChange(const SettingsSource &Source,
                    const std::function<void()> &Reload) {
  framework::fibers::spawn([Watch = Source.Watch_, Reload] {
    while (true) {
      framework::fibers::sleepFor(SettingsPollInterval);
      if (Watch->changed())
        Reload();
    }
  });
}

/// Serves until SIGTERM or SIGINT, then exits the process: with 0 if \p Stop
/// returns true, with 1 otherwise.
template <typename App>
int serveUntilSignal(app::ProcessSignals &Signals, App &Served,
                     const SettingsSource &Source,
                     const std::function<void()> &Reload,
                     const std::function<bool()> &Stop) {
  framework::fibers::spawn([] {
    while (true) {
      framework::log::flush();
      framework::fibers::sleepFor(LogFlushInterval);
    }
  });
  Signals.onDump([&Served] {
    framework::fibers::spawn(
        [&Served] { std::cout << Served.dump() << std::endl; });
  });
  Signals.onHangup([Watch = Source.Watch_, Reload] {
    framework::fibers::spawn([Watch, Reload] {
      Watch->changed();
      Reload();
    });
  });
  reloadOnChange(Source, Reload);
  framework::fibers::Waiter StopSignal;
  Signals.onStop([&StopSignal] { StopSignal.signal(); });
  while (!StopSignal.signalled())
    StopSignal.waitUntil(framework::clock::SystemClock().now() +
                         std::chrono::hours(24));
  exitProcess(Stop() ? 0 : 1);
}

/// Ends the process if \p Started is an error. Returning from main() would
/// destroy what the fibers of a partly started app use.
void exitUnlessStarted(const absl::Status &Started) {
  if (Started.ok())
    return;
  framework::log::error("entry.cannot_start")
      .field("reason", std::string(Started.message()));
  exitProcess(StartFailed);
}

int serve(const entry::EntrySettings &Settings, const SettingsSource &Source) {
  framework::log::configure(Settings.LogFormat_, Settings.LogLevel_);
  boost::asio::io_context Io(1);
  app::ProcessSignals Signals(Io);
  framework::fibers::useAsioScheduler(Io);
  app::EntryApp App(Io, Settings);
  exitUnlessStarted(App.start());
  framework::log::info("entry.listening")
      .field("entry", Settings.Name_.str())
      .field("http_port", App.httpPort())
      .field("peer_port", App.peerPort());
  const auto Reload = [Source] {
    const auto NewSettings =
        entry::loadSettings(Source.File_, Source.Overrides_);
    if (!NewSettings.ok())
      return reportRejectedSettings(NewSettings.status());
    framework::log::setLevel(NewSettings->LogLevel_);
    framework::log::info("settings.reloaded").field("file", Source.File_);
  };
  return serveUntilSignal(Signals, App, Source, Reload,
                          [&App] { return App.stop(); });
}

int serveCell(const cell::CellSettings &Settings,
              const SettingsSource &Source) {
  framework::log::configure(Settings.LogFormat_, Settings.LogLevel_);
  boost::asio::io_context Io(1);
  app::ProcessSignals Signals(Io);
  framework::fibers::useAsioScheduler(Io);
  app::CellApp App(Io, Settings);
  exitUnlessStarted(App.start());
  framework::log::info("entry.listening")
      .field("entry", Settings.Name_.str())
      .field("callers", Settings.CallerAddress_.str());
  const auto Reload = [Source, &App] {
    const auto NewSettings =
        cell::loadCellSettings(Source.File_, Source.Overrides_);
    if (!NewSettings.ok())
      return reportRejectedSettings(NewSettings.status());
    App.reload(*NewSettings);
  };
  return serveUntilSignal(Signals, App, Source, Reload, [&App] {
    App.stop();
    return true;
  });
}

/// Returns whether the settings file is that of an entry that serves jobs.
bool isCell(const std::string &File) {
  const auto Text = framework::settings::readSettingsFile(File);
  if (!Text.ok())
    return false;
  const auto Document = framework::settings::parseJson(*Text);
  const auto *Fields = Document.ok() ? Document->if_object() : nullptr;
  const auto *Kind = Fields ? Fields->if_contains("kind") : nullptr;
  return Kind && Kind->is_string() && Kind->get_string() == "cell";
}

template <typename Settings>
int checkOrServe(const absl::StatusOr<Settings> &Read, bool OnlyCheck,
                 int (*Serve)(const Settings &, const SettingsSource &),
                 const SettingsSource &Source) {
  if (!Read.ok()) {
    std::cerr << Read.status().message() << '\n';
    return StartFailed;
  }
  if (OnlyCheck) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return Serve(*Read, Source);
}

/// Fields that the command line sets in place of the settings file.
/// InvalidArgument if one is malformed.
absl::StatusOr<framework::settings::FieldOverrides>
overridesOf(const cxxopts::ParseResult &Parsed) {
  framework::settings::FieldOverrides Result;
  if (Parsed.count("store-value-bytes"))
    Result.push_back(
        {"store.valueBytes", Parsed["store-value-bytes"].as<std::int64_t>()});
  if (!Parsed.count("set"))
    return Result;
  for (const std::string &Text : Parsed["set"].as<std::vector<std::string>>()) {
    auto Override = framework::settings::parseOverride(Text);
    if (!Override.ok())
      return Override.status();
    Result.push_back(std::move(*Override));
  }
  return Result;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  app::handleSignalsBeforeServing();
  cxxopts::Options Options("laburnumspreadd",
                           "Entry server of a laburnumspread fleet");
  Options.add_options()("config", "settings file, JSON with comments",
                        cxxopts::value<std::string>())(
      "store-value-bytes",
      "largest value of the store; the same as --set store.valueBytes=N",
      cxxopts::value<std::int64_t>())(
      "set",
      "FIELD=VALUE: a field of the settings file by its path, such as "
      "bounds.configMs=2000, in place of the file's own; may be repeated",
      cxxopts::value<std::vector<std::string>>())(
      "check", "only check the settings")("help", "help");
  try {
    const auto Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help")) {
      std::cout << Options.help() << '\n';
      return 0;
    }
    if (!Parsed.count("config")) {
      std::cerr << "laburnumspreadd: --config is required\n";
      return BadUsage;
    }
    const std::string File = Parsed["config"].as<std::string>();
    const bool OnlyCheck = Parsed.count("check") > 0;
    auto Overrides = overridesOf(Parsed);
    if (!Overrides.ok()) {
      std::cerr << "laburnumspreadd: --set " << Overrides.status().message()
                << '\n';
      return BadUsage;
    }
    // The watch is created before the settings are read, so that no change is
    // missed.
    const SettingsSource Source{
        File, std::move(*Overrides),
        std::make_shared<framework::settings::SettingsWatch>(File)};
    if (isCell(File))
      return checkOrServe(cell::loadCellSettings(File, Source.Overrides_),
                          OnlyCheck, serveCell, Source);
    return checkOrServe(entry::loadSettings(File, Source.Overrides_), OnlyCheck,
                        serve, Source);
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "laburnumspreadd: " << Error.what() << '\n';
    return BadUsage;
  }
}
