#include "framework/clock/steadyclock.h"
#include "framework/fibers/asioscheduler.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/log/log.h"
#include "framework/process/exitprocess.h"
#include "platform/standin/testrequests.h"
#include "soak/callers.h"
#include "soak/configprobes.h"
#include "soak/entrylogs.h"
#include "soak/faultinjector.h"

#include <filesystem>
#include <fstream>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

// laburnum-soak: the driver of one soak run. It contains the platform stand-in,
// the callers, the fault injector and the invariant checker. tools/soak starts
// it and the entries.

namespace {

using namespace laburnumspread;
using namespace laburnumspread::soak;
using framework::fibers::sleepFor;
using framework::process::BadUsage;
using framework::process::exitProcess;
using framework::process::failStart;
using platform::standin::CellPlatform;
using namespace std::chrono_literals;

constexpr std::size_t MachineCount = 4;
constexpr std::size_t CallerCount = 3;
/// Longest time of fault injection before a recovery check.
constexpr milliseconds MaxFaultPhase = 8000ms;
/// Ends a wait whose condition never becomes true.
constexpr auto SettleTimeout = 90s;
/// After recovery, for this long no task of a cancelled job may run again.
constexpr auto StableTime = 2s;
constexpr auto PollInterval = 20ms;
/// Limit of findings in the verdict; the log has all of them.
constexpr std::size_t MaxPrintedFindings = 10;

struct Options {
  std::string Folder_;
  std::uint64_t Seed_ = 1;
  std::size_t Entries_ = 3;
  /// Queues that make the configuration large.
  std::size_t Queues_ = 0;
  /// Kinds of faults to inject; empty for all.
  std::vector<std::string> Faults_;
  milliseconds FaultTime_{};
};

/// One soak run. Never destroyed: its fibers run until the process exits.
class SoakRun {
public:
  SoakRun(boost::asio::io_context &Io, const Options &RunOptions)
      : Options_(RunOptions), Random_(RunOptions.Seed_), Platform_(Io),
        Entries_(RunOptions.Folder_, RunOptions.Entries_), EntryLogs_(Entries_),
        Callers_(Io, Entries_, Jobs_, FindingLog_),
        ConfigChanges_(Platform_, RunOptions.Queues_, RunOptions.Seed_),
        Io_(Io) {}

  absl::Status prepare();
  void run();
  int writeVerdict() const;

private:
  using Findings = std::vector<std::string>;

  /// Waits until \p FindProblems returns nothing; what it still returns after
  /// SettleTimeout is reported as findings.
  template <typename Check>
  void waitUntilClean(const char *What, const Check &FindProblems);
  platform::standin::TaskLedger &ledger() { return Platform_.ledger(); }
  /// Starts a proxy in front of each of the ports; returns the proxies' ports.
  absl::StatusOr<std::vector<std::uint16_t>>
  startProxies(const std::vector<std::uint16_t> &Targets,
               std::deque<FaultProxy> &Into);
  /// Findings if a platform proxy or all peer proxies forwarded no bytes:
  /// blocking them would have tested nothing.
  Findings unusedProxies() const;
  void startInvariantChecks();
  void checkRecovery();
  /// Checks for StableTime that no task of a cancelled job in \p Jobs runs
  /// again.
  void checkStaysStopped(const JobRecords &Jobs);
  void finish();

