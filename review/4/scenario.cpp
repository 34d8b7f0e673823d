#include "../common-2/advisor.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

// A queue with a policy. One of twenty jobs can never be done: the policy lets
// no worker run it. All others may run on any of the six workers.

namespace {

namespace json = boost::json;
using namespace review;

constexpr int Workers = 6;
constexpr int Jobs = 200;
/// One job in this many can never be done: 0.05 of the messages, the share of
/// the sites.
constexpr int PerHopeless = 20;
/// Ids of jobs for which there is no worker begin so.
const std::string Hopeless = "dead";
constexpr std::int64_t BetweenJobs = 200;
/// LOST allows a job to have nothing running for 3 s. Jobs are asked for
/// finish_s after the end of the traffic, which is 14 s.
constexpr std::int64_t Patience = 17'000;

std::string idOf(const std::string &Begin, int Job) {
  const std::string Number = std::to_string(Job);
  return Begin + std::string(16 - Begin.size() - Number.size(), '0') + Number;
}

std::string jobText(bool Lasts) {
  json::object Step{
      {"count", 2}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", 300}};
  if (Lasts)
    Step["long_running"] = true;
  return json::serialize(json::object{{"spec", Lasts ? "0" : "300"},
                                      {"steps", json::array{Step}}});
}

int run(const std::string &Folder) {
  static Ledger Runs;
  static Platform Store;
  static Advisor Policy({60, 5, 5000},
                        [](const std::string &Step, const std::string &) {
                          return !Step.starts_with(Hopeless);
                        });
  Store.write("op/config", configText(1, Policy.terms()));
  for (int I = 1; I <= Workers; ++I) {
    WorkerShape Shape;
    Shape.Id_ = "w-" + std::to_string(I);
    Shape.Machine_ = "m-" + std::to_string(I);
    Store.addWorker(Shape, Runs).TicketValid_ =
        [Id = Shape.Id_](const std::string &Step, const std::string &Ticket) {
          return Policy.valid(Step, Id, Ticket);
        };
  }
  Entries System(Folder, Store, 3, Policy.address());
  if (!System.awaitReady(20'000))
    return 2;
  Client Caller(System);
  std::vector<std::string> Accepted;
  for (int I = 0; I < Jobs; ++I) {
    sleepFor(BetweenJobs);
    if (I % PerHopeless == PerHopeless - 1 && !calm()) {
      Caller.submit(idOf(Hopeless, I), jobText(true), 3000);
      continue;
    }
    const std::string Id = idOf("c", I);
    if (Caller.submit(Id, jobText(false), 3000) == 200)
      Accepted.push_back(Id);
  }
  record("the traffic has ended; " + std::to_string(Accepted.size()) +
         " jobs that can be done are accepted");
  sleepFor(Patience);
  std::map<std::string, int> Starts;
  for (const RunRecord &Row : Runs.rows())
    ++Starts[Row.Task_.substr(0, 16)];
  int Idle = 0;
  for (const std::string &Id : Accepted) {
    int Status = 0;
    const std::string State = Caller.state(Id, Status);
    record("GET " + Id + " -> " + std::to_string(Status) + " " + State + ", " +
           std::to_string(Starts[Id]) + " starts");
    if (Starts[Id] == 0)
      ++Idle;
  }
  System.stop();
  record(Idle == 0
             ? "held: all have run"
             : "LOST: " + std::to_string(Idle) + " of " +
                   std::to_string(Accepted.size()) +
                   " accepted jobs have no start " + std::to_string(Patience) +
                   " ms after the last was accepted; six workers idle");
  return Accepted.size() < Jobs / 2 ? 2 : Idle == 0 ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3)
    return 2;
  openRecord(Arguments[2]);
  finish(run(Arguments[1]));
}
