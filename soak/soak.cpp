#include "framework/clock/steadyclock.h"
#include "framework/fibers/asioscheduler.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/log/log.h"
#include "platform/standin/testrequests.h"
#include "soak/callers.h"
#include "soak/faults.h"

#include <filesystem>
#include <fstream>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

// laburnum-soak: platform, callers, faults and judge of one soak. tools/soak
// starts it and the entries.

namespace {

using namespace laburnumspread;
using namespace laburnumspread::soak;
using framework::fibers::sleepFor;
using platform::standin::CellPlatform;
using namespace std::chrono_literals;

constexpr int BadUsage = 2;
constexpr std::size_t MachineCount = 4;
constexpr std::size_t CallerCount = 3;
/// Longest time of faults before a calm.
constexpr milliseconds StormTime = 8000ms;
/// Waits are for conditions; this only ends one that never comes true.
constexpr auto Patience = 90s;
/// A calm lasts on for this long after its conditions have come true, and they
/// must stay so.
constexpr auto CalmHolds = 2s;
constexpr auto LookEvery = 20ms;
/// Findings that are printed; the log has all.
constexpr std::size_t MostTold = 10;

struct Options {
  std::string Folder_;
  std::uint64_t Seed_ = 1;
  std::size_t Entries_ = 3;
  milliseconds Time_{};
};

/// The parts of one run, which live until the process ends, as their fibers do.
class Soak {
public:
  Soak(boost::asio::io_context &Io, const Options &Given)
      : Given_(Given), Draws_(Given.Seed_), Platform_(Io),
        Entries_(Given.Folder_, Given.Entries_),
        Callers_(Io, Entries_, Book_, Found_), Io_(Io) {}

  absl::Status prepare();
  void run();
  int tell() const;

private:
  using Findings = std::vector<std::string>;

  /// Waits until \p Wrong has nothing to tell; what it tells at the end of all
  /// patience is found.
  template <typename Check> void settle(const char *What, const Check &Wrong);
  platform::standin::TaskLedger &ledger() { return Platform_.ledger(); }
  /// Puts a wire before each of the ports; the wires' own ports.
  absl::StatusOr<std::vector<std::uint16_t>>
  startWires(const std::vector<std::uint16_t> &Targets, std::deque<Wire> &Into);
  /// Ways by which no byte has come: then their cuts say nothing.
  Findings unusedWires() const;
  void watch();
  void calm();
  /// No cancelled job of \p Book may come to work again while it is calm.
  void staysStopped(const JobBook &Book);
  void end();

