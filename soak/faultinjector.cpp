#include "soak/faultinjector.h"

#include "framework/clock/steadyclock.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/log/log.h"
#include "platform/standin/oddentries.h"
#include "platform/standin/testrequests.h"

namespace laburnumspread::soak {

using framework::fibers::sleepFor;
using namespace std::chrono_literals;

namespace {

constexpr auto MinFaultTime = 100ms;
constexpr auto MaxFaultTime = 4000ms;
constexpr auto MaxPause = 1200ms;
/// One injection in this many injects BurstSize faults at once.
constexpr std::uint64_t BurstOdds = 6;
constexpr int BurstSize = 3;
/// About as late as a process is that has little processor time.
constexpr auto MinBriefPause = 150ms;
constexpr auto MaxBriefPause = 400ms;
constexpr auto MaxBetweenBriefPauses = 300ms;
/// Time in which another entry takes over and sends orders.
constexpr auto MinBetweenPowerLosses = 700ms;
constexpr auto MaxBetweenPowerLosses = 1500ms;
/// Most leaders that lose power in a run. A worker has 64 connections, which it
/// never gets back from them, so three for each still leave some.
constexpr std::size_t MaxPowerLosses = 19;
/// So that any key, also an odd one, ends a page.
constexpr std::size_t SmallPageItems = 1;
/// Callers that submit more than the pool can do.
constexpr std::size_t CrowdSize = 10;
/// Changes of the configuration that follow each other at once, and some that
/// an entry has time for.
constexpr auto MaxBetweenStormChanges = 120ms;
constexpr auto MaxBetweenChanges = 900ms;
constexpr auto PollInterval = 20ms;

void noRevert() {}

} // namespace

const std::vector<FaultInjector::Kind> FaultInjector::Kinds = {
    {"kill", &FaultInjector::kill},
    {"kill-all", &FaultInjector::killAll},
    {"stop", &FaultInjector::stop},
    {"freeze", &FaultInjector::freeze},
    {"pause-briefly", &FaultInjector::pauseBriefly},
    {"change-settings", &FaultInjector::changeSettings},
    {"block-store-access", &FaultInjector::blockStoreAccess},
    {"refuse-store-calls", &FaultInjector::refuseStoreCalls},
    {"delay-requests", &FaultInjector::delayRequests},
    {"reset-requests", &FaultInjector::resetRequests},
    {"drop-responses", &FaultInjector::dropResponses},
    {"cut-platform", &FaultInjector::cutPlatform},
    {"cut-peers", &FaultInjector::cutPeers},
    {"cut-off", &FaultInjector::cutOff},
    {"reset-connections", &FaultInjector::resetConnections},
    {"stall-connections", &FaultInjector::stallConnections},
    {"lose-answers", &FaultInjector::loseAnswers},
    {"late-answers", &FaultInjector::lateAnswers},
    {"pause-leases", &FaultInjector::pauseLeases},
    {"hide-workers", &FaultInjector::hideWorkers},
    {"drop-history", &FaultInjector::dropHistory},
    {"add-odd-entries", &FaultInjector::addOddEntries},
    {"overwrite-worker", &FaultInjector::overwriteWorker},
    {"crash-worker", &FaultInjector::crashWorker},
    {"lose-stops", &FaultInjector::loseStops},
    {"lose-start-answers", &FaultInjector::loseStartAnswers},
    {"late-starts", &FaultInjector::lateStarts},
    {"wave", &FaultInjector::wave},
    {"crowd", &FaultInjector::crowd},
    {"lose-power", &FaultInjector::losePower},
    {"change-config", &FaultInjector::changeConfig},
};

FaultInjector::FaultInjector(CellPlatform &Platform, EntryProcesses &Entries,
                             Callers &Workload, ConfigChanges &Changes,
                             std::vector<std::uint16_t> PlatformPorts,
                             ProxySet &Proxies, std::size_t MachineCount,
                             std::uint64_t Seed)
    : Platform_(Platform), Entries_(Entries), Callers_(Workload),
      ConfigChanges_(Changes), Proxies_(Proxies),
      PlatformPorts_(std::move(PlatformPorts)), MachineCount_(MachineCount),
      Random_(Seed) {}

bool FaultInjector::isKind(std::string_view Name) {
  return std::ranges::find(Kinds, Name, &Kind::Name_) != Kinds.end();
}

void FaultInjector::limitTo(const std::vector<std::string> &Names) {
  std::erase_if(Kinds_, [&](const Kind &Each) {
    return std::ranges::find(Names, Each.Name_) == Names.end();
  });
}

void FaultInjector::injectFor(milliseconds Time) {
  const auto Until = framework::clock::SteadyClock().now() + Time;
  while (framework::clock::SteadyClock().now() < Until) {
    const int Simultaneous = Random_.oneIn(BurstOdds) ? BurstSize : 1;
    for (int I = 0; I < Simultaneous; ++I)
      injectOne();
    sleepFor(Random_.between(0ms, MaxPause));
  }
  while (Active_ > 0)
    sleepFor(PollInterval);
}

void FaultInjector::injectOne() {
  const Kind &Drawn = Kinds_[Random_.below(Kinds_.size())];
  const auto Length = Random_.between(MinFaultTime, MaxFaultTime);
  framework::log::info("soak.fault")
      .field("kind", Drawn.Name_)
      .field("lasts_ms", static_cast<std::int64_t>(Length.count()));
  const Revert RevertFault = (this->*Drawn.Inject_)();
  ++Count_;
  ++Active_;
  framework::fibers::spawn([this, RevertFault, Length, Name = Drawn.Name_] {
    sleepFor(Length);
    RevertFault();
    --Active_;
    framework::log::info("soak.fault_ended").field("kind", Name);
  });
}

FaultInjector::Revert
FaultInjector::applyShared(const std::string &What,
                           const std::function<void(bool)> &Set) {
  if (++ActiveByName_[What] == 1)
    Set(true);
  return [this, What, Set] {
    if (--ActiveByName_[What] == 0)
      Set(false);
  };
}

FaultInjector::Revert FaultInjector::onPlatformPort(
    const std::string &What,
    const std::function<void(std::uint16_t, bool)> &Set) {
  const std::size_t Entry = randomEntry();
  framework::log::info("soak.platform_port")
      .field("entry", static_cast<std::uint64_t>(Entry));
  return applyShared(
      What + std::to_string(Entry),
      [Set, Port = PlatformPorts_[Entry]](bool On) { Set(Port, On); });
}

FaultInjector::Revert FaultInjector::kill() {
  const std::size_t Entry = randomEntry();
  Entries_.signal(Entry, Entries_.processId(Entry), SIGKILL);
  return noRevert;
}

FaultInjector::Revert FaultInjector::killAll() {
  for (std::size_t I = 0; I < Entries_.count(); ++I)
    Entries_.signal(I, Entries_.processId(I), SIGKILL);
  return noRevert;
}

FaultInjector::Revert FaultInjector::stop() {
  const std::size_t Entry = randomEntry();
  Entries_.signal(Entry, Entries_.processId(Entry), SIGTERM);
  return noRevert;
}

FaultInjector::Revert FaultInjector::freeze() {
  return stopProcess(randomEntry());
}

FaultInjector::Revert FaultInjector::pauseBriefly() {
  const auto Over = std::make_shared<bool>(false);
  framework::fibers::spawn([this, Over] { pauseInSeries(Over); });
  return [Over] { *Over = true; };
}

void FaultInjector::pauseInSeries(const std::shared_ptr<bool> &Over) {
  ++Active_;
  while (!*Over) {
    const Revert Resume = stopProcess(leaderOrRandomEntry());
    sleepFor(Random_.between(MinBriefPause, MaxBriefPause));
    Resume();
    sleepFor(Random_.between(0ms, MaxBetweenBriefPauses));
  }
  --Active_;
}

std::optional<std::size_t> FaultInjector::leader() const {
  const auto Head = Platform_.read(EntryProcesses::cellKeys().head());
  const auto Leader =
      Head ? journal::decodeLeader(*Head, fleet::Revision(0)) : std::nullopt;
  const std::size_t Index =
      Leader ? Entries_.indexOf(Leader->Entry_.str()) : Entries_.count();
  return Index < Entries_.count() ? std::optional(Index) : std::nullopt;
}

std::size_t FaultInjector::leaderOrRandomEntry() {
  const auto Leader = leader();
  const std::size_t Other = randomEntry();
  const bool AskLeader = Random_.oneIn(2);
  return AskLeader ? Leader.value_or(Other) : Other;
}

FaultInjector::Revert FaultInjector::losePower() {
  const auto Over = std::make_shared<bool>(false);
  framework::fibers::spawn([this, Over] { losePowerInSeries(Over); });
  return [Over] { *Over = true; };
}

void FaultInjector::losePowerInSeries(const std::shared_ptr<bool> &Over) {
  ++Active_;
  while (!*Over && PowerLosses_ < MaxPowerLosses) {
    if (const auto Leader = leader()) {
      ++PowerLosses_;
      Platform_.leaveWorkerConnections();
      Entries_.signal(*Leader, Entries_.processId(*Leader), SIGKILL);
    }
    sleepFor(Random_.between(MinBetweenPowerLosses, MaxBetweenPowerLosses));
  }
  --Active_;
}

FaultInjector::Revert FaultInjector::stopProcess(std::size_t Entry) {
  const pid_t Process = Entries_.processId(Entry);
  return applyShared("freeze" + std::to_string(Process),
                     [this, Entry, Process](bool On) {
                       Entries_.signal(Entry, Process, On ? SIGSTOP : SIGCONT);
                     });
}

FaultInjector::Revert FaultInjector::changeSettings() {
  const std::size_t Entry = randomEntry();
  if (absl::Status Written = Entries_.changeSettings(Entry, Random_.split());
      !Written.ok())
    framework::log::error("soak.settings_not_written")
        .field("reason", std::string(Written.message()));
  if (Random_.oneIn(2))
    Entries_.signal(Entry, Entries_.processId(Entry), SIGHUP);
  return noRevert;
}

FaultInjector::Revert FaultInjector::blockStoreAccess() {
  return onPlatformPort("block", [this](std::uint16_t Port, bool On) {
    On ? Platform_.blockStoreAccess(Port) : Platform_.unblockStoreAccess(Port);
  });
}

FaultInjector::Revert FaultInjector::refuseStoreCalls() {
  return applyShared("refuse-all", [this](bool On) {
    Platform_.faults().RefuseStoreCalls_ = On;
  });
}

FaultInjector::Revert FaultInjector::delayRequests() {
  const auto Delay = Random_.between(20ms, 800ms);
  return onPlatformPort("slow", [this, Delay](std::uint16_t Port, bool On) {
    Platform_.portFaults(Port).Delay_ = On ? Delay : 0ms;
  });
}

FaultInjector::Revert FaultInjector::resetRequests() {
  return onPlatformPort("reset", [this](std::uint16_t Port, bool On) {
    Platform_.portFaults(Port).Reset_ = On;
  });
}

FaultInjector::Revert FaultInjector::dropResponses() {
  return onPlatformPort("drop", [this](std::uint16_t Port, bool On) {
    Platform_.portFaults(Port).DropResponses_ = On;
  });
}

FaultInjector::Revert FaultInjector::cutUpstream(const std::string &What,
                                                 FaultProxy &Proxy) {
  return applyShared(What + "-forth",
                     [&Proxy](bool On) { Proxy.setUpstreamBlocked(On); });
}

FaultInjector::Revert FaultInjector::cutDownstream(const std::string &What,
                                                   FaultProxy &Proxy) {
  return applyShared(What + "-back",
                     [&Proxy](bool On) { Proxy.setDownstreamBlocked(On); });
}

FaultInjector::Revert FaultInjector::cut(const std::string &What,
                                         std::deque<FaultProxy> &Proxies) {
  enum Direction : std::uint64_t { Upstream, Downstream, Both, DirectionCount };
  const std::size_t Entry = randomEntry();
  const auto Drawn = static_cast<Direction>(Random_.below(DirectionCount));
  framework::log::info("soak.cut")
      .field("what", What)
      .field("entry", static_cast<std::uint64_t>(Entry))
      .field("shape", static_cast<std::uint64_t>(Drawn));
  const std::string Name = What + std::to_string(Entry);
  const Revert RevertUpstream =
      Drawn == Downstream ? noRevert : cutUpstream(Name, Proxies[Entry]);
  const Revert RevertDownstream =
      Drawn == Upstream ? noRevert : cutDownstream(Name, Proxies[Entry]);
  return [RevertUpstream, RevertDownstream] {
    RevertUpstream();
    RevertDownstream();
  };
}

FaultInjector::Revert FaultInjector::cutOff() {
  const std::size_t Entry = randomEntry();
  framework::log::info("soak.cut_off")
      .field("entry", static_cast<std::uint64_t>(Entry));
  std::vector<Revert> Reverts;
  for (const auto &[What, Proxies] :
       {std::pair("platform", &Proxies_.ToPlatform_),
        std::pair("peers", &Proxies_.FromPeers_)}) {
    const std::string Name = What + std::to_string(Entry);
    Reverts.push_back(cutUpstream(Name, (*Proxies)[Entry]));
    Reverts.push_back(cutDownstream(Name, (*Proxies)[Entry]));
  }
  return [Reverts] {
    for (const Revert &Each : Reverts)
      Each();
  };
}

FaultProxy &FaultInjector::randomProxy() {
  auto &Proxies = Random_.oneIn(2) ? Proxies_.ToPlatform_ : Proxies_.FromPeers_;
  return Proxies[randomEntry()];
}

FaultInjector::Revert FaultInjector::resetConnections() {
  randomProxy().resetConnections();
  return noRevert;
}

FaultInjector::Revert FaultInjector::stallConnections() {
  randomProxy().stallConnections();
  return noRevert;
}

FaultInjector::Revert FaultInjector::loseAnswers() {
  const auto Number = static_cast<std::uint32_t>(1 + Random_.below(5));
  return applyShared("lose-answers", [this, Number](bool On) {
    Platform_.faults().DropWriteResponses_ = On ? Number : 0;
  });
}

FaultInjector::Revert FaultInjector::lateAnswers() {
  const auto Delay = Random_.between(20ms, 1000ms);
  return applyShared("late-answers", [this, Delay](bool On) {
    Platform_.faults().WriteResponseDelay_ = On ? Delay : 0ms;
  });
}

FaultInjector::Revert FaultInjector::pauseLeases() {
  return applyShared("pause-leases", [this](bool On) {
    Platform_.faults().LeaseExpiryPaused_ = On;
  });
}

FaultInjector::Revert FaultInjector::hideWorkers() {
  return applyShared("hide-workers", [this](bool On) {
    Platform_.faults().RefuseWorkerList_ = On;
  });
}

FaultInjector::Revert FaultInjector::dropHistory() {
  Platform_.dropHistory();
  return noRevert;
}

FaultInjector::Revert FaultInjector::addOddEntries() {
  const std::string Prefix = "servers/odd-" + std::to_string(Count_);
  std::vector<std::string> Keys;
  for (const std::string &Ending : platform::standin::oddEndings()) {
    Keys.push_back(Prefix + Ending);
    Platform_.write(Keys.back(), randomOddEntry());
  }
  const Revert Repaged = applyShared("small-pages", [this](bool On) {
    Platform_.limits().MaxPageItems_ =
        On ? SmallPageItems : platform::standin::StoreLimits().MaxPageItems_;
  });
  return [this, Keys, Repaged] {
    Repaged();
    for (const std::string &Key : Keys)
      Platform_.remove(Key);
  };
}

FaultInjector::Revert FaultInjector::overwriteWorker() {
  const std::vector<std::string> Keys = Platform_.workerKeys();
  if (Keys.empty())
    return noRevert;
  const std::string &Key = Keys[Random_.below(Keys.size())];
  const std::string Own = Platform_.read(Key).value();
  const std::string Odd = randomOddEntry();
  Platform_.write(Key, Odd);
  return [this, Key, Own, Odd] {
    // The worker may have ended, or written its entry, meanwhile.
    if (Platform_.read(Key) == Odd)
      Platform_.write(Key, Own);
  };
}

std::string FaultInjector::randomOddEntry() {
  if (Random_.oneIn(2)) {
    const std::vector<std::string> Values =
        platform::standin::unreadableValues();
    return Values[Random_.below(Values.size())];
  }
  const auto &Fields = platform::standin::oddFields();
  return platform::standin::entryWith(Fields[Random_.below(Fields.size())]);
}

FaultInjector::Revert FaultInjector::crashWorker() {
  const std::string Machine =
      "m" + std::to_string(Random_.below(MachineCount_));
  const bool Up =
      Platform_.crashMachine(Machine, Random_.between(50ms, 2000ms));
  framework::log::info("soak.worker_crashed")
      .field("machine", Machine)
      .field("was_up", Up ? "yes" : "no");
  return noRevert;
}

FaultInjector::Revert FaultInjector::loseStops() {
  return applyShared("lose-stops", [this](bool On) {
    Platform_.workerFaults().DropStops_ = On;
  });
}

FaultInjector::Revert FaultInjector::loseStartAnswers() {
  const auto Number = static_cast<std::uint32_t>(1 + Random_.below(5));
  return applyShared("lose-start-answers", [this, Number](bool On) {
    Platform_.workerFaults().DropStartResponses_ = On ? Number : 0;
  });
}

FaultInjector::Revert FaultInjector::lateStarts() {
  const auto Delay = Random_.between(20ms, 3000ms);
  return applyShared("late-starts", [this, Delay](bool On) {
    Platform_.workerFaults().StartDelay_ = On ? Delay : 0ms;
  });
}

FaultInjector::Revert FaultInjector::wave() {
  std::vector<std::string> Machines;
  for (std::size_t I = 0; I < MachineCount_; ++I)
    if (Random_.oneIn(2))
      Machines.push_back("m" + std::to_string(I));
  platform::standin::writeWave(Platform_, jobs::WaveNumber(NextWave_++),
                               Machines);
  return noRevert;
}

FaultInjector::Revert FaultInjector::crowd() {
  return Callers_.startCrowd(CrowdSize, Random_.split());
}

FaultInjector::Revert FaultInjector::changeConfig() {
  const auto Over = std::make_shared<bool>(false);
  framework::fibers::spawn([this, Over] { changeConfigInSeries(Over); });
  return [Over] { *Over = true; };
}

void FaultInjector::changeConfigInSeries(const std::shared_ptr<bool> &Over) {
  ++Active_;
  const milliseconds MaxPause =
      Random_.oneIn(2) ? MaxBetweenStormChanges : MaxBetweenChanges;
  while (!*Over) {
    ConfigChanges_.change();
    sleepFor(Random_.between(0ms, MaxPause));
  }
  --Active_;
}

} // namespace laburnumspread::soak
