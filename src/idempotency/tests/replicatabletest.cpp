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

// A replica is replaced by an entry that has just joined and has no records. It
// must not vote before it has copied them: together with a replica that missed
// the reservation it would form a majority that lacks the key.
BOOST_AUTO_TEST_CASE(NewReplicaVotesOnlyAfterCopyingFromAMajority) {
  const View First = viewOfThreeZones();
  std::vector<ReplicaTable> Old;
  for (const Member &Item : First.Members_)
    Old.push_back(tableAt(First, Item));
  // The key was reserved at a and b; c did not receive the request.
  Old[0].reserve(requestAt(First, "x"), Start);
  Old[1].reserve(requestAt(First, "x"), Start);
  const View Second = *withRemoved(First, First.Members_[0].Id_, Start);
  const View Third = *withJoined(Second, memberNamed("d", "z1"));
  ReplicaTable D = tableAt(Third, Third.Members_.back());
  const ReserveRequest Again = requestAt(Third, "y");
  BOOST_TEST((D.reserve(Again, Start).Result_ == ReserveResult::NotReady));
  // c has not adopted the view and may still reserve keys under the old one.
  for (const CopyRequest &Missing : D.missingCopies())
    if (Missing.Source_ == First.Members_[2].Id_)
      D.applyCopyReply(Old[2].handleCopyRequest(Missing), Start);
  BOOST_TEST((D.reserve(Again, Start).Result_ == ReserveResult::NotReady));
  for (int Round = 0; Round < 3; ++Round)
    for (int I : {1, 2}) {
      Old[I].adoptView(Third, Start);
      for (const CopyRequest &Missing : Old[I].missingCopies())
        Old[I].applyCopyReply(Old[3 - I].handleCopyRequest(Missing), Start);
      for (const CopyRequest &Missing : D.missingCopies())
        if (Missing.Source_ == Old[I].handleCopyRequest(Missing).Source_)
          D.applyCopyReply(Old[I].handleCopyRequest(Missing), Start);
    }
  BOOST_TEST(D.bucketsToCopy() == 0u);
  BOOST_TEST((D.reserve(Again, Start).Result_ == ReserveResult::Duplicate));
  BOOST_TEST(
      (Old[2].reserve(Again, Start).Result_ == ReserveResult::Duplicate));
}

// Two of three replicas are lost at once, with the only records of some keys. A
// request repeated under an older key must not run again, since its outcome is
// unknown. Keys created after the loss can be reserved.
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

// An attempt determines the replicas by its own view. A replica at another view
// may have handed over the bucket or not have its records yet, so it must not
// vote.
BOOST_AUTO_TEST_CASE(ReplicaAtAnotherViewDoesNotVote) {
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

// A former replica is asked for its records before it has adopted the new view.
// It still accepts reservations under the old one, which the copy would lack.
BOOST_AUTO_TEST_CASE(CopyIsProvidedOnlyAfterTheNewViewIsAdopted) {
  const View First = viewOfThreeZones();
  const View Second = *withRemoved(First, First.Members_[0].Id_, Start);
  ReplicaTable B = tableAt(First, First.Members_[1]);
  const CopyRequest Request{First.Members_[2].Id_, First.Members_[1].Id_,
                            bucketOf(Name), Second.Number_};
  BOOST_TEST((B.handleCopyRequest(Request).Result_ == CopyResult::NotReady));
  B.adoptView(Second, Start);
  BOOST_TEST((B.handleCopyRequest(Request).Result_ == CopyResult::Copied));
}

// An entry that has joined but has not copied its records yet is asked for them
// by another new replica. An incomplete set of records must not count as a
// copy.
BOOST_AUTO_TEST_CASE(UnreadyReplicaIsNoSource) {
  const View First = viewOfThreeZones();
  const View Second = *withJoined(First, memberNamed("d", "z4"));
  ReplicaTable D = tableAt(Second, Second.Members_.back());
  const auto Missing = D.missingCopies();
  BOOST_REQUIRE(!Missing.empty());
  CopyRequest Request = Missing[0];
  Request.From_ = First.Members_[0].Id_;
  Request.Since_ = Second.Number_.next();
  D.adoptView(*withLeaving(Second, First.Members_[0].Id_), Start);
  BOOST_TEST((D.handleCopyRequest(Request).Result_ == CopyResult::NotReady));
}

// A replica copies from one that has lost records. It must take over the time
// of the loss, or it would reserve an older key that may have run.
BOOST_AUTO_TEST_CASE(LossOfRecordsIsPassedOnWithTheCopies) {
  const View First = viewOfThreeZones();
  View Lost = *withRemoved(First, First.Members_[0].Id_, Start);
  Lost = *withRemoved(Lost, First.Members_[1].Id_, Start);
  ReplicaTable C = tableAt(First, First.Members_[2]);
  C.adoptView(Lost, Start + 10s);
  const View Joined = *withJoined(asSettled(Lost), memberNamed("d", "z1"));
  C.adoptView(Joined, Start + 10s);
  ReplicaTable D = tableAt(Joined, Joined.Members_.back());
  for (const CopyRequest &Missing : D.missingCopies())
    D.applyCopyReply(C.handleCopyRequest(Missing), Start + 10s);
  BOOST_TEST(D.bucketsToCopy() == 0u);
  BOOST_TEST((D.reserve(requestAt(Joined, "x"), Start + 10s).Result_ ==
              ReserveResult::RecordsLost));
}
