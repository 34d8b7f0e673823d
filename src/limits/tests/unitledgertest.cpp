#include "limits/unitledger.h"

#include "membership/viewchanges.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread::limits;
using namespace laburnumspread::membership;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000h};
const SubjectName Team("team/orders");

Member memberNamed(const std::string &Name, std::uint64_t Run = 1) {
  Member Result;
  Result.Id_ = {EntryName(Name), Incarnation(Run)};
  Result.Zone_ = ZoneName("z1");
  return Result;
}

View viewOf(std::initializer_list<const char *> Names) {
  View Result;
  Result.Number_ = Result.SettledThrough_ = ViewNumber(1);
  for (const char *Name : Names)
    Result.Members_.push_back(memberNamed(Name));
  return Result;
}

UnitLedger ledgerAt(const View &Current, const char *Name,
                    std::uint32_t Limit) {
  UnitLedger Result(memberNamed(Name).Id_);
  Result.adoptView(Current, Start);
  Result.setLimit(Team, Limit);
  return Result;
}

std::vector<Permit> takeAll(UnitLedger &From) {
  std::vector<Permit> Taken;
  while (auto Next = From.acquire(*From.find(Team), Start + 10s, Start))
    Taken.push_back(*Next);
  return Taken;
}

} // namespace

BOOST_AUTO_TEST_CASE(OwnersTogetherHaveExactlyTheLimit) {
  for (std::uint32_t Limit : {1u, 7u, 256u, 1000u}) {
    const View Current = viewOf({"a", "b", "c"});
    std::size_t Sum = 0;
    for (const char *Name : {"a", "b", "c"}) {
      UnitLedger Ledger = ledgerAt(Current, Name, Limit);
      Sum += takeAll(Ledger).size();
    }
    BOOST_TEST(Sum == Limit);
  }
}

// A join moves units whose work still runs at the old owner. Guards against the
// new member using them too early, which would exceed the limit.
BOOST_AUTO_TEST_CASE(JoinerWaitsForReleaseAtItsOwnView) {
  const View First = viewOf({"a"});
  UnitLedger A = ledgerAt(First, "a", 20);
  std::vector<Permit> Running = takeAll(A);
  const View Second = *withJoined(First, memberNamed("b"));
  UnitLedger B = ledgerAt(Second, "b", 20);
  const SubjectIndex Index = *B.find(Team);
  BOOST_TEST(B.counts(Index).Owned_ > 0u);
  BOOST_TEST(takeAll(B).empty());
  // A statement made before the join does not cover the moved units.
  B.applyReleaseStatement(A.releaseStatement());
  BOOST_TEST(takeAll(B).empty());
  A.adoptView(Second, Start);
  B.applyReleaseStatement(A.releaseStatement());
  BOOST_TEST(takeAll(B).empty());
  for (const Permit &Held : Running)
    A.release(Held);
  B.applyReleaseStatement(A.releaseStatement());
  BOOST_TEST(takeAll(B).size() == B.counts(Index).Owned_);
  BOOST_TEST(takeAll(A).size() + B.counts(Index).Owned_ == 20u);
}

// An entry is killed while its endpoints run work. Its units must stay unused
// until the last task lease that it could have granted has expired.
BOOST_AUTO_TEST_CASE(UnitsOfALostEntryWaitForItsTaskLeases) {
  const View First = viewOf({"a", "b"});
  UnitLedger A = ledgerAt(First, "a", 20);
  const std::size_t Before = takeAll(A).size();
  A.adoptView(*withRemoved(First, memberNamed("b").Id_, Start + 60s), Start);
  A.tick(Start + 59s);
  BOOST_TEST(takeAll(A).empty());
  A.tick(Start + 61s);
  BOOST_TEST(takeAll(A).size() == 20u - Before);
}

