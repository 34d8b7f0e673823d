#include "membership/viewchanges.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread::membership;

namespace {

Member memberNamed(const char *Name, std::uint64_t Run = 1) {
  Member Result;
  Result.Id_ = {EntryName(Name), Incarnation(Run)};
  Result.Vm_ = laburnumspread::fleet::VmName(Name);
  Result.Zone_ = ZoneName("z1");
  Result.PeerAddress_ = "127.0.0.1:1";
  return Result;
}

View viewOf(std::initializer_list<const char *> Names) {
  View Result;
  Result.Number_ = Result.SettledThrough_ = ViewNumber(1);
  for (const char *Name : Names)
    Result.Members_.push_back(memberNamed(Name));
  return Result;
}

std::vector<MemberProgress> allComplete(const View &Current) {
  std::vector<MemberProgress> Result;
  for (const Member &Item : Current.Members_)
    Result.push_back({Item.Id_, Current.Number_, 0, 0});
  return Result;
}

} // namespace

BOOST_AUTO_TEST_CASE(SecondJoinWaitsForTheFirst) {
  const View Joined = *withJoined(viewOf({"a"}), memberNamed("b"));
  BOOST_TEST(withJoined(Joined, memberNamed("c")).status().code() ==
             absl::StatusCode::kFailedPrecondition);
  BOOST_TEST(withJoined(asSettled(Joined), memberNamed("c")).ok());
}

BOOST_AUTO_TEST_CASE(RestartedEntryCannotJoinBesideItsFormerRun) {
  BOOST_TEST(withJoined(viewOf({"a"}), memberNamed("a", 2)).status().code() ==
             absl::StatusCode::kAlreadyExists);
}

BOOST_AUTO_TEST_CASE(ViewSettlesOnlyAfterAllTransfersAndTaskLeases) {
  const TimePoint End(std::chrono::seconds(100));
  const View Current =
      *withRemoved(viewOf({"a", "b", "c"}), memberNamed("c").Id_, End);
  std::vector<MemberProgress> Progress = allComplete(Current);
  BOOST_TEST(!canSettle(Current, Progress, End));
  const TimePoint Later = End + std::chrono::seconds(1);
  BOOST_TEST(canSettle(Current, Progress, Later));
  Progress[0].HeldUnits_ = 1;
  BOOST_TEST(!canSettle(Current, Progress, Later));
  Progress[0].HeldUnits_ = 0;
  Progress[0].BucketsToCopy_ = 1;
  BOOST_TEST(!canSettle(Current, Progress, Later));
  Progress[0] = {Current.Members_[0].Id_, ViewNumber(1), 0, 0};
  BOOST_TEST(!canSettle(Current, Progress, Later));
  Progress.erase(Progress.begin());
  BOOST_TEST(!canSettle(Current, Progress, Later));
}

BOOST_AUTO_TEST_CASE(ViewRoundTripsThroughText) {
  View Current = *withJoined(viewOf({"a", "b"}), memberNamed("c"));
  Current = *withLeaving(Current, memberNamed("a").Id_);
  Current = *withRemoved(Current, memberNamed("b").Id_,
                         TimePoint(std::chrono::seconds(7)));
  BOOST_TEST((*parseView(toText(Current)) == Current));
  BOOST_TEST(!parseView("{\"number\": \"x\"}").ok());
}
