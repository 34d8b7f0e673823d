#include "app/tests/cluster.h"

#include "ctl/commands.h"
#include "framework/fibers/spawn.h"

using namespace laburnumspread;
using namespace laburnumspread::app;
using framework::http::Headers;
using framework::http::Response;
using namespace std::chrono_literals;

namespace {

Headers nonRepeatable(const std::string &Key) {
  Headers Fields;
  Fields.add("Repeatable", "?0");
  Fields.add("Idempotency-Key", Key);
  return Fields;
}

} // namespace

// An operator withdraws a key at one entry while another is cut off from the
// store and from everybody. The callers of that one hear "not-run" although it
// has never learned of the withdrawal, and it serves again when it is back.
BOOST_AUTO_TEST_CASE(IsolatedEntryFailsClosed) {
  Cluster Fleet(3);
  Fleet.declareFleet();
  Fleet.isolate(2, true);
  BOOST_REQUIRE_EQUAL(Fleet.call(0, "DELETE", "/v1/keys/key").Status_, 200);
  BOOST_TEST(Cluster::codeOf(Fleet.submit(0)) == "unknown-key");
  BOOST_TEST(Cluster::waitFor(
      [&] { return Cluster::codeOf(Fleet.submit(2)) == "cut-off"; }));
  BOOST_TEST(Cluster::outcomeOf(Fleet.submit(2)) == "not-run");
  Fleet.heal(2);
  BOOST_TEST(Cluster::waitFor(
      [&] { return Cluster::codeOf(Fleet.submit(2)) == "unknown-key"; }));
}

// The store is down for everybody. Nothing can be withdrawn then, so work goes
// on, also at an entry that starts meanwhile and knows all from its peers.
BOOST_AUTO_TEST_CASE(RequestsAreServedDuringAStoreOutage) {
  Cluster Fleet(3);
  Fleet.declareFleet();
  Fleet.Platform_.faults().StoreDown_ = true;
  BOOST_TEST(Cluster::waitFor([&] {
    return !Fleet.dump(0).at("storeInTouch").as_bool() &&
           !Fleet.dump(1).at("storeInTouch").as_bool();
  }));
  BOOST_TEST(Fleet.submit(1).Status_ == 200);
  Fleet.addEntry();
  BOOST_TEST(Cluster::waitFor([&] { return Fleet.submit(3).Status_ == 200; }));
  BOOST_TEST(Fleet.dump(3).at("view").at("members").as_array().size() == 3u);
  BOOST_TEST(Fleet.call(0, "DELETE", "/v1/keys/key").Status_ == 503);
  Fleet.Platform_.faults().StoreDown_ = false;
  BOOST_TEST(Cluster::waitFor([&] { return Fleet.members() == 4; }));
}

// One order reaches all entries at the same moment, as a caller that retries
// through a balancer can make it. It runs once, and every caller gets either
// its answer or the truth.
BOOST_AUTO_TEST_CASE(SameKeySentToAllEntriesRunsOnce) {
  Cluster Fleet(4);
  Fleet.declareFleet();
  const std::string Key = ctl::newIdempotencyKey();
  std::vector<Response> Answers;
  framework::fibers::Waiter Done;
  for (int I = 0; I < 8; ++I)
    framework::fibers::spawn([&, I] {
      Answers.push_back(
          Fleet.submit(I % 4, nonRepeatable(Key), R"({"workMs": 50})"));
      if (Answers.size() == 8)
        Done.signal();
    });
  BOOST_REQUIRE(Done.waitUntil(Cluster::deadline()));
  BOOST_TEST(Fleet.Platform_.ledger().StartsByKey_["caterers/" + Key] == 1u);
  int Replayed = 0, Ran = 0;
  for (const Response &Answer : Answers) {
    Ran += Cluster::outcomeOf(Answer) == "ran";
    Replayed += Answer.Headers_.find("Idempotent-Replay").has_value();
    BOOST_TEST(Cluster::outcomeOf(Answer) != "none");
  }
  BOOST_TEST(Ran >= 1);
  BOOST_TEST(Ran == Replayed + 1);
}

BOOST_AUTO_TEST_CASE(KeyUsedForAnotherRequestIsRefused) {
  Cluster Fleet(1);
  Fleet.declareFleet();
  const std::string Key = ctl::newIdempotencyKey();
  BOOST_TEST(Fleet.submit(0, nonRepeatable(Key), "{\"a\": 1}").Status_ == 200);
  BOOST_TEST(
      Cluster::codeOf(Fleet.submit(0, nonRepeatable(Key), "{\"a\": 2}")) ==
      "idempotency-key-reused");
  BOOST_TEST(Fleet.Platform_.ledger().StartsByKey_["caterers/" + Key] == 1u);
}

// The endpoint takes the order, does the work and its answer is cut. Nobody
// can know from here whether it ran; a second try with the key must not run.
BOOST_AUTO_TEST_CASE(TruncatedResponseIsUnknownAndNotRetried) {
  Cluster Fleet(3, 1);
  Fleet.declareFleet();
  Fleet.Platform_.faults().Endpoints_[Cluster::vmName(0)].Mode_ =
      standin::EndpointMode::Truncate;
  const std::string Key = ctl::newIdempotencyKey();
  const Response First = Fleet.submit(0, nonRepeatable(Key));
  BOOST_TEST(Cluster::outcomeOf(First) == "unknown");
  Fleet.Platform_.faults().Endpoints_.clear();
  const Response Second = Fleet.submit(1, nonRepeatable(Key));
  BOOST_TEST(Cluster::outcomeOf(Second) == "unknown");
  BOOST_TEST(Cluster::codeOf(Second) == "outcome-unknown");
  BOOST_TEST(Fleet.Platform_.ledger().StartsByKey_["caterers/" + Key] == 1u);
}

