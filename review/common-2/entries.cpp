#include "sim.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {

constexpr const char *Program = "target/src/app/laburnumspreadd";
constexpr std::int64_t RestartDelayMs = 500;
constexpr std::int64_t WatchIntervalMs = 50;
constexpr std::int64_t CallTimeoutMs = 3000;

std::mutex &recordMutex() {
  static std::mutex Result;
  return Result;
}

std::ofstream &recordFile() {
  static std::ofstream Result;
  return Result;
}

Steady::time_point startTime() {
  static const Steady::time_point Result = Steady::now();
  return Result;
}

std::string at(int Port) { return "127.0.0.1:" + std::to_string(Port); }

} // namespace

void openRecord(const std::string &File) {
  startTime();
  recordFile().open(File, std::ios::trunc);
}

void record(const std::string &Line) {
  const std::lock_guard<std::mutex> Lock(recordMutex());
  recordFile() << sinceStart() << " ms  " << Line << std::endl;
}

std::int64_t sinceStart() {
  return std::chrono::duration_cast<Millis>(Steady::now() - startTime())
      .count();
}

void sleepFor(std::int64_t Time) { std::this_thread::sleep_for(Millis(Time)); }

void finish(int Result) {
  std::cout << (Result == 0   ? "held"
                : Result == 1 ? "broken"
                              : "could not run")
            << std::endl;
  std::_Exit(Result);
}

bool calm() {
  const char *Value = std::getenv("TROUBLE");
  return Value && std::string(Value) == "0";
}

Entries::Entries(std::string Folder, const Platform &At, int Count,
                 const std::string &Advisor,
                 const std::vector<std::string> &Stores)
    : Folder_(std::move(Folder)) {
  for (int I = 0; I < Count; ++I) {
    Ports_.push_back({freePort(), freePort(), freePort(), freePort()});
    Pids_.push_back(0);
    writeSettings(I, Stores.empty() ? At.address() : Stores[I], Advisor);
  }
  for (int I = 0; I < Count; ++I)
    startOne(I);
  Watcher_ = std::thread([this] { watchLoop(); });
}

Entries::~Entries() { stop(); }

void Entries::writeSettings(int Entry, const std::string &Store,
                            const std::string &Advisor) const {
  const EntryPorts &Own = Ports_[Entry];
  json::object Services{{"machines", Store}};
  if (!Advisor.empty())
    Services["advisor"] = Advisor;
  // The fields of deploy/entry.json, as the platform fills them in.
  const json::object Settings{
      {"kind", "cell"},
      {"name", "edge-" + std::to_string(Entry + 1)},
      {"zone", "z1"},
      {"listen", json::object{{"callers", at(Own.Callers_)},
                              {"readiness", at(Own.Readiness_)},
                              {"peers", at(Own.Peers_)},
                              {"metrics", at(Own.Metrics_)}}},
      {"store",
       json::object{{"address", Store}, {"prefix", "laburnumspread/"}}},
      {"services", Services},
      {"peerKeys",
       json::object{{"public", "Kug:Xwfi((=pHSf+6Fs]}ti**a04.g6bbp!7Tnl]"},
                    {"secret", "H]CV8byzv3VfFmgq[K6wqPJFtgl]C7<JCvo[oG%U"}}},
      {"capacity", json::object{{"cores", 1}, {"linkMbps", 1000}}},
      {"bounds", json::object{{"longestHoldMs", 6000},
                              {"statusKeptSeconds", 120},
                              {"gangTimeoutMs", 3000},
                              {"machineLeaseMs", 3000},
                              {"farFactor", 3},
                              {"moveSeconds", 1.5},
                              {"upkeepSeconds", 2},
                              {"evacuationMs", 0},
                              {"graceSeconds", 6}}},
      {"log", json::object{{"format", "kv"}, {"level", "info"}}}};
  std::ofstream(Folder_ + "/entry-" + std::to_string(Entry + 1) + ".json")
      << json::serialize(Settings);
}

void Entries::startOne(int Entry) {
  const std::string Name = Folder_ + "/entry-" + std::to_string(Entry + 1);
  const std::string Settings = Name + ".json";
  const std::string Log = Name + ".log";
  const int Pid = ::fork();
  if (Pid == 0) {
    // No entry outlives the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Out =
        ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(Out, STDOUT_FILENO);
    ::dup2(Out, STDERR_FILENO);
    ::execl(Program, Program, "--config", Settings.c_str(),
            "--store-value-bytes", "1048576", "--set", "bounds.configMs=2000",
            static_cast<char *>(nullptr));
    std::_Exit(127);
  }
  Pids_[Entry] = Pid;
}

std::int64_t Entries::residentMb(int Pid) const {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/status");
  std::string Line;
  while (std::getline(In, Line))
    if (Line.starts_with("VmRSS:"))
      return std::atoll(Line.substr(6).c_str()) / 1024;
  return 0;
}

