#include "../common-2/advisor.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

// A queue with a policy that allows three of the 34 workers of its pool. One of
// the three is lost for good; the other two have room for the next job.

namespace {

namespace json = boost::json;
using namespace review;

constexpr int Workers = 34;
/// LOST allows a job to have nothing running for 3 s; it is given ten times
/// that.
constexpr std::int64_t Patience = 30'000;

std::string idOf(int Worker) { return "w-" + std::to_string(100 + Worker); }

int run(const std::string &Folder) {
  static Ledger Runs;
  static Platform Store;
  static Advisor Policy({}, [](const std::string &, const std::string &Id) {
    return Id == idOf(2) || Id == idOf(33) || Id == idOf(34);
  });
  Store.write("op/config", configText(1, Policy.terms()));
  Worker *Lost = nullptr;
  for (int I = 1; I <= Workers; ++I) {
    WorkerShape Shape;
    Shape.Id_ = idOf(I);
    Shape.Machine_ = "m-" + std::to_string(100 + I);
    Worker &Made = Store.addWorker(Shape, Runs);
    Made.TicketValid_ = [Id = Shape.Id_](const std::string &Step,
                                         const std::string &Ticket) {
      return Policy.valid(Step, Id, Ticket);
    };
    if (I == 2)
      Lost = &Made;
  }
  Entries System(Folder, Store, 3, Policy.address());
  if (!System.awaitReady(20'000))
    return 2;
  Client Caller(System);
  const std::string Job = json::serialize(
      json::object{{"spec", "300"},
                   {"steps", json::array{json::object{{"count", 2},
                                                      {"cpu", 1000},
                                                      {"mem_mb", 64},
                                                      {"estimate_ms", 300}}}}});
  const auto Follow = [&](const std::string &Id) {
    const std::int64_t Since = sinceStart();
    while (sinceStart() - Since < Patience) {
      int Status = 0;
      const std::string State = Caller.state(Id, Status);
      if (State == "done") {
        record("GET " + Id + " -> done after " +
               std::to_string(sinceStart() - Since) + " ms");
        return true;
      }
      sleepFor(250);
    }
    int Status = 0;
    const std::string State = Caller.state(Id, Status);
    record("GET " + Id + " -> " + std::to_string(Status) + " " + State +
           " after " + std::to_string(Patience) + " ms");
    return false;
  };
  if (Caller.submit("00000000000000a1", Job) != 200 ||
      !Follow("00000000000000a1"))
    return 2;
  if (!calm()) {
    Lost->loseForGood();
    sleepFor(5000);
  }
  if (Caller.submit("00000000000000a2", Job) != 200)
    return 2;
  const bool Done = Follow("00000000000000a2");
  int Started = 0;
  for (const RunRecord &Row : Runs.rows()) {
    record("run " + Row.Task_ + " " + std::to_string(Row.Run_) + " on " +
           Row.Worker_ + ": " + Row.How_);
    Started += Row.Task_.starts_with("00000000000000a2");
  }
  System.stop();
  record(Done ? "held: the job is done"
              : "LOST: the accepted job had " + std::to_string(Started) +
                    " starts in " + std::to_string(Patience) + " ms; " +
                    idOf(33) + " and " + idOf(34) + " may run it and are idle");
  return Done ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3)
    return 2;
  openRecord(Arguments[2]);
  finish(run(Arguments[1]));
}