  Options Options_;
  Random Random_;
  CellPlatform Platform_;
  EntryProcesses Entries_;
  JobRecords Jobs_;
  FindingLog FindingLog_;
  EntryLogs EntryLogs_;
  Callers Callers_;
  ConfigChanges ConfigChanges_;
  std::optional<ConfigProbes> Probes_;
  std::vector<std::uint16_t> PlatformPorts_;
  boost::asio::io_context &Io_;
  FaultInjector::ProxySet Proxies_;
  std::size_t FaultCount_ = 0;
};

absl::Status SoakRun::prepare() {
  if (absl::Status Bound = Platform_.start({"127.0.0.1", 0}); !Bound.ok())
    return Bound;
  for (std::size_t I = 0; I < MachineCount; ++I)
    if (absl::Status Added = Platform_.addWorker(
            "m" + std::to_string(I), platform::standin::DefaultPool);
        !Added.ok())
      return Added;
  for (std::size_t I = 0; I < Entries_.count(); ++I) {
    const auto Port = Platform_.openPort("127.0.0.1");
    if (!Port.ok())
      return Port.status();
    PlatformPorts_.push_back(*Port);
  }
  if (absl::Status Chosen = Entries_.choosePorts(); !Chosen.ok())
    return Chosen;
  const auto Platform = startProxies(PlatformPorts_, Proxies_.ToPlatform_);
  std::vector<std::uint16_t> Targets;
  for (std::size_t I = 0; I < Entries_.count(); ++I)
    Targets.push_back(Entries_.peerPort(I));
  const auto Peers = startProxies(Targets, Proxies_.FromPeers_);
  if (!Platform.ok() || !Peers.ok())
    return Platform.ok() ? Peers.status() : Platform.status();
  return Entries_.writeSettings(*Platform, *Peers);
}

absl::StatusOr<std::vector<std::uint16_t>>
SoakRun::startProxies(const std::vector<std::uint16_t> &Targets,
                      std::deque<FaultProxy> &Into) {
  std::vector<std::uint16_t> Ports;
  for (const std::uint16_t Target : Targets) {
    const auto Port = Into.emplace_back(Io_).start(Target);
    if (!Port.ok())
      return Port.status();
    Ports.push_back(*Port);
  }
  return Ports;
}

SoakRun::Findings SoakRun::unusedProxies() const {
  Findings Result;
  for (const FaultProxy &Proxy : Proxies_.ToPlatform_)
    if (Proxy.forwardedBytes() == 0)
      Result.push_back(
          "an entry has not reached the platform through its proxy");
  const auto Used = [](const FaultProxy &Proxy) {
    return Proxy.forwardedBytes() > 0;
  };
  if (std::ranges::none_of(Proxies_.FromPeers_, Used))
    Result.push_back(
        "no entry has been reached by its peers through its proxy");
  return Result;
}

template <typename Check>
void SoakRun::waitUntilClean(const char *What, const Check &FindProblems) {
  const auto Start = framework::clock::SteadyClock().now();
  Findings Remaining = FindProblems();
  while (!Remaining.empty() &&
         framework::clock::SteadyClock().now() < Start + SettleTimeout) {
    sleepFor(PollInterval);
    Remaining = FindProblems();
  }
  FindingLog_.report(Remaining);
  const auto Elapsed = std::chrono::duration_cast<milliseconds>(
      framework::clock::SteadyClock().now() - Start);
  framework::log::info("soak.settled")
      .field("what", What)
      .field("took_ms", static_cast<std::int64_t>(Elapsed.count()))
      .field("left", static_cast<std::uint64_t>(Remaining.size()));
}

void SoakRun::startInvariantChecks() {
  framework::fibers::spawn([this] {
    while (true) {
      sleepFor(PollInterval);
      FindingLog_.report(findSafetyViolations(Jobs_, ledger()));
      FindingLog_.report(EntryLogs_.readContradictions());
      framework::log::flush();
    }
  });
}

void SoakRun::checkRecovery() {
  waitUntilClean("entries", [this]() -> Findings {
    return Callers_.allEntriesServe() ? Findings()
                                      : Findings{"an entry does not serve"};
  });
  waitUntilClean("config", [this] { return Probes_->findEntriesBehind(); });
  // Jobs cancelled during the check itself may still be running, so only jobs
  // known before it are checked.
  const JobRecords Before = Jobs_;
  waitUntilClean("cancelled",
                 [&] { return findRunningCancelledTasks(Before, ledger()); });
  checkStaysStopped(Before);
}

void SoakRun::checkStaysStopped(const JobRecords &Jobs) {
  const auto Until = framework::clock::SteadyClock().now() + StableTime;
  while (framework::clock::SteadyClock().now() < Until) {
    sleepFor(PollInterval);
    FindingLog_.report(findRunningCancelledTasks(Jobs, ledger()));
  }
}

void SoakRun::finish() {
  Callers_.stopSubmitting();
  const auto FindProblems = [this] {
    Findings Result = findUnfinishedWork(Jobs_, ledger());
    const Findings AtWork = findRunningCancelledTasks(Jobs_, ledger());
    Result.insert(Result.end(), AtWork.begin(), AtWork.end());
    return Result;
  };
  waitUntilClean("all", FindProblems);
  // Callers may cancel standing jobs during the check; their tasks are awaited
  // after it.
  const JobRecords Before = Jobs_;
  checkStaysStopped(Before);
  waitUntilClean("cancelled",
                 [this] { return findRunningCancelledTasks(Jobs_, ledger()); });
  waitUntilClean("states", [this] { return Callers_.checkFinalStates(); });
  waitUntilClean("ends", [this] { return Entries_.missingExits(); });
  FindingLog_.report(unusedProxies());
  FindingLog_.report(Entries_.unexpectedExits());
  FindingLog_.report(findSafetyViolations(Jobs_, ledger()));
  FindingLog_.report(EntryLogs_.readContradictions());
}

void SoakRun::run() {
  startInvariantChecks();
  waitUntilClean("start", [this]() -> Findings {
    return Callers_.allEntriesServe() ? Findings()
                                      : Findings{"an entry does not serve"};
  });
  Probes_.emplace(Io_, Entries_, ConfigChanges_, FindingLog_);
  Probes_->start(Options_.Seed_);
  FaultInjector Injector(Platform_, Entries_, Callers_, ConfigChanges_,
                         PlatformPorts_, Proxies_, MachineCount,
                         Random_.split());
  if (!Options_.Faults_.empty())
    Injector.limitTo(Options_.Faults_);
  Callers_.start(CallerCount, Random_.split());
  for (milliseconds Left = Options_.FaultTime_;
       Left > 0ms && !FindingLog_.hasFindings();) {
    const milliseconds Now = std::min(Left, MaxFaultPhase);
    Injector.injectFor(Now);
    Left -= Now;
    checkRecovery();
  }
  FaultCount_ = Injector.count();
  finish();
}

int SoakRun::writeVerdict() const {
  std::ofstream Out(Options_.Folder_ + "/verdict");
  Out << "seed " << Options_.Seed_ << " jobs " << Jobs_.size() << " cancels "
      << Callers_.acknowledgedCancels() << " faults " << FaultCount_
      << " versions " << ConfigChanges_.count() << " counts "
      << (Probes_ ? Probes_->answered() : 0) << " "
      << (FindingLog_.hasFindings() ? "RED" : "green") << '\n';
  std::size_t Printed = 0;
  for (const std::string &What : FindingLog_.findings())
    if (Printed++ < MaxPrintedFindings)
      Out << "  " << What << '\n';
  if (Printed > MaxPrintedFindings)
    Out << "  and " << Printed - MaxPrintedFindings << " more in driver.log\n";
  return FindingLog_.hasFindings() ? 1 : 0;
}

int serve(const Options &RunOptions) {
  framework::log::configure(framework::log::Format::KeyValue,
                            framework::log::Level::Info);
  static boost::asio::io_context Io;
  framework::fibers::useAsioScheduler(Io);
  SoakRun &Run = *new SoakRun(Io, RunOptions);
  if (absl::Status Ready = Run.prepare(); !Ready.ok())
    failStart("laburnum-soak", std::string(Ready.message()));
  std::ofstream(RunOptions.Folder_ + "/ready") << "ready\n";
  Run.run();
  exitProcess(Run.writeVerdict());
}

} // namespace

