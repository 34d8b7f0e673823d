#include "../common-3/entries.h"
#include "../common-3/platform.h"

#include <cstdlib>

// Case 12: a configuration lowers a tenant's `max_allowed` below the size of
// one of its tasks. QUOTA allows one task more than the limit, and the tenant
// has nothing running, but no task of the accepted job is started any more.

namespace {

using namespace review3;

constexpr const char *Job = "/orders/00000000000000cd";
/// RULES.md: jobs are asked for finish_s after the end of the traffic.
constexpr std::int64_t FinishMs = 14'000;

std::string withLimit(int Version, std::int64_t MilliCpus) {
  return R"({"version": )" + std::to_string(Version) + R"(,
 "routes": [{"name": "orders", "hostname": "jobs.example",
             "path_prefix": "/orders/", "target_latency_ms": 600,
             "priority": 0, "backend": "kitchen", "max_attempts": 3,
             "stretch": 1.6, "public": false}],
 "services": [{"name": "kitchen", "standby": false, "admission_check": false}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
 "tenants": [{"name": "caterers", "api_keys": ["trial-key"], "weight": 1,
              "max_allowed": {"cpu": )" +
         std::to_string(MilliCpus) + R"(, "mem_mb": 0, "gpu": 0}}]})";
}

int run(const std::string &Folder, const std::string &RecordFile) {
  static Record Log(RecordFile);
  static Platform Users(Log);
  Users.start();
  for (int I = 0; I < 4; ++I)
    Users.addMachine("m-" + std::to_string(I), "kitchen",
                     "r" + std::to_string(I / 2));
  Users.write("op/config", withLimit(1, 16'000));
  Entries System(Log, Folder, Users.address());
  System.start();
  if (!System.awaitLeader() ||
      System.send("POST", Job,
                  R"({"spec":"ms=2000","steps":[{"count":2,"cpu":2000,)"
                  R"("mem_mb":512,"estimate_ms":2000},{"count":2,"cpu":2000,)"
                  R"("mem_mb":512,"estimate_ms":2000,"after":[0]}]})",
                  15'000) != 200)
    return CouldNotRun;
  sleepMs(500);
  if (withTrouble())
    Users.write("op/config", withLimit(2, 1500));
  std::string State;
  for (const std::int64_t Until = nowMs() + FinishMs + 10'000;
       State != "done" && nowMs() < Until; sleepMs(500)) {
    State = System.stateOf(Job);
    Log.line("client: state of the job: " + State);
  }
  Log.line("starts: " + std::to_string(Users.starts().size()) +
           " of 4; the job is shown as " + State);
  if (State.empty())
    return CouldNotRun;
  return State == "done" ? Held : Broken;
}

} // namespace

int main(int Count, char **Arguments) {
  // The stand-ins' threads work until the process ends.
  std::_Exit(Count == 3 ? run(Arguments[1], Arguments[2]) : CouldNotRun);
}
