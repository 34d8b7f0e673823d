#include "../common/site.h"

#include <algorithm>
#include <iostream>

// Case 1: the leader is killed while a worker has more than 500 tasks, and they
// end before the next leader asks for them.

namespace {

using namespace review;

constexpr int Entries = 6;
constexpr int Workers = 8;
constexpr int Jobs = 40;
constexpr int TasksPerJob = 32;
constexpr std::int64_t TaskMs = 4000;
/// How long before the first end the leader is killed, and for how long it is
/// gone: node_kill, for_s = 3.5.
constexpr std::int64_t KillBeforeEndMs = 100;
constexpr std::int64_t DownMs = 3500;
constexpr std::int64_t LongestMs = 40000;

const char *const Config = R"({"version":7,
 "routes":[{"name":"r-release","hostname":"jobs.example",
  "path_prefix":"/release/","kind":"unsafe","timeout_ms":3000,
  "target_latency_ms":600,"priority":0,"backend":"saldo","max_attempts":3,
  "stretch":1.6,"public":false}],
 "services":[{"name":"saldo","health_path":"/health","max_connections":64,
  "protocol":"h1","tls":false,"admission_check":false,"standby":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"member","api_keys":["review-key"],"priority":1,
  "weight":48,"max_allowed":{"cpu":0,"mem_mb":0,"gpu":0}}]})";

std::string pathOf(int Job) {
  std::string Id = std::to_string(Job);
  Id.insert(0, 16 - Id.size(), '0');
  return "/release/" + Id;
}

/// The ends on the worker that has most, and when the first of them came.
std::size_t mostEnds(const std::vector<RunRow> &Rows) {
  std::map<std::string, std::size_t> Counts;
  std::size_t Most = 0;
  for (const RunRow &Row : Rows)
    if (Row.How_ == "done")
      Most = std::max(Most, ++Counts[Row.Worker_]);
  return Most;
}

int run(const std::string &Root, const std::string &Folder) {
  Record To(Folder + "/record.txt");
  Site Here(Root, To);
  Here.setConfig(Config);
  if (!Here.startPlatform() ||
      !Here.addWorkers(Workers, {"saldo", "", "", 64000, 131072}) ||
      !Here.startEntries(Entries) || !Here.awaitService("/release/", 20000))
    return NotRun;
  // All entries have met the leader, and none has been disrupted for
  // contact_ms.
  for (const Entry &Each : Here.entries())
    Here.request(Each, "GET", "/release/", "");
  sleepMs(3500);
  const std::string Body =
      R"({"spec":")" + std::to_string(TaskMs) + R"(","steps":[{"count":)" +
      std::to_string(TasksPerJob) + R"(,"cpu":50,"mem_mb":100,"estimate_ms":)" +
      std::to_string(TaskMs) + "}]}";
  // One after the other: the ends come over half a second and more, so that a
  // leader that is not disrupted takes note of them in time.
  for (int Job = 0; Job < Jobs; ++Job)
    if (!Here.submit(pathOf(Job), Body, 10000))
      return NotRun;
  const std::int64_t Until = To.nowMs() + LongestMs;
  std::int64_t FirstEnd = -1;
  while (FirstEnd < 0 && To.nowMs() < Until) {
    sleepMs(5);
    const auto Rows = Here.ledger().rows();
    if (!Rows.empty())
      FirstEnd = Rows.front().StartedMs_ + TaskMs;
  }
  sleepMs(FirstEnd - KillBeforeEndMs - To.nowMs());
  Entry *Leader = Here.leader();
  if (!Leader)
    return NotRun;
  To.line("runs so far: " + std::to_string(Here.ledger().rows().size()) +
          ", leader " + Leader->Name_);
  if (!withoutTrouble()) {
    Here.kill(*Leader);
    sleepMs(DownMs);
    if (!Here.launch(*Leader))
      return NotRun;
  }
  int Done = 0;
  while (Done < Jobs && To.nowMs() < Until) {
    sleepMs(500);
    for (Done = 0; Done < Jobs; ++Done)
      if (Here.state(pathOf(Done)) != "done")
        break;
  }
  // Late runs would still be seen.
  sleepMs(5000);
  const auto Rows = Here.ledger().rows();
  const auto Broken = brokenTwice(Rows);
  for (const std::string &Each : Broken)
    To.line("TWICE " + Each);
  const std::string Sum =
      std::to_string(Jobs * TasksPerJob) + " tasks, " +
      std::to_string(Rows.size()) + " runs, " + std::to_string(mostEnds(Rows)) +
      " ends `done` on one worker, " + std::to_string(Done) + " of " +
      std::to_string(Jobs) + " jobs done, TWICE broken " +
      std::to_string(Broken.size()) + " times";
  To.line(Sum);
  std::cout << Sum << std::endl;
  if (Done < Jobs)
    return Broken.empty() ? NotRun : RuleBroken;
  return Broken.empty() ? RuleHeld : RuleBroken;
}

} // namespace

int main(int Count, char **Arguments) {
  return Count == 3 ? run(Arguments[1], Arguments[2]) : NotRun;
}
