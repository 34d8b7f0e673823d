#include "../common-3/entries.h"
#include "../common-3/platform.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>

// Case 10: the first attempt of a start gets no answer; the second is carried
// out, the task ends `done`, the end is taken note of and the job is shown as
// `done`. The worker then crashes and starts again under its id. The leader has
// enough other idle workers that it knows, so it does not call the new life,
// which has seen no token and carries out the first attempt: the task runs
// again, and nobody stops it before its lease lapses.

namespace {

using namespace review3;

constexpr int Machines = 40;
constexpr std::int64_t LateMs = 8000;
constexpr const char *Job = "/orders/00000000000000cc";
constexpr const char *Task = "00000000000000cc.0.0.0";

bool awaitState(Entries &System, const char *Target, const std::string &State,
                std::int64_t TimeMs) {
  for (const std::int64_t Until = nowMs() + TimeMs; nowMs() < Until;
       sleepMs(100))
    if (System.stateOf(Target) == State)
      return true;
  return false;
}

std::vector<Start> startsOfTask(const Platform &Of) {
  auto Result = Of.starts();
  std::erase_if(Result,
                [](const Start &Item) { return Item.Run_.first != Task; });
  return Result;
}

std::string machineOf(const Platform &Of, const std::string &Worker) {
  for (int I = 0; I < Machines; ++I)
    if (const std::string Name = "m-" + std::to_string(I);
        Of.workerOn(Name) == Worker)
      return Name;
  return "";
}

int run(const std::string &Folder, const std::string &RecordFile) {
  static Record Log(RecordFile);
  static Platform Users(Log);
  static std::atomic<bool> FirstSent{false};
  if (withTrouble())
    Users.StartLateness_ = [](const Run &Item, int) -> std::int64_t {
      return Item.first == Task && !FirstSent.exchange(true) ? LateMs : 0;
    };
  Users.start();
  for (int I = 0; I < Machines; ++I)
    Users.addMachine("m-" + std::to_string(I), "kitchen",
                     "r" + std::to_string(I / 4));
  Users.write("op/config", configuration());
  Entries System(Log, Folder, Users.address());
  System.start();
  const char *Earlier = "/orders/0000000000000001";
  if (!System.awaitLeader() ||
      System.send("POST", Earlier,
                  R"({"spec":"ms=1000","steps":[{"count":40,"cpu":16000,)"
                  R"("mem_mb":512,"estimate_ms":1000}]})",
                  15'000) != 200 ||
      !awaitState(System, Earlier, "done", 20'000))
    return CouldNotRun;
  // The workers' clocks are well past the time that a new life needs until the
  // late order: its deadline is a time on the clock of the former life.
  sleepMs(10'000);
  if (System.send("POST", Job,
                  R"({"spec":"ms=500","steps":[{"count":1,"cpu":2000,)"
                  R"("mem_mb":512,"estimate_ms":500}]})",
                  15'000) != 200 ||
      !awaitState(System, Job, "done", 10'000))
    return CouldNotRun;
  Log.line("client: the job is shown as done");
  const std::string Machine = machineOf(Users, startsOfTask(Users)[0].Worker_);
  sleepMs(1500);
  Users.crashWorker(Machine);
  sleepMs(1500);
  Users.restartWorker(Machine, 0);
  sleepMs(12'000);
  const std::size_t Starts = startsOfTask(Users).size();
  Log.line("starts of the task: " + std::to_string(Starts) +
           "; breaches of TWICE: " + std::to_string(Users.twice().size()));
  return Users.twice().empty() ? Held : Broken;
}

} // namespace

int main(int Count, char **Arguments) {
  // The stand-ins' threads work until the process ends.
  std::_Exit(Count == 3 ? run(Arguments[1], Arguments[2]) : CouldNotRun);
}
