#include "../common-2/sim.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

// Six jobs that run once a minute for a month, on entries with the memory of
// the small deployments. The platform kills a process that exceeds it.

namespace {

namespace json = boost::json;
using namespace review;

constexpr int Jobs = 6;
constexpr std::int64_t MinutesOfAMonth = 43'200;
/// memory_mb of the sites.
constexpr std::int64_t MemoryMb = 260;
/// finish_s, after which jobs are asked for.
constexpr std::int64_t FinishMs = 14'000;
constexpr std::int64_t AskMs = 20'000;

std::string scheduled(std::int64_t Occurrences) {
  const std::int64_t Now =
      std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  const json::object Step{
      {"count", 6}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", 300}};
  json::object Second = Step;
  Second["after"] = json::array{0};
  return json::serialize(json::object{{"spec", "300"},
                                      {"run_count", Occurrences},
                                      {"start_at_ms", Now + 3'600'000},
                                      {"interval_ms", 60'000},
                                      {"steps", json::array{Step, Second}}});
}

int run(const std::string &Folder) {
  static Ledger Runs;
  static Platform Store;
  Store.write("op/config", configText(1));
  for (int I = 1; I <= 4; ++I) {
    WorkerShape Shape;
    Shape.Id_ = "w-" + std::to_string(I);
    Shape.Machine_ = "m-" + std::to_string(I);
    Store.addWorker(Shape, Runs);
  }
  Entries System(Folder, Store, 3);
  System.limitMemory(MemoryMb);
  if (!System.awaitReady(20'000))
    return 2;
  Client Caller(System);
  std::vector<std::string> Accepted;
  // An ordinary job first: it is accepted, and asked for at the end.
  const std::string Plain = json::serialize(
      json::object{{"spec", "200"},
                   {"steps", json::array{json::object{{"count", 2},
                                                      {"cpu", 500},
                                                      {"mem_mb", 64},
                                                      {"estimate_ms", 200}}}}});
  if (Caller.submit("00000000000000b0", Plain) != 200)
    return 2;
  Accepted.emplace_back("00000000000000b0");
  for (int I = 1; I <= Jobs; ++I) {
    const std::string Id = "00000000000000b" + std::to_string(I);
    if (Caller.submit(Id, scheduled(calm() ? 60 : MinutesOfAMonth), 10'000) ==
        200)
      Accepted.push_back(Id);
    sleepFor(500);
  }
  record(std::to_string(Accepted.size()) + " jobs are accepted");
  sleepFor(FinishMs);
  std::vector<std::string> Unknown;
  for (const std::string &Id : Accepted) {
    int Status = 0;
    const std::int64_t Since = sinceStart();
    while (Status != 200 &&
           sinceStart() - Since <
               AskMs / static_cast<std::int64_t>(Accepted.size()) + 3000) {
      const std::string State = Caller.state(Id, Status);
      record("GET " + Id + " -> " + std::to_string(Status) + " " + State);
      if (Status != 200)
        sleepFor(200);
    }
    if (Status != 200)
      Unknown.push_back(Id);
  }
  System.stop();
  record("highest use of memory seen: " + std::to_string(System.peakMb()) +
         " MB; killed for it: " + std::to_string(System.killedForMemory()) +
         "; ended by themselves: " + std::to_string(System.endedAlone()));
  for (const std::string &Id : Unknown)
    record("LOST: no answer for the accepted job " + Id);
  return Unknown.empty() ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3)
    return 2;
  openRecord(Arguments[2]);
  finish(run(Arguments[1]));
}
