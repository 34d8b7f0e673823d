#include "idempotency/replicatable.h"

#include "membership/viewchanges.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread::idempotency;
using namespace laburnumspread::membership;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000h};
const RecordName Name("orders/k1");

Member memberNamed(const std::string &Text, const char *Zone) {
  Member Result;
  Result.Id_ = {EntryName(Text), Incarnation(1)};
  Result.Zone_ = ZoneName(Zone);
  return Result;
}

View viewOfThreeZones() {
  View Result;
  Result.Number_ = Result.SettledThrough_ = ViewNumber(1);
  Result.Members_ = {memberNamed("a", "z1"), memberNamed("b", "z2"),
                     memberNamed("c", "z3")};
  return Result;
}

ReplicaTable tableAt(const View &Current, const Member &Self) {
  ReplicaTable Table(Self.Id_);
  Table.adoptView(Current, Start);
  return Table;
}

ReserveRequest requestAt(const View &Current, const char *Entry) {
  ReserveRequest Request;
  Request.Name_ = Name;
  Request.MintedAt_ = Start;
  Request.Attempt_ = {{EntryName(Entry), Incarnation(1)}, 1};
  Request.View_ = Current.Number_;
  Request.LeaseUntil_ = Start + 5s;
  return Request;
}

} // namespace

BOOST_AUTO_TEST_CASE(UuidOfVersionSevenOnly) {
  const auto Key = parseIdempotencyKey("019AE2B4-5E00-7abc-8def-0123456789ab");
  BOOST_REQUIRE(Key.has_value());
  BOOST_TEST(laburnumspread::framework::clock::toMillis(Key->MintedAt_) ==
             0x019ae2b45e00);
  BOOST_TEST(!parseIdempotencyKey("019ae2b4-5e00-4abc-8def-0123456789ab"));
  BOOST_TEST(!parseIdempotencyKey("019ae2b4-5e00-7abc-cdef-0123456789ab"));
  BOOST_TEST(!parseIdempotencyKey("019ae2b45e007abc8def0123456789ab"));
  BOOST_TEST((ageOf(*Key, Key->MintedAt_ + KeyWindow) == KeyAge::Usable));
  BOOST_TEST((ageOf(*Key, Key->MintedAt_ + KeyWindow + 1us) == KeyAge::TooOld));
  BOOST_TEST((ageOf(*Key, Key->MintedAt_ - 1s) == KeyAge::FromTheFuture));
}

BOOST_AUTO_TEST_CASE(SecondAttemptFindsTheFirst) {
  const View Current = viewOfThreeZones();
  ReplicaTable A = tableAt(Current, Current.Members_[0]);
  const ReserveRequest First = requestAt(Current, "a");
  BOOST_TEST((A.reserve(First, Start).Result_ == ReserveResult::Reserved));
  BOOST_TEST((A.reserve(First, Start).Result_ == ReserveResult::Reserved));
  const ReserveRequest Second = requestAt(Current, "b");
  BOOST_TEST((A.reserve(Second, Start).Result_ == ReserveResult::Duplicate));
  A.abandon(Name, Second.Attempt_);
  BOOST_TEST((A.reserve(Second, Start).Result_ == ReserveResult::Duplicate));
  A.abandon(Name, First.Attempt_);
  BOOST_TEST((A.reserve(Second, Start).Result_ == ReserveResult::Reserved));
}

// A home in the caller's zone is replaced by an entry that has just joined and
// knows no keys. Until it has copied them it must not vote: with one former
// home that was hung it would make a majority that has never seen the order.
BOOST_AUTO_TEST_CASE(NewHomeVotesOnlyAfterCopyingFromAMajority) {
  const View First = viewOfThreeZones();
  std::vector<ReplicaTable> Old;
  for (const Member &Item : First.Members_)
    Old.push_back(tableAt(First, Item));
  // The order was reserved at a and b; c was hung.
  Old[0].reserve(requestAt(First, "x"), Start);
  Old[1].reserve(requestAt(First, "x"), Start);
  const View Second = *withRemoved(First, First.Members_[0].Id_, Start);
  const View Third = *withJoined(Second, memberNamed("d", "z1"));
  ReplicaTable D = tableAt(Third, Third.Members_.back());
  const ReserveRequest Again = requestAt(Third, "y");
  BOOST_TEST((D.reserve(Again, Start).Result_ == ReserveResult::NotReady));
  // c has not taken the view: it may still reserve keys under the old one.
  for (const CopyRequest &Wanted : D.missingCopies())
    if (Wanted.Source_ == First.Members_[2].Id_)
      D.applyCopyReply(Old[2].handleCopyRequest(Wanted), Start);
  BOOST_TEST((D.reserve(Again, Start).Result_ == ReserveResult::NotReady));
  for (int Round = 0; Round < 3; ++Round)
    for (int I : {1, 2}) {
      Old[I].adoptView(Third, Start);
      for (const CopyRequest &Wanted : Old[I].missingCopies())
        Old[I].applyCopyReply(Old[3 - I].handleCopyRequest(Wanted), Start);
      for (const CopyRequest &Wanted : D.missingCopies())
        if (Wanted.Source_ == Old[I].handleCopyRequest(Wanted).Source_)
          D.applyCopyReply(Old[I].handleCopyRequest(Wanted), Start);
    }
  BOOST_TEST(D.bucketsToCopy() == 0u);
  BOOST_TEST((D.reserve(Again, Start).Result_ == ReserveResult::Duplicate));
  BOOST_TEST(
      (Old[2].reserve(Again, Start).Result_ == ReserveResult::Duplicate));
}

