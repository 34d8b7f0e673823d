#include "entries.h"

#include <csignal>
#include <cstdlib>
#include <fstream>

#include <boost/json/parse.hpp>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review3 {

namespace {

constexpr const char *Program = "target/src/app/laburnumspreadd";

} // namespace

Entries::Entries(Record &Log, std::string Folder, std::string Platform)
    : Log_(Log), Folder_(std::move(Folder)), Platform_(std::move(Platform)) {
  for (int I = 1; I <= 3; ++I)
    All_.push_back({"edge-" + std::to_string(I), freePort(), freePort(),
                    freePort(), freePort(), 0});
}

Entries::~Entries() {
  for (const Entry &Item : All_)
    if (Item.Process_ > 0) {
      ::kill(Item.Process_, SIGKILL);
      waitpid(Item.Process_, nullptr, 0);
    }
}

void Entries::start() {
  for (Entry &Item : All_)
    launch(Item);
}

void Entries::launch(Entry &Item) {
  const std::string File = Folder_ + "/" + Item.Name_ + ".json";
  const auto At = [](int Port) {
    return "\"127.0.0.1:" + std::to_string(Port) + "\"";
  };
  std::ofstream(File)
      << R"({"kind": "cell", "name": ")" << Item.Name_
      << R"(", "zone": "z1", "listen": {"callers": )" << At(Item.Callers_)
      << R"(, "readiness": )" << At(Item.Readiness_) << R"(, "peers": )"
      << At(Item.Peers_) << R"(, "metrics": )" << At(Item.Metrics_)
      << R"(}, "store": {"address": ")" << Platform_
      << R"(", "prefix": "laburnumspread/"}, "services": {"machines": ")"
      << Platform_ << R"("},
"peerKeys": {"public": "Kug:Xwfi((=pHSf+6Fs]}ti**a04.g6bbp!7Tnl]",
             "secret": "H]CV8byzv3VfFmgq[K6wqPJFtgl]C7<JCvo[oG%U"},
"capacity": {"cores": 0.25, "linkMbps": 1000},
"bounds": {"longestHoldMs": 6000, "statusKeptSeconds": 120,
           "gangTimeoutMs": 3000, "machineLeaseMs": 3000, "farFactor": 3,
           "moveSeconds": 1.5, "upkeepSeconds": 2, "evacuationMs": 0,
           "graceSeconds": 6},
"log": {"format": "kv", "level": "info"}})";
  const std::string Output = Folder_ + "/" + Item.Name_ + ".out";
  Item.Process_ = fork();
  if (Item.Process_ != 0)
    return;
  // An entry must not outlive a program that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Out =
      open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(Out, STDOUT_FILENO);
  dup2(Out, STDERR_FILENO);
  execl(Program, Program, "--config", File.c_str(), "--store-value-bytes",
        "1048576", "--set", "bounds.configMs=2000",
        static_cast<char *>(nullptr));
  _exit(127);
}

Entries::Entry &Entries::find(const std::string &Name) {
  for (Entry &Item : All_)
    if (Item.Name_ == Name)
      return Item;
  return All_.front();
}

std::string Entries::leader() const {
  for (const Entry &Item : All_) {
    const auto Reply =
        call(Item.Metrics_, "GET", "/metrics", {{"Host", "metrics"}}, "", 500);
    if (Reply && Reply->Body_.find("\nleads 1") != std::string::npos)
      return Item.Name_;
  }
  return "";
}

bool Entries::awaitLeader() const {
  for (const std::int64_t Until = nowMs() + 20'000; nowMs() < Until;) {
    if (!leader().empty())
      return true;
    sleepMs(100);
  }
  return false;
}

void Entries::kill(const std::string &Name) {
  Entry &Item = find(Name);
  ::kill(Item.Process_, SIGKILL);
  waitpid(Item.Process_, nullptr, 0);
  Item.Process_ = 0;
  Log_.line("killed: " + Name);
}

void Entries::startAgain(const std::string &Name) {
  launch(find(Name));
  Log_.line("started again: " + Name);
}

int Entries::send(const std::string &Method, const std::string &Target,
                  const std::string &Body, std::int64_t TimeMs,
                  const std::string &Key) {
  int Status = 0;
  for (const std::int64_t Until = nowMs() + TimeMs; nowMs() < Until;) {
    const Entry &To = All_[Next_++ % All_.size()];
    const auto Reply = call(To.Callers_, Method, Target,
                            {{"Host", "jobs.example"},
                             {"Content-Type", "application/json"},
                             {"X-Credential", Key},
                             {"X-Timeout-Ms", "3000"}},
                            Body, 3200);
    Status = Reply ? Reply->Status_ : 0;
    Log_.line("client: " + Method + " " + Target + " at " + To.Name_ + ": " +
              std::to_string(Status));
    if (Status / 100 == 2)
      return Status;
    sleepMs(300);
  }
  return Status;
}

std::string Entries::stateOf(const std::string &Target,
                             const std::string &Key) {
  for (std::size_t I = 0; I < All_.size(); ++I) {
    const Entry &To = All_[Next_++ % All_.size()];
    const auto Reply = call(To.Callers_, "GET", Target,
                            {{"Host", "jobs.example"},
                             {"X-Credential", Key},
                             {"X-Timeout-Ms", "3000"}},
                            "", 3200);
    if (!Reply || Reply->Status_ != 200)
      continue;
    boost::json::error_code Error;
    const auto Body = boost::json::parse(Reply->Body_, Error);
    if (!Error && Body.is_object() && Body.as_object().contains("state"))
      return std::string(Body.at("state").as_string().c_str());
  }
  return "";
}

std::vector<std::int64_t> Entries::waiting(const std::string &Prefix) {
  std::vector<std::int64_t> Result;
  for (const Entry &To : All_) {
    const auto Reply = call(To.Callers_, "GET", Prefix,
                            {{"Host", "jobs.example"},
                             {"X-Credential", "trial-key"},
                             {"X-Timeout-Ms", "3000"}},
                            "", 3200);
    boost::json::error_code Error;
    const auto Body =
        boost::json::parse(Reply ? Reply->Body_ : std::string(), Error);
    const bool Read = Reply && Reply->Status_ == 200 && !Error &&
                      Body.is_object() && Body.as_object().contains("waiting");
    Result.push_back(Read ? Body.at("waiting").to_number<std::int64_t>() : -1);
  }
  return Result;
}

std::string configuration() {
  return R"({"version": 1,
 "routes": [{"name": "orders", "hostname": "jobs.example",
             "path_prefix": "/orders/", "target_latency_ms": 600,
             "priority": 0, "backend": "kitchen", "max_attempts": 3,
             "stretch": 1.6, "public": false}],
 "services": [{"name": "kitchen", "standby": false, "admission_check": false}],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
 "tenants": [{"name": "caterers", "api_keys": ["trial-key"], "weight": 1,
              "max_allowed": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]})";
}

bool withTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

} // namespace review3
