#include "idempotency/reservationtally.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread::idempotency;
using laburnumspread::fleet::EntryName;
using laburnumspread::fleet::Incarnation;

namespace {

MemberId idOf(const char *Name) { return {EntryName(Name), Incarnation(1)}; }
const AttemptId Mine{idOf("a"), 1};
const AttemptId Other{idOf("b"), 1};

ReserveReply replyOf(const char *From, ReserveResult Result,
                     RecordState Found = RecordState::Reserved) {
  ReserveReply Reply{idOf(From), Mine, Result, {}};
  Reply.Found_.Attempt_ = Other;
  Reply.Found_.State_ = Found;
  return Reply;
}

ReservationTally tallyOfThree() {
  return {Mine, {idOf("x"), idOf("y"), idOf("z")}};
}

} // namespace

BOOST_AUTO_TEST_CASE(TwoOfThreeFreshGrant) {
  ReservationTally Tally = tallyOfThree();
  Tally.add(replyOf("x", ReserveResult::Fresh));
  BOOST_TEST((Tally.verdict(false) == Verdict::Open));
  Tally.add(replyOf("x", ReserveResult::Fresh));
  BOOST_TEST((Tally.verdict(false) == Verdict::Open));
  Tally.add(replyOf("z", ReserveResult::Fresh));
  BOOST_TEST((Tally.verdict(false) == Verdict::Granted));
}

BOOST_AUTO_TEST_CASE(RepliesOfOthersCountForNothing) {
  ReservationTally Tally = tallyOfThree();
  Tally.add(replyOf("w", ReserveResult::Fresh));
  ReserveReply Late = replyOf("x", ReserveResult::Fresh);
  Late.Attempt_ = Other;
  Tally.add(Late);
  BOOST_TEST((Tally.verdict(true) == Verdict::Retry));
}

BOOST_AUTO_TEST_CASE(FinalRecordAnswersAtOnceAndWinsOverAReservation) {
  ReservationTally Tally = tallyOfThree();
  Tally.add(replyOf("x", ReserveResult::Duplicate));
  BOOST_TEST((Tally.verdict(false) == Verdict::Open));
  Tally.add(replyOf("y", ReserveResult::Duplicate, RecordState::Ran));
  BOOST_TEST((Tally.verdict(false) == Verdict::Duplicate));
  BOOST_TEST((Tally.found().State_ == RecordState::Ran));
}

BOOST_AUTO_TEST_CASE(LostRecordsMakeItUnknownNotFresh) {
  ReservationTally Tally = tallyOfThree();
  Tally.add(replyOf("x", ReserveResult::Fresh));
  Tally.add(replyOf("y", ReserveResult::Blind));
  Tally.add(replyOf("z", ReserveResult::Blind));
  BOOST_TEST((Tally.verdict(false) == Verdict::Unknown));
}