void Entries::watchLoop() {
  std::vector<std::int64_t> StartAt(Pids_.size(), 0);
  while (!Stopping_) {
    sleepFor(WatchIntervalMs);
    const std::lock_guard<std::mutex> Lock(Mutex_);
    for (int I = 0; I < count() && !Stopping_; ++I) {
      const std::string Name = "entry " + std::to_string(I + 1);
      if (Pids_[I] == 0) {
        if (sinceStart() >= StartAt[I]) {
          startOne(I);
          record(Name + " is started again");
        }
        continue;
      }
      int Status = 0;
      if (::waitpid(Pids_[I], &Status, WNOHANG) == Pids_[I]) {
        ++EndedAlone_;
        record(Name + " has ended by itself, status " + std::to_string(Status));
        Pids_[I] = 0;
        StartAt[I] = sinceStart() + RestartDelayMs;
        continue;
      }
      const std::int64_t Used = residentMb(Pids_[I]);
      PeakMb_ = std::max<std::int64_t>(PeakMb_, Used);
      if (MemoryMb_ == 0 || Used <= MemoryMb_)
        continue;
      ::kill(Pids_[I], SIGKILL);
      ::waitpid(Pids_[I], &Status, 0);
      ++KilledForMemory_;
      record(Name + " uses " + std::to_string(Used) +
             " MB and is killed: more than memory_mb = " +
             std::to_string(MemoryMb_));
      Pids_[I] = 0;
      StartAt[I] = sinceStart() + RestartDelayMs;
    }
  }
}

bool Entries::awaitReady(std::int64_t Time) {
  const auto Until = Steady::now() + Millis(Time);
  for (const EntryPorts &Item : Ports_)
    while (true) {
      const auto Answer =
          httpCall(Item.Readiness_, "GET", "/api/ready", {}, "", 500);
      if (Answer && Answer->Status_ == 200)
        break;
      if (Steady::now() > Until)
        return false;
      sleepFor(50);
    }
  return true;
}

void Entries::stop() {
  if (Stopping_.exchange(true))
    return;
  Watcher_.join();
  for (const int Pid : Pids_)
    if (Pid != 0) {
      ::kill(Pid, SIGKILL);
      ::waitpid(Pid, nullptr, 0);
    }
}

std::optional<HttpAnswer> Client::call(const std::string &Method,
                                       const std::string &Id,
                                       const std::string &Body) {
  const int Entry = Next_++ % Of_.count();
  return httpCall(Of_.ports(Entry).Callers_, Method, "/orders/" + Id,
                  {{"Host", "jobs.example"},
                   {"X-Credential", "key-a"},
                   {"X-Timeout-Ms", std::to_string(CallTimeoutMs)},
                   {"Content-Type", "application/json"}},
                  Body, CallTimeoutMs);
}

int Client::submit(const std::string &Id, const std::string &Body,
                   std::int64_t GiveUpAfterMs) {
  const auto Until = Steady::now() + Millis(GiveUpAfterMs);
  int Status = 0;
  while (true) {
    const auto Answer = call("POST", Id, Body);
    Status = Answer ? Answer->Status_ : 0;
    record("POST " + Id + " -> " + std::to_string(Status));
    const bool Again = Status == 0 || Status == 502 || Status == 503 ||
                       Status == 504 || Status == 429;
    if (!Again || Steady::now() > Until)
      return Status;
    sleepFor(200);
  }
}

std::string Client::state(const std::string &Id, int &Status) {
  const auto Answer = call("GET", Id, "");
  Status = Answer ? Answer->Status_ : 0;
  if (Status != 200)
    return "";
  json::error_code Error;
  const json::value Body = json::parse(Answer->Body_, Error);
  const json::value *State = !Error && Body.is_object()
                                 ? Body.get_object().if_contains("state")
                                 : nullptr;
  return State && State->is_string() ? State->get_string().c_str() : "";
}

std::string configText(int Version, const json::object &Recommendation) {
  json::object Route{{"name", "orders"},
                     {"hostname", "jobs.example"},
                     {"path_prefix", "/orders/"},
                     {"target_latency_ms", 600},
                     {"priority", 0},
                     {"backend", "kitchen"},
                     {"max_attempts", 4},
                     {"stretch", 1.6},
                     {"public", false}};
  if (!Recommendation.empty())
    Route["recommendation"] = Recommendation;
  return json::serialize(json::object{
      {"version", Version},
      {"routes", json::array{Route}},
      {"services", json::array{json::object{{"name", "kitchen"},
                                            {"standby", false},
                                            {"admission_check", false}}}},
      {"limits",
       json::object{{"max_header_bytes", 16384}, {"max_body_bytes", 262144}}},
      {"tenants",
       json::array{json::object{
           {"name", "caterers"},
           {"api_keys", json::array{"key-a"}},
           {"weight", 1},
           {"max_allowed",
            json::object{{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}}}});
}

} // namespace review