int main(int ArgCount, char **Args) {
  std::signal(SIGPIPE, SIG_IGN);
  cxxopts::Options Parser(
      "laburnum-soak",
      "Runs the platform, callers, faults and checks of one soak");
  Parser.add_options()("folder", "folder for files exchanged with tools/soak",
                       cxxopts::value<std::string>())(
      "seed", "seed of all random choices",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "how long faults are injected",
      cxxopts::value<int>()->default_value("20"))(
      "entries", "number of entries",
      cxxopts::value<std::size_t>()->default_value("3"))(
      "queues", "unused queues that make the configuration large, up to 4000",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "faults", "kinds of faults to inject, separated by commas; default: all",
      cxxopts::value<std::vector<std::string>>())("help", "print this help");
  try {
    const auto Given = Parser.parse(ArgCount, Args);
    if (Given.count("help") || !Given.count("folder")) {
      std::cout << Parser.help() << '\n';
      return Given.count("help") ? 0 : BadUsage;
    }
    std::vector<std::string> Faults;
    if (Given.count("faults"))
      Faults = Given["faults"].as<std::vector<std::string>>();
    for (const std::string &Name : Faults)
      if (!FaultInjector::isKind(Name)) {
        std::cerr << "laburnum-soak: --faults: no such kind: " << Name << '\n';
        return BadUsage;
      }
    return serve(
        {Given["folder"].as<std::string>(), Given["seed"].as<std::uint64_t>(),
         Given["entries"].as<std::size_t>(), Given["queues"].as<std::size_t>(),
         Faults, std::chrono::seconds(Given["seconds"].as<int>())});
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "laburnum-soak: " << Error.what() << '\n';
    return BadUsage;
  }
}
