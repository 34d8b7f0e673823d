#include "config/objectwriter.h"

#include "config/tests/fakestore.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread::config;
using laburnumspread::fleet::Generation;
using laburnumspread::fleet::Kind;
using laburnumspread::fleet::PoolName;
using laburnumspread::fleet::Revision;
using laburnumspread::fleet::Team;
using laburnumspread::fleet::Vm;
using laburnumspread::framework::clock::TimePoint;

namespace {

const TimePoint Later{std::chrono::hours(1)};

Team teamWithLimit(std::uint32_t Limit) {
  Team Result;
  Result.Metadata_.Name_ = "orders";
  Result.Spec_.Limit_ = Limit;
  return Result;
}

struct Fixture {
  FakeStore Store_;
  ObjectWriter<FakeStore> Writer_{Store_, "/l/"};

  std::uint32_t storedLimit() {
    Team Stored;
    const auto Seen = Writer_.change<Team>(
        "orders",
        [&](std::optional<Team> &Object) {
          Stored = Object.value_or(Team());
          return absl::OkStatus();
        },
        true, Later);
    BOOST_REQUIRE(Seen.ok());
    return Stored.Spec_.Limit_;
  }
};

/// Returns a team whose object lies in the same stored value as teamWithLimit.
Team neighbour() {
  Team Result = teamWithLimit(7);
  const std::string Key = shardKey("/l/", Kind::Teams, "orders");
  for (int I = 0; shardKey("/l/", Kind::Teams, Result.Metadata_.Name_) != Key ||
                  Result.Metadata_.Name_ == "orders";
       ++I)
    Result.Metadata_.Name_ = "team" + std::to_string(I);
  return Result;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(UnchangedSpecWritesNothing, Fixture) {
  const auto First =
      Writer_.putSpec(teamWithLimit(5), std::nullopt, false, Later);
  const auto Second =
      Writer_.putSpec(teamWithLimit(5), std::nullopt, false, Later);
  BOOST_REQUIRE(First.ok() && Second.ok());
  BOOST_TEST(Store_.Commits_ == 1);
  BOOST_TEST(Second->Object_.Metadata_.Generation_ == Generation(1));
  BOOST_TEST(!Second->Changed_);
}

// The store performs the write, but its answer is lost. The write must be
// reported as successful: if it were reported as failed, the operator might
// repeat it and undo another operator's change made in between.
BOOST_FIXTURE_TEST_CASE(LostAnswerIsResolvedByReadingBack, Fixture) {
  Store_.LoseNextAnswer_ = true;
  const auto Done =
      Writer_.putSpec(teamWithLimit(5), std::nullopt, false, Later);
  BOOST_REQUIRE(Done.ok());
  BOOST_TEST(Store_.Commits_ == 1);
  BOOST_TEST(storedLimit() == 5u);
}

BOOST_FIXTURE_TEST_CASE(LostRequestIsSentAgain, Fixture) {
  Store_.LoseNextRequest_ = true;
  BOOST_REQUIRE(
      Writer_.putSpec(teamWithLimit(5), std::nullopt, false, Later).ok());
  BOOST_TEST(storedLimit() == 5u);
}

// Two operators change the same team concurrently, both based on the same
// version. The second must be rejected with Aborted, and the first change must
// be kept.
BOOST_FIXTURE_TEST_CASE(RacingOperatorsNeverLoseAnUpdate, Fixture) {
  const auto First =
      Writer_.putSpec(teamWithLimit(1), std::nullopt, false, Later);
  const Revision Seen = First->Object_.Metadata_.ResourceVersion_;
  Store_.BeforeCommit_ = [&] {
    BOOST_REQUIRE(Writer_.putSpec(teamWithLimit(2), Seen, false, Later).ok());
  };
  const auto Second = Writer_.putSpec(teamWithLimit(3), Seen, false, Later);
  BOOST_TEST(Second.status().code() == absl::StatusCode::kAborted);
  BOOST_TEST(storedLimit() == 2u);
}

// Two planners move the same VM to different pools. The VM has a single record,
// so it must end up in the pool of the later write and never be in both.
BOOST_FIXTURE_TEST_CASE(VmMovedConcurrentlyIsInOnePool, Fixture) {
  auto MoveTo = [&](const char *Pool) {
    return Writer_.change<Vm>(
        "vm-1",
        [&](std::optional<Vm> &Object) {
          if (!Object)
            Object.emplace();
          Object->Metadata_.Name_ = "vm-1";
          Object->Spec_.Pool_ = PoolName(Pool);
          return absl::OkStatus();
        },
        false, Later);
  };
  Store_.BeforeCommit_ = [&] { BOOST_REQUIRE(MoveTo("menus").ok()); };
  const auto Moved = MoveTo("orders");
  BOOST_REQUIRE(Moved.ok());
  BOOST_TEST(Moved->Object_.Spec_.Pool_ == PoolName("orders"));
  BOOST_TEST(
      Store_.range("/l/config/vms/", Revision(0), Later)->Items_.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(StoreOutageIsReportedAsUnavailable, Fixture) {
  Store_.Down_ = true;
  BOOST_TEST(Writer_.putSpec(teamWithLimit(5), std::nullopt, false, Later)
                 .status()
                 .code() == absl::StatusCode::kUnavailable);
}

BOOST_FIXTURE_TEST_CASE(DryRunWritesNothing, Fixture) {
  BOOST_REQUIRE(
      Writer_.putSpec(teamWithLimit(5), std::nullopt, true, Later).ok());
  BOOST_TEST(Store_.Commits_ == 0);
}

// Guards against a conflict with the writer's own change: its answer is lost,
// and another object of the same stored value changes before it is read back.
BOOST_FIXTURE_TEST_CASE(OwnWriteIsNoConflictAfterAnotherObjectsChange,
                        Fixture) {
  const auto First =
      Writer_.putSpec(teamWithLimit(1), std::nullopt, false, Later);
  const Revision Seen = First->Object_.Metadata_.ResourceVersion_;
  Store_.LoseNextAnswer_ = true;
  Store_.AfterLostAnswer_ = [&] {
    BOOST_REQUIRE(
        Writer_.putSpec(neighbour(), std::nullopt, false, Later).ok());
  };
  const auto Done = Writer_.putSpec(teamWithLimit(5), Seen, false, Later);
  BOOST_TEST(Done.status().message() == "");
  BOOST_TEST((Done.ok() && Done->Changed_));
  BOOST_TEST(storedLimit() == 5u);
}

// Guards against the same where the write is carried out only after it was read
// back.
BOOST_FIXTURE_TEST_CASE(OwnWriteIsNoConflictIfItIsLate, Fixture) {
  const auto First =
      Writer_.putSpec(teamWithLimit(1), std::nullopt, false, Later);
  const Revision Seen = First->Object_.Metadata_.ResourceVersion_;
  Store_.DelayNextRequest_ = true;
  const auto Done = Writer_.putSpec(teamWithLimit(5), Seen, false, Later);
  BOOST_TEST(Done.status().message() == "");
  BOOST_TEST((Done.ok() && Done->Changed_));
  BOOST_TEST(storedLimit() == 5u);
}

// Guards against a removal that is reported as "no such object" although it was
// this writer's own.
BOOST_FIXTURE_TEST_CASE(OwnRemovalIsFoundIfItIsLate, Fixture) {
  BOOST_REQUIRE(
      Writer_.putSpec(teamWithLimit(1), std::nullopt, false, Later).ok());
  Store_.DelayNextRequest_ = true;
  const auto Done = Writer_.remove<Team>("orders", std::nullopt, false, Later);
  BOOST_TEST(Done.status().message() == "");
  BOOST_TEST((Done.ok() && Done->Object_.Spec_.Limit_ == 1u));
}

// Guards against "nothing was written" while an unanswered write may yet be
// carried out.
BOOST_FIXTURE_TEST_CASE(OutageAfterAnUnansweredWriteLeavesItUnknown, Fixture) {
  Store_.DelayNextRequest_ = true;
  Store_.ReadsUntilDown_ = 2;
  BOOST_TEST(Writer_.putSpec(teamWithLimit(5), std::nullopt, false, Later)
                 .status()
                 .code() == absl::StatusCode::kUnknown);
}

// Guards against a conflict that is reported for certain although the writer's
// own change may have been in force before the other one.
BOOST_FIXTURE_TEST_CASE(ChangeAfterAnUnansweredWriteLeavesItUnknown, Fixture) {
  const auto First =
      Writer_.putSpec(teamWithLimit(1), std::nullopt, false, Later);
  const Revision Seen = First->Object_.Metadata_.ResourceVersion_;
  Store_.LoseNextAnswer_ = true;
  Store_.AfterLostAnswer_ = [&] {
    BOOST_REQUIRE(
        Writer_.putSpec(teamWithLimit(9), std::nullopt, false, Later).ok());
  };
  BOOST_TEST(
      Writer_.putSpec(teamWithLimit(5), Seen, false, Later).status().code() ==
      absl::StatusCode::kUnknown);
  BOOST_TEST(storedLimit() == 9u);
}

// Guards against an entry that ends at a stored value which another writer has
// damaged.
BOOST_FIXTURE_TEST_CASE(DamagedStoredValueIsAnError, Fixture) {
  const std::string Key = shardKey("/l/", Kind::Teams, "orders");
  for (const char *Value : {"", "[]", "{}", R"({"items":[]})"}) {
    laburnumspread::store::Transaction Txn;
    Txn.Puts_ = {{Key, Value, 0}};
    BOOST_REQUIRE(Store_.commit(Txn, Later).ok());
    const auto Done =
        Writer_.putSpec(teamWithLimit(5), std::nullopt, false, Later);
    BOOST_TEST(absl::IsDataLoss(Done.status()), Value);
  }
}
