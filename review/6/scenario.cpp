#include "../common-2/sim.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

// For a second, half of the starts that are sent to one worker get no answer
// and are executed seconds later. They are sent again, and their tasks are done
// and shown as done. Then the worker starts again under its id.

namespace {

namespace json = boost::json;
using namespace review;

constexpr std::int64_t QuietMs = 8000;
constexpr std::int64_t LateForMs = 1000;
/// The bench executes late calls after 2 to 12 s.
constexpr std::int64_t LateBy = 4500;
/// From the begin of the disruption.
constexpr std::int64_t RestartAt = 3000;
constexpr std::int64_t AfterMs = 6000;
constexpr std::int64_t BetweenJobs = 100;

/// Stands before a worker and delays each second start while told to.
class Proxy {
public:
  explicit Proxy(Worker &To)
      : To_(To),
        Server_([this](const HttpRequest &Call) { return handle(Call); }) {}

  std::string address() const { return Server_.address(); }
  void delayStarts(bool Delay) { Delay_ = Delay; }
  int delayed() const { return Delayed_; }

private:
  HttpAnswer handle(const HttpRequest &Call) {
    const bool Late =
        Call.path() == "/api/run-start" && Delay_ && Starts_++ % 2 == 0;
    if (Late) {
      ++Delayed_;
      record("start delayed by " + std::to_string(LateBy) +
             " ms: " + Call.Body_);
      sleepFor(LateBy);
    }
    const auto Answer = httpCall(To_.port(), Call.Method_, Call.Target_,
                                 Call.Headers_, Call.Body_, 3000);
    if (Late)
      record("late start executed: " + Call.Body_ + " -> " +
             (Answer ? std::to_string(Answer->Status_) + " " + Answer->Body_
                     : "no answer"));
    if (!Answer || Late)
      return {0, "", true};
    return *Answer;
  }

  Worker &To_;
  std::atomic<bool> Delay_ = false;
  std::atomic<int> Starts_ = 0;
  std::atomic<int> Delayed_ = 0;
  HttpServer Server_;
};

std::string idOf(int Job) {
  const std::string Number = std::to_string(Job);
  return "e" + std::string(15 - Number.size(), '0') + Number;
}

int run(const std::string &Folder) {
  static Ledger Runs;
  static Platform Store;
  Store.write("op/config", configText(1));
  std::vector<Worker *> Workers;
  static std::vector<std::unique_ptr<Proxy>> Proxies;
  for (int I = 1; I <= 2; ++I) {
    WorkerShape Shape;
    Shape.Id_ = "w-" + std::to_string(I);
    Shape.Machine_ = "m-" + std::to_string(I);
    Workers.push_back(&Store.addWorker(Shape, Runs));
    Proxies.push_back(std::make_unique<Proxy>(*Workers.back()));
    Workers.back()->registerAt(Proxies.back()->address());
  }
  Entries System(Folder, Store, 3);
  if (!System.awaitReady(20'000))
    return 2;
  Client Caller(System);
  const std::string Job = json::serialize(
      json::object{{"spec", "400"},
                   {"steps", json::array{json::object{{"count", 8},
                                                      {"cpu", 1000},
                                                      {"mem_mb", 64},
                                                      {"estimate_ms", 400}}}}});
  int Jobs = 0;
  bool Restarted = false;
  const std::int64_t Begin = sinceStart() + QuietMs;
  while (sinceStart() < Begin + LateBy + AfterMs) {
    const std::int64_t Since = sinceStart() - Begin;
    Proxies[0]->delayStarts(!calm() && Since >= 0 && Since < LateForMs);
    // No job is handed in shortly before the restart, so that all that run on
    // the worker have ended by then, and their ends are taken note of.
    if (Since < LateForMs + 500 || Since > RestartAt + 500)
      Caller.submit(idOf(Jobs++), Job, 1000);
    if (!calm() && !Restarted && Since >= RestartAt) {
      Restarted = true;
      Workers[0]->restart();
    }
    sleepFor(BetweenJobs);
  }
  sleepFor(2000);
  for (int I = 0; I < Jobs; ++I) {
    int Status = 0;
    const std::string State = Caller.state(idOf(I), Status);
    record("GET " + idOf(I) + " -> " + std::to_string(Status) + " " + State);
  }
  System.stop();
  const std::vector<RunRecord> Rows = Runs.rows();
  for (const RunRecord &Row : Rows)
    record("run " + Row.Task_ + " " + std::to_string(Row.Run_) + " on " +
           Row.Worker_ + " from " + std::to_string(Row.StartedAt_) + " to " +
           std::to_string(Row.EndedAt_) + ": " + Row.How_ + ", noted at " +
           std::to_string(Row.NotedAt_));
  const std::vector<std::string> Twice = findTwice(Rows);
  for (const std::string &Item : Twice)
    record("TWICE: " + Item);
  record(std::to_string(Rows.size()) + " runs, " +
         std::to_string(Proxies[0]->delayed()) + " starts delayed, " +
         std::to_string(Twice.size()) + " tasks twice");
  if (Rows.size() < 100 || (!calm() && Proxies[0]->delayed() == 0))
    return 2;
  return Twice.empty() ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3)
    return 2;
  openRecord(Arguments[2]);
  finish(run(Arguments[1]));
}
