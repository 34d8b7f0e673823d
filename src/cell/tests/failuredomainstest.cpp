#include "cell/failuredomains.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Now{1h};
const ZoneName ZoneA("a"), ZoneB("b");

/// Workers of two zones, in racks of two.
struct Fixture {
  WorkerRow &add(const ZoneName &Zone) {
    const auto Row = std::make_shared<WorkerRow>();
    const std::string Index = std::to_string(Workers_.size());
    Row->Record_.Incarnation_ = {WorkerId("w" + Index), 1};
    Row->Record_.Zone_ = Zone;
    Row->Record_.Labels_ = {
        jobs::Label("r" + std::to_string(Workers_.size() / 2))};
    Row->Synced_ = true;
    Row->HasSession_ = true;
    Workers_[Row->Record_.Incarnation_] = Row;
    return *Row;
  }

  void addReplying(const ZoneName &Zone) { add(Zone).AnsweredAt_ = Now - 1s; }
  void addSilent(const ZoneName &Zone) { add(Zone).Unanswered_ = 1; }
  WorkerRow &addIdle(const ZoneName &Zone) {
    WorkerRow &Row = add(Zone);
    Row.HasSession_ = false;
    Row.AnsweredAt_ = Now - 1min;
    return Row;
  }

  std::vector<std::string> unverified() const {
    std::vector<std::string> Names;
    for (const WorkerRowPtr &Row : findUnverifiedWorkers(Workers_, Now))
      Names.push_back(Row->Record_.Incarnation_.Id_.str());
    return Names;
  }

  WorkerTable Workers_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FailureDomainsTest, Fixture)

// Guards against tasks that are sent for seconds to idle workers of a zone that
// has lost power.
BOOST_AUTO_TEST_CASE(IdleWorkersOfAFailedZoneAreUnverified) {
  addReplying(ZoneB);
  for (int I = 0; I < 3; ++I)
    addSilent(ZoneA);
  addReplying(ZoneA);
  const std::string Idle = addIdle(ZoneA).Record_.Incarnation_.Id_.str();
  addIdle(ZoneB);
  BOOST_TEST(unverified() == std::vector<std::string>{Idle},
             boost::test_tools::per_element());
}

// Guards against polling a whole zone each time that a few replies are lost.
BOOST_AUTO_TEST_CASE(FewSilentWorkersAreNoFailedZone) {
  for (int I = 0; I < 3; ++I)
    addSilent(ZoneA);
  for (int I = 0; I < 4; ++I)
    addReplying(ZoneA);
  addIdle(ZoneA);
  BOOST_TEST(unverified().empty());
  Workers_.clear();
  addSilent(ZoneA);
  addSilent(ZoneA);
  addIdle(ZoneA);
  BOOST_TEST(unverified().empty());
}

BOOST_AUTO_TEST_CASE(WorkersThatLeaveAreNoFailure) {
  addReplying(ZoneB);
  for (int I = 0; I < 3; ++I)
    add(ZoneA).Record_.Draining_ = true;
  for (const auto &[Incarnation, Row] : Workers_)
    Row->Unanswered_ = 1;
  addIdle(ZoneA);
  BOOST_TEST(unverified().empty());
}

BOOST_AUTO_TEST_CASE(WorkersOfAFailedRackAreUnverified) {
  const jobs::Label Rack("r9");
  for (int I = 0; I < 3; ++I) {
    addSilent(ZoneA);
    Workers_.rbegin()->second->Record_.Labels_ = {Rack};
  }
  for (int I = 0; I < 6; ++I)
    addReplying(ZoneA);
  addIdle(ZoneA);
  WorkerRow &Idle = addIdle(ZoneA);
  Idle.Record_.Labels_ = {Rack};
  BOOST_TEST(unverified() ==
                 std::vector<std::string>{Idle.Record_.Incarnation_.Id_.str()},
             boost::test_tools::per_element());
}

// Guards against polling all workers of the fleet when one zone has failed.
BOOST_AUTO_TEST_CASE(LabelOfSeveralZonesIsNoFailureDomain) {
  for (int I = 0; I < 3; ++I)
    addSilent(ZoneA);
  addIdle(ZoneA);
  addIdle(ZoneB);
  addReplying(ZoneB);
  for (const auto &[Incarnation, Row] : Workers_)
    Row->Record_.Labels_ = {jobs::Label("kind")};
  BOOST_TEST(unverified() == std::vector<std::string>{"w3"},
             boost::test_tools::per_element());
}

// Guards against a leader that reads replies late, takes all its workers for
// failed, and polls the whole fleet, for which it has no processor time.
BOOST_AUTO_TEST_CASE(SilenceEverywhereIsNoFailedZone) {
  for (int I = 0; I < 4; ++I) {
    addSilent(ZoneA);
    addSilent(ZoneB);
  }
  addReplying(ZoneB);
  addIdle(ZoneA);
  BOOST_TEST(unverified().empty());
}

// Guards against taking a zone for failed because its workers are about to be
// polled.
BOOST_AUTO_TEST_CASE(SuspectWorkersAreNotSilentYet) {
  addReplying(ZoneB);
  for (int I = 0; I < 3; ++I)
    addIdle(ZoneA).suspect();
  addIdle(ZoneA);
  BOOST_TEST(unverified().empty());
}

// A healthy worker of a failed zone that has just been polled is used again.
BOOST_AUTO_TEST_CASE(WorkerThatRepliedJustNowIsVerified) {
  addReplying(ZoneB);
  for (int I = 0; I < 3; ++I)
    addSilent(ZoneA);
  addIdle(ZoneA).AnsweredAt_ = Now - 100ms;
  BOOST_TEST(unverified().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
