#include "soak/faults.h"

#include "framework/clock/steadyclock.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/log/log.h"
#include "platform/standin/testrequests.h"

namespace laburnumspread::soak {

using framework::fibers::sleepFor;
using namespace std::chrono_literals;

namespace {

constexpr auto ShortestFault = 100ms;
constexpr auto LongestFault = 4000ms;
constexpr auto LongestPause = 1200ms;
/// One fault in so many brings others at once.
constexpr std::uint64_t BurstEvery = 6;
constexpr int BurstSize = 3;
constexpr auto LookEvery = 20ms;

void nothing() {}

} // namespace

const std::vector<Faults::Kind> Faults::Kinds = {
    {"kill", &Faults::kill},
    {"kill-all", &Faults::killAll},
    {"stop", &Faults::stop},
    {"freeze", &Faults::freeze},
    {"change-settings", &Faults::change},
    {"shut-door", &Faults::shut},
    {"shut-all-doors", &Faults::shutAll},
    {"slow-door", &Faults::slow},
    {"reset-door", &Faults::reset},
    {"mute-door", &Faults::mute},
    {"cut-platform", &Faults::cutPlatform},
    {"cut-peers", &Faults::cutPeers},
    {"cut-off", &Faults::cutOff},
    {"reset-wires", &Faults::resetWires},
    {"silence-wires", &Faults::silenceWires},
    {"lose-answers", &Faults::loseAnswers},
    {"late-answers", &Faults::lateAnswers},
    {"pause-leases", &Faults::pauseLeases},
    {"hide-workers", &Faults::hideWorkers},
    {"crash-worker", &Faults::crashWorker},
    {"lose-stops", &Faults::loseStops},
    {"lose-start-answers", &Faults::loseStartAnswers},
    {"late-starts", &Faults::lateStarts},
    {"wave", &Faults::wave},
};

Faults::Faults(CellPlatform &Platform, Entries &Served,
               std::vector<std::uint16_t> Doors, Wires &Ways,
               std::size_t Machines, std::uint64_t Seed)
    : Platform_(Platform), Served_(Served), Ways_(Ways),
      Doors_(std::move(Doors)), Machines_(Machines), Draws_(Seed) {}

void Faults::storm(milliseconds Time) {
  const auto Until = framework::clock::SteadyClock().now() + Time;
  while (framework::clock::SteadyClock().now() < Until) {
    const int Together = Draws_.onceIn(BurstEvery) ? BurstSize : 1;
    for (int I = 0; I < Together; ++I)
      beginOne();
    sleepFor(Draws_.between(0ms, LongestPause));
  }
  while (Active_ > 0)
    sleepFor(LookEvery);
}

void Faults::beginOne() {
  const Kind &Drawn = Kinds[Draws_.below(Kinds.size())];
  const auto Lasts = Draws_.between(ShortestFault, LongestFault);
  framework::log::info("soak.fault")
      .field("kind", Drawn.Name_)
      .field("lasts_ms", static_cast<std::int64_t>(Lasts.count()));
  const End Ends = (this->*Drawn.Begin_)();
  ++Count_;
  ++Active_;
  framework::fibers::spawn([this, Ends, Lasts, Name = Drawn.Name_] {
    sleepFor(Lasts);
    Ends();
    --Active_;
    framework::log::info("soak.fault_ended").field("kind", Name);
  });
}

Faults::End Faults::hold(const std::string &What,
                         const std::function<void(bool)> &Set) {
  if (++Holds_[What] == 1)
    Set(true);
  return [this, What, Set] {
    if (--Holds_[What] == 0)
      Set(false);
  };
}

Faults::End
Faults::atDoor(const std::string &What,
               const std::function<void(std::uint16_t, bool)> &Set) {
  const std::size_t Entry = anyEntry();
  framework::log::info("soak.door")
      .field("entry", static_cast<std::uint64_t>(Entry));
  return hold(What + std::to_string(Entry),
              [Set, Port = Doors_[Entry]](bool On) { Set(Port, On); });
}

Faults::End Faults::kill() {
  const std::size_t Entry = anyEntry();
  Served_.signal(Entry, Served_.process(Entry), SIGKILL);
  return nothing;
}

Faults::End Faults::killAll() {
  for (std::size_t I = 0; I < Served_.count(); ++I)
    Served_.signal(I, Served_.process(I), SIGKILL);
  return nothing;
}

Faults::End Faults::stop() {
  const std::size_t Entry = anyEntry();
  Served_.signal(Entry, Served_.process(Entry), SIGTERM);
  return nothing;
}

Faults::End Faults::freeze() {
  const std::size_t Entry = anyEntry();
  const pid_t Process = Served_.process(Entry);
  return hold("freeze" + std::to_string(Process),
              [this, Entry, Process](bool On) {
                Served_.signal(Entry, Process, On ? SIGSTOP : SIGCONT);
              });
}

Faults::End Faults::change() {
  const std::size_t Entry = anyEntry();
  if (absl::Status Written = Served_.change(Entry, Draws_.split());
      !Written.ok())
    framework::log::error("soak.settings_not_written")
        .field("reason", std::string(Written.message()));
  if (Draws_.onceIn(2))
    Served_.signal(Entry, Served_.process(Entry), SIGHUP);
  return nothing;
}

Faults::End Faults::shut() {
  return atDoor("shut", [this](std::uint16_t Port, bool On) {
    On ? Platform_.blockStoreAccess(Port) : Platform_.unblockStoreAccess(Port);
  });
}

Faults::End Faults::shutAll() {
  return hold("shut-all",
              [this](bool On) { Platform_.faults().RefuseStoreCalls_ = On; });
}

Faults::End Faults::slow() {
  const auto Delay = Draws_.between(20ms, 800ms);
  return atDoor("slow", [this, Delay](std::uint16_t Port, bool On) {
    Platform_.portFaults(Port).Delay_ = On ? Delay : 0ms;
  });
}

Faults::End Faults::reset() {
  return atDoor("reset", [this](std::uint16_t Port, bool On) {
    Platform_.portFaults(Port).Reset_ = On;
  });
}

Faults::End Faults::mute() {
  return atDoor("mute", [this](std::uint16_t Port, bool On) {
    Platform_.portFaults(Port).DropResponses_ = On;
  });
}

Faults::End Faults::cutForth(const std::string &What, Wire &Way) {
  return hold(What + "-forth", [&Way](bool On) { Way.setForthCut(On); });
}

Faults::End Faults::cutBack(const std::string &What, Wire &Way) {
  return hold(What + "-back", [&Way](bool On) { Way.setBackCut(On); });
}

Faults::End Faults::cut(const std::string &What, std::deque<Wire> &Ways) {
  enum Shape : std::uint64_t { Forth, Back, Both, Shapes };
  const std::size_t Entry = anyEntry();
  const auto Drawn = static_cast<Shape>(Draws_.below(Shapes));
  framework::log::info("soak.cut")
      .field("what", What)
      .field("entry", static_cast<std::uint64_t>(Entry))
      .field("shape", static_cast<std::uint64_t>(Drawn));
  const std::string Name = What + std::to_string(Entry);
  const End Forward = Drawn == Back ? nothing : cutForth(Name, Ways[Entry]);
  const End Backward = Drawn == Forth ? nothing : cutBack(Name, Ways[Entry]);
  return [Forward, Backward] {
    Forward();
    Backward();
  };
}

Faults::End Faults::cutOff() {
  const std::size_t Entry = anyEntry();
  framework::log::info("soak.cut_off")
      .field("entry", static_cast<std::uint64_t>(Entry));
  std::vector<End> Ends;
  for (const auto &[What, Ways] : {std::pair("platform", &Ways_.ToPlatform_),
                                   std::pair("peers", &Ways_.FromPeers_)}) {
    const std::string Name = What + std::to_string(Entry);
    Ends.push_back(cutForth(Name, (*Ways)[Entry]));
    Ends.push_back(cutBack(Name, (*Ways)[Entry]));
  }
  return [Ends] {
    for (const End &Each : Ends)
      Each();
  };
}

Wire &Faults::anyWire() {
  auto &Ways = Draws_.onceIn(2) ? Ways_.ToPlatform_ : Ways_.FromPeers_;
  return Ways[anyEntry()];
}

Faults::End Faults::resetWires() {
  anyWire().resetAll();
  return nothing;
}

Faults::End Faults::silenceWires() {
  anyWire().silenceAll();
  return nothing;
}

Faults::End Faults::loseAnswers() {
  const auto Number = static_cast<std::uint32_t>(1 + Draws_.below(5));
  return hold("lose-answers", [this, Number](bool On) {
    Platform_.faults().DropWriteResponses_ = On ? Number : 0;
  });
}

Faults::End Faults::lateAnswers() {
  const auto Delay = Draws_.between(20ms, 1000ms);
  return hold("late-answers", [this, Delay](bool On) {
    Platform_.faults().WriteResponseDelay_ = On ? Delay : 0ms;
  });
}

Faults::End Faults::pauseLeases() {
  return hold("pause-leases",
              [this](bool On) { Platform_.faults().LeaseExpiryPaused_ = On; });
}

Faults::End Faults::hideWorkers() {
  return hold("hide-workers",
              [this](bool On) { Platform_.faults().RefuseWorkerList_ = On; });
}

Faults::End Faults::crashWorker() {
  const std::string Machine = "m" + std::to_string(Draws_.below(Machines_));
  const bool Up = Platform_.crashMachine(Machine, Draws_.between(50ms, 2000ms));
  framework::log::info("soak.worker_crashed")
      .field("machine", Machine)
      .field("was_up", Up ? "yes" : "no");
  return nothing;
}

Faults::End Faults::loseStops() {
  return hold("lose-stops",
              [this](bool On) { Platform_.workerFaults().DropStops_ = On; });
}

Faults::End Faults::loseStartAnswers() {
  const auto Number = static_cast<std::uint32_t>(1 + Draws_.below(5));
  return hold("lose-start-answers", [this, Number](bool On) {
    Platform_.workerFaults().DropStartResponses_ = On ? Number : 0;
  });
}

Faults::End Faults::lateStarts() {
  const auto Delay = Draws_.between(20ms, 3000ms);
  return hold("late-starts", [this, Delay](bool On) {
    Platform_.workerFaults().StartDelay_ = On ? Delay : 0ms;
  });
}

Faults::End Faults::wave() {
  std::vector<std::string> Machines;
  for (std::size_t I = 0; I < Machines_; ++I)
    if (Draws_.onceIn(2))
      Machines.push_back("m" + std::to_string(I));
  platform::standin::writeWave(Platform_, jobs::WaveNumber(NextWave_++),
                               Machines);
  return nothing;
}

} // namespace laburnumspread::soak
