#include "cell/configreads.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

const TimePoint Start{1h};
constexpr Duration CheckInterval = 100ms;
constexpr std::uint64_t LargeBytes = 940'000;

/// Returns when reads begin while the need lasts from \p Start for \p Time.
std::vector<Duration> readsDuring(ConfigReads &Reads, ConfigNeed Need,
                                  Duration Time) {
  std::vector<Duration> Result;
  for (Duration At{}; At <= Time; At += CheckInterval)
    if (Reads.due(Need, Start + At))
      Result.push_back(At);
  return Result;
}

store::KeyValue item(const std::string &Key, std::uint64_t Revision) {
  return {Key, std::to_string(Revision), fleet::Revision(Revision)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigReadsTest)

BOOST_AUTO_TEST_CASE(NothingIsReadWithoutNeed) {
  ConfigReads Reads;
  BOOST_TEST(readsDuring(Reads, ConfigNeed::None, 10s).empty());
}

// Guards against an entry that goes by an old version until its watch on a
// silent connection has timed out.
BOOST_AUTO_TEST_CASE(VersionOfAPeerIsReadIfTheWatchDoesNotBringIt) {
  ConfigReads Reads;
  const auto Begun = readsDuring(Reads, ConfigNeed::Newer, 400ms);
  BOOST_REQUIRE(Begun.size() == 1u);
  BOOST_TEST((Begun.front() == Duration(ConfigReads::Patience)));
}

// Guards against a leader that answers no call because it asks for its
// confirmation too late.
BOOST_AUTO_TEST_CASE(LateConfirmationIsAskedForAtOnce) {
  ConfigReads Reads;
  const auto Begun = readsDuring(Reads, ConfigNeed::Confirmation, 400ms);
  BOOST_TEST(!Begun.empty());
  BOOST_TEST((Begun.front() == Duration::zero()));
}

// Guards against a thin link that is filled with copies of a large value, each
// of which delays the others.
BOOST_AUTO_TEST_CASE(SlowReadsAreGivenTheirTime) {
  ConfigReads Reads;
  Reads.recordRead(1s, LargeBytes, Start);
  const auto Begun = readsDuring(Reads, ConfigNeed::Newer, 10s);
  BOOST_REQUIRE(Begun.size() == 3u);
  BOOST_TEST((Begun[0] == Duration(2s)));
  BOOST_TEST((Begun[1] == Duration(4s)));
  BOOST_TEST((Begun[2] == Duration(8s)));
}

// Guards against an entry that reads a version without end that it cannot
// parse.
BOOST_AUTO_TEST_CASE(ReadsThatDoNotHelpBecomeRare) {
  ConfigReads Reads;
  BOOST_TEST(readsDuring(Reads, ConfigNeed::Newer, 60s).size() < 17u);
  BOOST_TEST(readsDuring(Reads, ConfigNeed::None, 100ms).empty());
  BOOST_TEST(readsDuring(Reads, ConfigNeed::Newer, 5400ms).size() > 1u);
}

// Guards against an idle entry that fills its link with a large configuration.
BOOST_AUTO_TEST_CASE(IdleReadsTransferABoundedRate) {
  ConfigReads Reads;
  Reads.recordRead(1s, LargeBytes, Start);
  const Duration Interval =
      std::chrono::seconds(LargeBytes / ConfigReads::IdleBytesPerSecond);
  BOOST_TEST(!Reads.idleReadDue(Start + Interval - 1s));
  BOOST_TEST(Reads.idleReadDue(Start + Interval));
  Reads.recordRead(1ms, 1000, Start);
  BOOST_TEST(!Reads.idleReadDue(Start + 9s));
  BOOST_TEST(Reads.idleReadDue(Start + 10s));
}

// Guards against a thin entry that receives 25 versions one after the other
// although the newest is enough.
BOOST_AUTO_TEST_CASE(AnswerOfManyVersionsIsNotRead) {
  ConfigReads Reads;
  Reads.recordRead(1s, LargeBytes, Start);
  const std::size_t Encoded = LargeBytes * 4 / 3;
  BOOST_TEST(Reads.maxWatchBytes() >= 2 * Encoded);
  BOOST_TEST(Reads.maxWatchBytes() < 4 * Encoded);
}

BOOST_AUTO_TEST_CASE(OnlyTheNewestWriteOfAKeyIsLeft) {
  const auto Left = newestOfEach({item("config", 1), item("wave", 2),
                                  item("config", 3), item("config", 4)});
  BOOST_REQUIRE(Left.size() == 2u);
  BOOST_TEST(Left[0].Key_ == "wave");
  BOOST_TEST(Left[1].ModRevision_.value() == 4u);
}

// Guards against a change that a watch leaves out without anyone's notice.
BOOST_AUTO_TEST_CASE(WriteBeforeTheWatchedRevisionWasMissed) {
  WatchedRevisions Watched;
  Watched.recordItem(item("config", 5));
  Watched.recordThrough(fleet::Revision(9));
  BOOST_TEST(!Watched.wasMissed(item("config", 5)));
  BOOST_TEST(Watched.wasMissed(item("config", 7)));
  BOOST_TEST(!Watched.wasMissed(item("config", 10)));
  BOOST_TEST(Watched.isOlder(fleet::Revision(8)));
  BOOST_TEST(!Watched.isOlder(fleet::Revision(9)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
