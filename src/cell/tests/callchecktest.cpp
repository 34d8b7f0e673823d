#include "cell/callcheck.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

constexpr std::uint64_t Version = 7;
constexpr const char *Host = "jobs.example";
constexpr const char *Key = "caterer-key";

CellConfig config(bool Public) {
  CellConfig Result;
  Result.Version_ = ConfigVersion(Version);
  QueueConfig Queue;
  Queue.Name_ = QueueName("q");
  Queue.Host_ = Host;
  Queue.PathPrefix_ = "/q/";
  Queue.Public_ = Public;
  Result.Queues_.push_back(Queue);
  Result.KeyOwners_[Key] = WorkspaceName("caterers");
  return Result;
}

/// Returns a call for queue "q" that was admitted under configuration version
/// \p EntryVersion.
peers::JobCall call(const std::string &Path, const std::string &Key,
                    std::uint64_t EntryVersion) {
  peers::JobCall Result;
  Result.Queue_ = "q";
  Result.Origin_ = {Host, Path, Key};
  Result.ConfigVersion_ = EntryVersion;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallCheckTest)

// Guards against calls for a removed queue from an entry that still has it.
BOOST_AUTO_TEST_CASE(QueueThatANewerVersionRemovedIsRefused) {
  BOOST_TEST((refusalByNewerConfig(config(false), call("/gone/1", Key, 6)) ==
              peers::JobCallStatus::NoSuchQueue));
}

// Guards against serving a call from a queue that its path no longer routes to.
// The refusal is temporary because the path still has a queue.
BOOST_AUTO_TEST_CASE(PathThatANewerVersionReroutedIsRefusedTemporarily) {
  peers::JobCall Call = call("/q/1", Key, 6);
  Call.Queue_ = "former";
  BOOST_TEST((refusalByNewerConfig(config(false), Call) ==
              peers::JobCallStatus::Refused));
}

// Guards against calls with a revoked key from an entry that still has it.
BOOST_AUTO_TEST_CASE(KeyThatANewerVersionWithdrewIsRefused) {
  BOOST_TEST((refusalByNewerConfig(config(false), call("/q/1", "old", 6)) ==
              peers::JobCallStatus::UnknownKey));
  BOOST_TEST(!refusalByNewerConfig(config(false), call("/q/1", Key, 6)));
  BOOST_TEST(!refusalByNewerConfig(config(true), call("/q/1", "old", 6)));
}

// Guards against a leader that refuses calls by a configuration older than the
// entry's.
BOOST_AUTO_TEST_CASE(CallWithTheSameOrANewerVersionIsNotRechecked) {
  BOOST_TEST(!refusalByNewerConfig(config(false), call("/new/1", "new", 7)));
  BOOST_TEST(!refusalByNewerConfig(config(false), call("/new/1", "new", 8)));
}

// Guards against refusing calls from entries of earlier releases, which do not
// send the origin, during a rolling upgrade.
BOOST_AUTO_TEST_CASE(CallWithoutOriginIsNotRechecked) {
  peers::JobCall Call = call("/gone/1", "old", 6);
  Call.Origin_.reset();
  BOOST_TEST(!refusalByNewerConfig(config(false), Call));
}

// Guards against an accepted job that is never started: its queue came with a
// version that the leader has not read, and went with the next one.
BOOST_AUTO_TEST_CASE(JobOfAQueueThatOnlyANewerVersionHasWaitsForIt) {
  peers::JobCall Call = call("/new/1", Key, Version + 1);
  Call.Kind_ = peers::JobCallKind::Submit;
  BOOST_TEST(!needsNewerConfig(config(false), Call));
  Call.Queue_ = "new";
  BOOST_TEST(needsNewerConfig(config(false), Call));
  Call.ConfigVersion_ = Version;
  BOOST_TEST(!needsNewerConfig(config(false), Call));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
