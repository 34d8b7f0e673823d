#include "config/configtable.h"
#include "config/changelog.h"
#include "config/objectwriter.h"

#include "config/tests/fakestore.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread;
using namespace laburnumspread::config;

namespace {

const framework::clock::TimePoint Later{std::chrono::hours(1)};

struct Fixture {
  FakeStore Store_;
  ObjectWriter<FakeStore> Writer_{Store_, "/l/"};
  ConfigTable Table_{"/l/"};

  void put(const char *Name, std::uint32_t Limit) {
    fleet::Team Wanted;
    Wanted.Metadata_.Name_ = Name;
    Wanted.Spec_.Limit_ = Limit;
    BOOST_REQUIRE(Writer_.putSpec(Wanted, std::nullopt, false, Later).ok());
  }
  store::RangeResult readAll() {
    return *Store_.range("/l/", Revision(0), Later);
  }
  std::vector<Change> apply(const store::RangeResult &Read) {
    return Table_.apply(Read.Items_, Read.StoreRevision_);
  }
  std::uint32_t activeLimit(const char *Name) const {
    const fleet::Team *Found = Table_.tables().find<fleet::Team>(Name);
    return Found ? Found->Spec_.Limit_ : 0;
  }
};

} // namespace

// A peer's snapshot from before an accepted change arrives after the change, as
// on a slow connection. It must not revert the change.
BOOST_FIXTURE_TEST_CASE(StaleSnapshotRevertsNothing, Fixture) {
  put("orders", 1);
  const store::RangeResult Old = readAll();
  put("orders", 2);
  BOOST_TEST(apply(readAll()).size() == 1u);
  BOOST_TEST(apply(Old).empty());
  BOOST_TEST(activeLimit("orders") == 2u);
  BOOST_TEST(Table_.revision() == Revision(2));
}

BOOST_FIXTURE_TEST_CASE(DeletedObjectIsReportedOnceAndStaysDeleted, Fixture) {
  put("orders", 1);
  apply(readAll());
  const store::RangeResult Old = readAll();
  BOOST_REQUIRE(
      Writer_.remove<fleet::Team>("orders", std::nullopt, false, Later).ok());
  const std::vector<Change> Changes = apply(readAll());
  BOOST_REQUIRE(Changes.size() == 1u);
  BOOST_TEST((Changes[0].Type_ == ChangeType::Deleted));
  apply(Old);
  BOOST_TEST(!Table_.tables().find<fleet::Team>("orders"));
}

// The store is restored from a backup and answers with a lower revision. Its
// data lacks accepted changes, such as the withdrawal of a key, and must be
// rejected from then on.
BOOST_FIXTURE_TEST_CASE(RolledBackStoreIsRejected, Fixture) {
  put("orders", 1);
  put("orders", 2);
  apply(readAll());
  BOOST_TEST(!Table_.detectStoreRollback(Revision(2)));
  BOOST_TEST(Table_.detectStoreRollback(Revision(1)));
  BOOST_TEST(Table_.detectStoreRollback(Revision(9)));
}

BOOST_FIXTURE_TEST_CASE(MalformedValueKeepsThePreviousOneActive, Fixture) {
  put("orders", 7);
  store::RangeResult Read = readAll();
  apply(Read);
  Read.Items_[0].Value_ = "{not json";
  Read.Items_[0].ModRevision_ = Revision(9);
  BOOST_TEST(apply(Read).empty());
  BOOST_TEST(activeLimit("orders") == 7u);
  BOOST_TEST(Table_.unreadableValues() == 1u);
}

BOOST_FIXTURE_TEST_CASE(LaggingPeerGetsMissingItems, Fixture) {
  put("orders", 1);
  put("menus", 2);
  apply(readAll());
  ConfigTable Peer("/l/");
  Peer.apply(Table_.itemsSince(Peer.revision()), Table_.revision());
  BOOST_TEST(Peer.revision() == Table_.revision());
  BOOST_TEST(Peer.tables().Teams_.size() == 2u);
  BOOST_TEST(Table_.itemsSince(Table_.revision()).empty());
}

BOOST_AUTO_TEST_CASE(WatcherTooFarBehindIsDetected) {
  ChangeLog Log;
  Log.add({}, Revision(10));
  BOOST_TEST(!Log.since(Kind::Teams, Revision(9)));
  BOOST_TEST(Log.since(Kind::Teams, Revision(10))->empty());
  for (std::uint64_t R = 11; R < 11 + ChangeLog::MaxChanges + 5; ++R)
    Log.add({{ChangeType::Modified, Kind::Teams, "t", Revision(R), "{}"}},
            Revision(R));
  BOOST_TEST(!Log.since(Kind::Teams, Revision(14)));
  BOOST_TEST(Log.since(Kind::Teams, Revision(15))->size() ==
             ChangeLog::MaxChanges);
  BOOST_TEST(Log.since(Kind::Pools, Revision(15))->empty());
}