// A repeatable request meets the same fault and is tried elsewhere, so its
// caller sees one whole answer.
BOOST_AUTO_TEST_CASE(RepeatableRequestIsRetriedOnAnotherEndpoint) {
  Cluster Fleet(1, 2);
  Fleet.declareFleet();
  Fleet.Platform_.faults().Endpoints_[Cluster::vmName(0)].Mode_ =
      standin::EndpointMode::Truncate;
  for (int I = 0; I < 5; ++I) {
    const Response Answer = Fleet.submit(0, {}, "{\"a\": 1}");
    BOOST_TEST(Answer.Status_ == 200);
    BOOST_TEST(Answer.Body_ == "{\"a\": 1}");
  }
}

// The whole limit is wanted at one entry, which owns a third of it. The rest
// is borrowed; never more than the limit runs.
BOOST_AUTO_TEST_CASE(LimitIsReachedButNotExceededFromOneEntry) {
  Cluster Fleet(3);
  Fleet.declareFleet(10);
  std::size_t Answered = 0;
  framework::fibers::Waiter Done;
  constexpr std::size_t Requests = 60;
  for (std::size_t I = 0; I < Requests; ++I)
    framework::fibers::spawn([&] {
      const Response Answer = Fleet.submit(0, {}, R"({"workMs": 100})");
      BOOST_TEST(Answer.Status_ == 200);
      if (++Answered == Requests)
        Done.signal();
    });
  BOOST_REQUIRE(Done.waitUntil(Cluster::deadline()));
  BOOST_TEST(Fleet.Platform_.ledger().PeakRunningByTeam_["caterers"] == 10);
}

// The store loses what it had accepted: it comes back from a backup that was
// made before a key was withdrawn. Taking it would bring the key back.
BOOST_AUTO_TEST_CASE(StoreBackupDoesNotRestoreAWithdrawnKey) {
  Cluster Fleet(2);
  Fleet.declareFleet();
  Fleet.Platform_.store().state().save();
  BOOST_REQUIRE_EQUAL(Fleet.call(0, "DELETE", "/v1/keys/key").Status_, 200);
  BOOST_TEST(Cluster::waitFor(
      [&] { return Cluster::codeOf(Fleet.submit(1)) == "unknown-key"; }));
  Fleet.Platform_.store().state().restore();
  BOOST_TEST(Cluster::waitFor([&] {
    return Fleet.dump(0).at("refusesStore").as_bool() &&
           Fleet.dump(1).at("refusesStore").as_bool();
  }));
  BOOST_TEST(Cluster::codeOf(Fleet.submit(0)) == "unknown-key");
  BOOST_TEST(Cluster::codeOf(Fleet.submit(1)) == "unknown-key");
}

BOOST_AUTO_TEST_CASE(StoppedEntryHandsOverAndLeavesTheView) {
  Cluster Fleet(3);
  Fleet.declareFleet();
  const std::string Key = ctl::newIdempotencyKey();
  BOOST_REQUIRE_EQUAL(Fleet.submit(2, nonRepeatable(Key)).Status_, 200);
  BOOST_TEST(Fleet.Entries_[2]->stop());
  BOOST_TEST(Cluster::waitFor([&] { return Fleet.members() == 2; }));
  const Response Again = Fleet.submit(0, nonRepeatable(Key));
  BOOST_TEST(Cluster::outcomeOf(Again) == "ran");
  BOOST_TEST(Fleet.Platform_.ledger().StartsByKey_["caterers/" + Key] == 1u);
}

// A VM leaves under load: no request is cut, and the drain is told as done
// only when every entry has acknowledged it and runs nothing there.
BOOST_AUTO_TEST_CASE(DrainDoesNotInterruptRequests) {
  Cluster Fleet(3);
  Fleet.declareFleet();
  bool Stop = false;
  int Running = 4;
  framework::fibers::Waiter Done;
  for (int I = 0; I < 4; ++I)
    framework::fibers::spawn([&, I] {
      while (!Stop)
        BOOST_TEST(Fleet.submit(I % 3, {}, R"({"workMs": 20})").Status_ == 200);
      if (--Running == 0)
        Done.signal();
    });
  const auto Vm = boost::json::parse(
      Fleet.call(0, "GET", "/v1/vms/" + Cluster::vmName(0)).Body_);
  auto Spec = Vm.at("spec").as_object();
  Spec["drain"] = true;
  Fleet.put("vms", Cluster::vmName(0), boost::json::serialize(Spec));
  BOOST_TEST(Cluster::waitFor([&] {
    const auto Now = boost::json::parse(
        Fleet.call(1, "GET", "/v1/vms/" + Cluster::vmName(0)).Body_);
    return Now.at("drain").at("busy").to_number<int>() == 0 &&
           Now.at("drain").at("awaited").as_array().empty();
  }));
  const auto Starts = Fleet.Platform_.ledger().StartsByVm_[Cluster::vmName(0)];
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(Fleet.submit(I % 3).Status_ == 200);
  BOOST_TEST(Fleet.Platform_.ledger().StartsByVm_[Cluster::vmName(0)] ==
             Starts);
  Stop = true;
  BOOST_TEST(Done.waitUntil(Cluster::deadline()));
}