  Options Given_;
  Random Draws_;
  CellPlatform Platform_;
  Entries Entries_;
  JobBook Book_;
  Verdict Found_;
  Callers Callers_;
  std::vector<std::uint16_t> Doors_;
  boost::asio::io_context &Io_;
  Faults::Wires Ways_;
  std::size_t FaultCount_ = 0;
};

absl::Status Soak::prepare() {
  if (absl::Status Bound = Platform_.start({"127.0.0.1", 0}); !Bound.ok())
    return Bound;
  for (std::size_t I = 0; I < MachineCount; ++I)
    if (absl::Status Added = Platform_.addWorker(
            "m" + std::to_string(I), platform::standin::DefaultPool);
        !Added.ok())
      return Added;
  for (std::size_t I = 0; I < Entries_.count(); ++I) {
    const auto Door = Platform_.openPort("127.0.0.1");
    if (!Door.ok())
      return Door.status();
    Doors_.push_back(*Door);
  }
  platform::standin::writeConfig(Platform_);
  if (absl::Status Chosen = Entries_.choosePorts(); !Chosen.ok())
    return Chosen;
  const auto Platform = startWires(Doors_, Ways_.ToPlatform_);
  std::vector<std::uint16_t> Targets;
  for (std::size_t I = 0; I < Entries_.count(); ++I)
    Targets.push_back(Entries_.peerPort(I));
  const auto Peers = startWires(Targets, Ways_.FromPeers_);
  if (!Platform.ok() || !Peers.ok())
    return Platform.ok() ? Peers.status() : Platform.status();
  return Entries_.writeAll(*Platform, *Peers);
}

absl::StatusOr<std::vector<std::uint16_t>>
Soak::startWires(const std::vector<std::uint16_t> &Targets,
                 std::deque<Wire> &Into) {
  std::vector<std::uint16_t> Ports;
  for (const std::uint16_t Target : Targets) {
    const auto Port = Into.emplace_back(Io_).start(Target);
    if (!Port.ok())
      return Port.status();
    Ports.push_back(*Port);
  }
  return Ports;
}

Soak::Findings Soak::unusedWires() const {
  Findings Result;
  for (const Wire &Way : Ways_.ToPlatform_)
    if (Way.passed() == 0)
      Result.push_back("an entry does not reach the platform by its wire");
  const auto Used = [](const Wire &Way) { return Way.passed() > 0; };
  if (std::ranges::none_of(Ways_.FromPeers_, Used))
    Result.push_back("entries do not reach each other by their wires");
  return Result;
}

template <typename Check>
void Soak::settle(const char *What, const Check &Wrong) {
  const auto Began = framework::clock::SteadyClock().now();
  Findings Left = Wrong();
  while (!Left.empty() &&
         framework::clock::SteadyClock().now() < Began + Patience) {
    sleepFor(LookEvery);
    Left = Wrong();
  }
  Found_.find(Left);
  const auto Took = std::chrono::duration_cast<milliseconds>(
      framework::clock::SteadyClock().now() - Began);
  framework::log::info("soak.settled")
      .field("what", What)
      .field("took_ms", static_cast<std::int64_t>(Took.count()))
      .field("left", static_cast<std::uint64_t>(Left.size()));
}

void Soak::watch() {
  framework::fibers::spawn([this] {
    while (true) {
      sleepFor(LookEvery);
      Found_.find(neverAllowed(Book_, ledger()));
      framework::log::flush();
    }
  });
}

void Soak::calm() {
  settle("entries", [this]() -> Findings {
    return Callers_.served() ? Findings() : Findings{"an entry does not serve"};
  });
  // Jobs that are cancelled during the calm have their own time to end.
  const JobBook Before = Book_;
  settle("cancelled", [&] { return cancelledAtWork(Before, ledger()); });
  staysStopped(Before);
}

void Soak::staysStopped(const JobBook &Book) {
  const auto Until = framework::clock::SteadyClock().now() + CalmHolds;
  while (framework::clock::SteadyClock().now() < Until) {
    sleepFor(LookEvery);
    Found_.find(cancelledAtWork(Book, ledger()));
  }
}

void Soak::end() {
  Callers_.finish();
  const auto Wrong = [this] {
    Findings Result = outstanding(Book_, ledger());
    const Findings AtWork = cancelledAtWork(Book_, ledger());
    Result.insert(Result.end(), AtWork.begin(), AtWork.end());
    return Result;
  };
  settle("all", Wrong);
  staysStopped(Book_);
  settle("states", [this] { return Callers_.readAll(); });
  settle("ends", [this] { return Entries_.missingEnds(); });
  Found_.find(unusedWires());
  Found_.find(Entries_.wrongEnds());
  Found_.find(neverAllowed(Book_, ledger()));
}

void Soak::run() {
  watch();
  settle("start", [this]() -> Findings {
    return Callers_.served() ? Findings() : Findings{"an entry does not serve"};
  });
  Faults Wrong(Platform_, Entries_, Doors_, Ways_, MachineCount,
               Draws_.split());
  Callers_.start(CallerCount, Draws_.split());
  for (milliseconds Left = Given_.Time_; Left > 0ms && !Found_.red();) {
    const milliseconds Now = std::min(Left, StormTime);
    Wrong.storm(Now);
    Left -= Now;
    calm();
  }
  FaultCount_ = Wrong.count();
  end();
}

int Soak::tell() const {
  std::ofstream Out(Given_.Folder_ + "/verdict");
  Out << "seed " << Given_.Seed_ << " jobs " << Book_.size() << " cancels "
      << Callers_.cancels() << " faults " << FaultCount_ << " "
      << (Found_.red() ? "RED" : "green") << '\n';
  std::size_t Told = 0;
  for (const std::string &What : Found_.findings())
    if (Told++ < MostTold)
      Out << "  " << What << '\n';
  if (Told > MostTold)
    Out << "  and " << Told - MostTold << " more in driver.log\n";
  return Found_.red() ? 1 : 0;
}

int serve(const Options &Given) {
  framework::log::configure(framework::log::Format::KeyValue,
                            framework::log::Level::Info);
  static boost::asio::io_context Io;
  framework::fibers::useAsioScheduler(Io);
  Soak &Run = *new Soak(Io, Given);
  if (absl::Status Ready = Run.prepare(); !Ready.ok()) {
    std::cerr << "laburnum-soak: " << Ready.message() << '\n';
    std::_Exit(1);
  }
  std::ofstream(Given.Folder_ + "/ready") << "ready\n";
  Run.run();
  const int Code = Run.tell();
  framework::log::flush();
  std::cout.flush();
  std::_Exit(Code);
}

} // namespace

int main(int Count, char **Words) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Known("laburnum-soak",
                         "Platform, callers, faults and judge of one soak");
  Known.add_options()("folder", "where files are exchanged with tools/soak",
                      cxxopts::value<std::string>())(
      "seed", "of all draws",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "how long faults begin",
      cxxopts::value<int>()->default_value("20"))(
      "entries", "how many",
      cxxopts::value<std::size_t>()->default_value("3"))("help", "help");
  try {
    const auto Given = Known.parse(Count, Words);
    if (Given.count("help") || !Given.count("folder")) {
      std::cout << Known.help() << '\n';
      return Given.count("help") ? 0 : BadUsage;
    }
    return serve({Given["folder"].as<std::string>(),
                  Given["seed"].as<std::uint64_t>(),
                  Given["entries"].as<std::size_t>(),
                  std::chrono::seconds(Given["seconds"].as<int>())});
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "laburnum-soak: " << Error.what() << '\n';
    return BadUsage;
  }
}
