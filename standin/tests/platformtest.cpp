#include "standin/platform.h"
#include "framework/fibers/asioscheduler.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "store/etcdstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace laburnumspread;
using namespace laburnumspread::standin;
using namespace std::chrono_literals;
using fleet::Revision;

namespace {

boost::asio::io_context &sharedIo() {
  static boost::asio::io_context Io;
  static const bool Installed = (framework::fibers::useAsioScheduler(Io), true);
  (void)Installed;
  return Io;
}

TimePoint testDeadline() { return framework::clock::SystemClock().now() + 20s; }

struct Fixture {
  // Never destroyed, because the platform's fibers outlive the test case.
  Platform &Platform_ = *new Platform(sharedIo(), {});
  store::EtcdStore Store_{sharedIo(), start()};

  std::vector<framework::http::Address> start() {
    BOOST_REQUIRE(Platform_.start().ok());
    return {{"127.0.0.1", Platform_.port()}};
  }

  store::TransactionResult put(const std::string &Key, const std::string &Value,
                               Revision If) {
    store::Transaction Txn;
    Txn.Compares_.push_back({Key, If});
    Txn.Puts_.push_back({Key, Value});
    const auto Result = Store_.commit(Txn, testDeadline());
    BOOST_REQUIRE_MESSAGE(Result.ok(), Result.status());
    return *Result;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(CompareAndSwapThroughTheGateway, Fixture) {
  const auto First = put("/a/1", "x", Revision(0));
  BOOST_TEST(First.Succeeded_);
  BOOST_TEST(!put("/a/1", "y", Revision(0)).Succeeded_);
  BOOST_TEST(put("/a/1", "y", First.StoreRevision_).Succeeded_);
  const auto All = *Store_.range("/a/", Revision(0), testDeadline());
  BOOST_REQUIRE(All.Items_.size() == 1u);
  BOOST_TEST(All.Items_[0].Value_ == "y");
  BOOST_TEST(Store_.range("/a/", All.StoreRevision_.next(), testDeadline())
                 ->Items_.empty());
}

// The store executes a write but its response is lost. The client must report
// an error, since the outcome is unknown, and a later read returns the write.
BOOST_FIXTURE_TEST_CASE(LostResponseReportsErrorButKeepsWrite, Fixture) {
  Platform_.faults().LoseAnswers_ = 1;
  store::Transaction Txn;
  Txn.Puts_.push_back({"/a/1", "x"});
  BOOST_TEST(!Store_.commit(Txn, testDeadline()).ok());
  BOOST_TEST(Store_.range("/a/", Revision(0), testDeadline())->Items_.size() ==
             1u);
}

BOOST_FIXTURE_TEST_CASE(WatchDeliversChangesInOrder, Fixture) {
  std::vector<std::string> Seen;
  framework::fibers::Waiter Done;
  framework::fibers::spawn([&] {
    Store_
        .watch("/w/", Revision(1),
               [&](const store::WatchBatch &Batch) {
                 for (const auto &Item : Batch.Puts_)
                   Seen.push_back(Item.Value_);
                 return Seen.size() < 3;
               })
        .IgnoreError();
    Done.signal();
  });
  for (const char *Value : {"1", "2", "3"})
    put(std::string("/w/") + Value, Value, Revision(0));
  BOOST_TEST(Done.waitUntil(testDeadline()));
  BOOST_TEST(Seen == (std::vector<std::string>{"1", "2", "3"}));
}

BOOST_FIXTURE_TEST_CASE(WatchOfCompactedHistoryIsRefused, Fixture) {
  put("/w/1", "1", Revision(0));
  Platform_.store().state().compact(Platform_.store().state().revision());
  const absl::Status Ended = Store_.watch(
      "/w/", Revision(1), [](const store::WatchBatch &) { return true; });
  BOOST_TEST(Ended.code() == absl::StatusCode::kOutOfRange);
}

BOOST_FIXTURE_TEST_CASE(LeaseCanBeRenewedUntilRevoked, Fixture) {
  const std::int64_t Lease = *Store_.grantLease(30, testDeadline());
  BOOST_TEST(*Store_.keepLease(Lease, testDeadline()));
  Platform_.store().state().revokeLease(Lease);
  BOOST_TEST(!*Store_.keepLease(Lease, testDeadline()));
}

BOOST_AUTO_TEST_CASE(ExpiredLeaseDeletesItsKeys) {
  KvState State;
  const TimePoint Start{1h};
  const std::int64_t Lease = State.grantLease(5, Start);
  State.beginWrite();
  State.put("/k", "v", Lease);
  State.expireLeases(Start + 5s);
  BOOST_TEST(State.find("/k"));
  State.expireLeases(Start + 6s);
  BOOST_TEST(!State.find("/k"));
}

// The list reports the old state of a VM until the lag has passed, and a reboot
// that is requested twice with the same boot ID happens only once.
BOOST_AUTO_TEST_CASE(VmListLagsAndRepeatedRebootIsIgnored) {
  Faults Injected;
  Injected.ListLagMs_ = 1000;
  VmFleet Vms(Injected, 2s);
  const TimePoint Start{1h};
  Vms.add("a", Start);
  Vms.reboot("a", "a-boot-1", Start + 2s);
  Vms.reboot("a", "a-boot-1", Start + 2s);
  BOOST_TEST(!Vms.running("a"));
  BOOST_TEST(!Vms.listedRows(Start + 2500ms).at("a").Rebooting_);
  BOOST_TEST(Vms.listedRows(Start + 3s).at("a").Rebooting_);
  Vms.tick(Start + 4s);
  BOOST_TEST(Vms.running("a"));
  Vms.reboot("a", "a-boot-1", Start + 5s);
  BOOST_TEST(Vms.rows().at("a").Reboots_ == 1u);
}

BOOST_FIXTURE_TEST_CASE(EndpointCountsStartsAndRefusesWhenBusy, Fixture) {
  const auto Port = Platform_.addEndpoint("vm-1", 1, {"127.0.0.1", 0});
  framework::http::Client First(sharedIo(), {"127.0.0.1", *Port});
  framework::http::Client Second(sharedIo(), {"127.0.0.1", *Port});
  framework::http::Request Work;
  Work.Method_ = "POST";
  Work.Target_ = "/requests";
  Work.Headers_.add("Idempotency-Key", "k");
  Work.Body_ = "{\"workMs\": 300}";
  framework::fibers::Waiter Done;
  framework::fibers::spawn([&] {
    BOOST_TEST(First.exchange(Work, testDeadline())->Status_ == 200);
    Done.signal();
  });
  while (Platform_.ledger().Started_ == 0)
    framework::fibers::sleepFor(1ms);
  const auto Refused = Second.exchange(Work, testDeadline());
  BOOST_TEST(Refused->Status_ == 503);
  BOOST_TEST(Refused->Headers_.find("endpoint-refusal").value_or("") == "busy");
  BOOST_TEST(Done.waitUntil(testDeadline()));
  BOOST_TEST(Platform_.ledger().StartsByKey_["/k"] == 1u);
}