// Two of three homes are lost at once. A caller repeats an order that only
// they had on record, and hears "unknown", not a second lunch. Keys minted
// after the loss work.
BOOST_AUTO_TEST_CASE(LossOfAMajorityMakesOlderKeysUnknown) {
  const View First = viewOfThreeZones();
  ReplicaTable C = tableAt(First, First.Members_[2]);
  View Later = *withRemoved(First, First.Members_[0].Id_, Start);
  Later = *withRemoved(Later, First.Members_[1].Id_, Start);
  C.adoptView(Later, Start + 10s);
  ReserveRequest Again = requestAt(Later, "x");
  BOOST_TEST(
      (C.reserve(Again, Start + 10s).Result_ == ReserveResult::RecordsLost));
  Again.MintedAt_ = Start + 11s;
  BOOST_TEST(
      (C.reserve(Again, Start + 11s).Result_ == ReserveResult::Reserved));
}

BOOST_AUTO_TEST_CASE(RecordOutlivesItsKey) {
  const View Current = viewOfThreeZones();
  ReplicaTable A = tableAt(Current, Current.Members_[0]);
  A.reserve(requestAt(Current, "x"), Start);
  A.tick(Start + KeyWindow + 500ms);
  BOOST_TEST(A.records() == 1u);
  A.tick(Start + KeyWindow + 2s);
  BOOST_TEST(A.records() == 0u);
}

// An attempt counts its homes under its own view. A home at another view may
// have handed the key's bucket on, or not have it yet, so it must not vote.
BOOST_AUTO_TEST_CASE(HomeAtAnotherViewDoesNotVote) {
  const View First = viewOfThreeZones();
  ReplicaTable A = tableAt(First, First.Members_[0]);
  ReserveRequest Early = requestAt(First, "x");
  Early.View_ = ViewNumber(2);
  BOOST_TEST((A.reserve(Early, Start).Result_ == ReserveResult::ViewMismatch));
  A.adoptView(*withLeaving(First, First.Members_[2].Id_), Start);
  BOOST_TEST((A.reserve(requestAt(First, "x"), Start).Result_ ==
              ReserveResult::ViewMismatch));
  BOOST_TEST(A.records() == 0u);
}

// A former home is asked for its records before it has heard of the new view.
// It goes on taking reservations under the old one, which the copy would lack.
BOOST_AUTO_TEST_CASE(CopyIsGivenOnlyAfterTheNewViewIsTaken) {
  const View First = viewOfThreeZones();
  const View Second = *withRemoved(First, First.Members_[0].Id_, Start);
  ReplicaTable B = tableAt(First, First.Members_[1]);
  const CopyRequest Asked{First.Members_[2].Id_, First.Members_[1].Id_,
                          bucketOf(Name), Second.Number_};
  BOOST_TEST((B.handleCopyRequest(Asked).Result_ == CopyResult::NotReady));
  B.adoptView(Second, Start);
  BOOST_TEST((B.handleCopyRequest(Asked).Result_ == CopyResult::Copied));
}

// An entry that has joined but not copied anything is asked for records by the
// next newcomer. It has none to give, and must not count as a source.
BOOST_AUTO_TEST_CASE(UnreadyHomeIsNoSource) {
  const View First = viewOfThreeZones();
  const View Second = *withJoined(First, memberNamed("d", "z4"));
  ReplicaTable D = tableAt(Second, Second.Members_.back());
  const auto Wanted = D.missingCopies();
  BOOST_REQUIRE(!Wanted.empty());
  CopyRequest Asked = Wanted[0];
  Asked.From_ = First.Members_[0].Id_;
  Asked.Since_ = Second.Number_.next();
  D.adoptView(*withLeaving(Second, First.Members_[0].Id_), Start);
  BOOST_TEST((D.handleCopyRequest(Asked).Result_ == CopyResult::NotReady));
}

// Records were lost once. A home that copies from one that knows of the loss
// must know of it too, or it would call an older key fresh.
BOOST_AUTO_TEST_CASE(LossOfRecordsIsPassedOnWithTheCopies) {
  const View First = viewOfThreeZones();
  View Lost = *withRemoved(First, First.Members_[0].Id_, Start);
  Lost = *withRemoved(Lost, First.Members_[1].Id_, Start);
  ReplicaTable C = tableAt(First, First.Members_[2]);
  C.adoptView(Lost, Start + 10s);
  const View Joined = *withJoined(asSettled(Lost), memberNamed("d", "z1"));
  C.adoptView(Joined, Start + 10s);
  ReplicaTable D = tableAt(Joined, Joined.Members_.back());
  for (const CopyRequest &Wanted : D.missingCopies())
    D.applyCopyReply(C.handleCopyRequest(Wanted), Start + 10s);
  BOOST_TEST(D.bucketsToCopy() == 0u);
  BOOST_TEST((D.reserve(requestAt(Joined, "x"), Start + 10s).Result_ ==
              ReserveResult::RecordsLost));
}