// A borrower is paused while it holds an unused loan. The loan must expire for
// the borrower before the lender reuses the unit.
BOOST_AUTO_TEST_CASE(LoanExpiresForTheBorrowerBeforeTheLenderReusesIt) {
  const View Current = viewOf({"a", "b"});
  UnitLedger A = ledgerAt(Current, "a", 20);
  UnitLedger B = ledgerAt(Current, "b", 20);
  const SubjectIndex Index = *A.find(Team);
  const auto Loans = A.lend(Index, memberNamed("b").Id_, 1, Start + 5s);
  BOOST_REQUIRE(Loans.size() == 1u);
  B.acceptLoan(Loans[0], Start);
  takeAll(A);
  takeAll(B);
  A.tick(Start + 5s + 400ms);
  BOOST_TEST(!A.acquire(Index, Start + 9s, Start + 5s + 400ms));
  BOOST_TEST(!B.acquire(Index, Start + 5s, Start + 5s));
  A.tick(Start + 6s);
  BOOST_TEST(A.acquire(Index, Start + 9s, Start + 6s).has_value());
}

// The grant of a loan is delivered again after the loan was returned. It must
// not reactivate the loan, since the lender may already reuse the unit.
BOOST_AUTO_TEST_CASE(RepeatedGrantDoesNotReactivateAReturnedLoan) {
  const View Current = viewOf({"a", "b"});
  UnitLedger A = ledgerAt(Current, "a", 20);
  UnitLedger B = ledgerAt(Current, "b", 20);
  takeAll(B);
  const auto Loans = A.lend(*A.find(Team), memberNamed("b").Id_, 1, Start + 5s);
  B.acceptLoan(Loans[0], Start);
  B.acceptLoan(Loans[0], Start);
  BOOST_TEST(B.counts(*B.find(Team)).Borrowed_ == 1u);
  for (const LoanId &Id : B.removeIdleLoans(Start))
    A.acceptReturn(Id);
  B.acceptLoan(Loans[0], Start);
  BOOST_TEST(B.counts(*B.find(Team)).Borrowed_ == 0u);
  BOOST_TEST(A.counts(*A.find(Team)).Lent_ == 0u);
}

BOOST_AUTO_TEST_CASE(LoweredLimitBindsNewWorkAtOnceLoansIncluded) {
  const View Current = viewOf({"a", "b"});
  UnitLedger A = ledgerAt(Current, "a", 20);
  UnitLedger B = ledgerAt(Current, "b", 20);
  for (const Loan &Item :
       A.lend(*A.find(Team), memberNamed("b").Id_, 20, Start + 20s))
    B.acceptLoan(Item, Start);
  B.setLimit(Team, 3);
  A.setLimit(Team, 3);
  BOOST_TEST(takeAll(B).size() <= 3u);
  for (const HeldUnit &Held : B.unitsInUse())
    BOOST_TEST(Held.Unit_.value() < 3u);
}

// A member states at one view that it holds no moved units. The next view moves
// more units away from it while they are in use. The earlier statement must not
// release these.
BOOST_AUTO_TEST_CASE(StatementOfAnEarlierViewFreesNothingLater) {
  const View First = viewOf({"a", "b"});
  UnitLedger A = ledgerAt(First, "a", 20);
  UnitLedger B = ledgerAt(First, "b", 20);
  const View Second = *withJoined(First, memberNamed("c"));
  A.adoptView(Second, Start);
  B.adoptView(Second, Start);
  B.applyReleaseStatement(A.releaseStatement());
  const std::size_t RunningAtA = takeAll(A).size();
  BOOST_REQUIRE(RunningAtA > 0u);
  const View Third = *withLeaving(Second, memberNamed("a").Id_);
  B.adoptView(Third, Start);
  const auto Counts = B.counts(*B.find(Team));
  BOOST_TEST(Counts.Available_ < Counts.Owned_);
  A.adoptView(Third, Start);
  B.applyReleaseStatement(A.releaseStatement());
  BOOST_TEST(B.counts(*B.find(Team)).Available_ < Counts.Owned_);
}
