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

// An operator withdraws a key while another entry is partitioned from the store
// and from all peers. That entry must refuse requests with "not-run", since it
// cannot learn of the withdrawal, and must serve again after the partition.
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

// The store is down for all entries. No key can be withdrawn then, so requests
// must still be served, also by an entry that starts during the outage and gets
// its configuration from peers.
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

// The same request reaches all entries at once, as when a caller retries
// through a load balancer. It must run once, and every response must state the
// outcome.
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

// The endpoint runs the request and its response is truncated. The outcome is
// unknown to the entry, so a retry with the same key must not run.
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

// The same fault for a repeatable request: it must be retried on another
// endpoint, and the caller must get one complete response.
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

// All requests of a team arrive at one entry, which owns a third of the team's
// limit. It must borrow the rest, and never run more than the limit.
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

// The store is restored from a backup made before a key was withdrawn. The
// entries must refuse that state: accepting it would make the key valid again.
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

// A VM is drained under load. No request may be interrupted, and the drain may
// only be reported as done once every entry has acknowledged it and runs
// nothing on the VM.
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
