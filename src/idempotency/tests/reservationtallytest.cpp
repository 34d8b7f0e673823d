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

BOOST_AUTO_TEST_CASE(MajorityOfReservedRepliesGrants) {
  ReservationTally Tally = tallyOfThree();
  Tally.add(replyOf("x", ReserveResult::Reserved));
  BOOST_TEST((Tally.outcome(false) == ReservationOutcome::Pending));
  Tally.add(replyOf("x", ReserveResult::Reserved));
  BOOST_TEST((Tally.outcome(false) == ReservationOutcome::Pending));
  Tally.add(replyOf("z", ReserveResult::Reserved));
  BOOST_TEST((Tally.outcome(false) == ReservationOutcome::Granted));
}

BOOST_AUTO_TEST_CASE(UnrelatedRepliesAreIgnored) {
  ReservationTally Tally = tallyOfThree();
  Tally.add(replyOf("w", ReserveResult::Reserved));
  ReserveReply Late = replyOf("x", ReserveResult::Reserved);
  Late.Attempt_ = Other;
  Tally.add(Late);
  BOOST_TEST((Tally.outcome(true) == ReservationOutcome::Retry));
}

BOOST_AUTO_TEST_CASE(FinalRecordDecidesAtOnceAndOverridesAReservation) {
  ReservationTally Tally = tallyOfThree();
  Tally.add(replyOf("x", ReserveResult::Duplicate));
  BOOST_TEST((Tally.outcome(false) == ReservationOutcome::Pending));
  Tally.add(replyOf("y", ReserveResult::Duplicate, RecordState::Ran));
  BOOST_TEST((Tally.outcome(false) == ReservationOutcome::Duplicate));
  BOOST_TEST((Tally.found().State_ == RecordState::Ran));
}

BOOST_AUTO_TEST_CASE(LostRecordsMakeTheOutcomeUnknown) {
  ReservationTally Tally = tallyOfThree();
  Tally.add(replyOf("x", ReserveResult::Reserved));
  Tally.add(replyOf("y", ReserveResult::RecordsLost));
  Tally.add(replyOf("z", ReserveResult::RecordsLost));
  BOOST_TEST((Tally.outcome(false) == ReservationOutcome::Unknown));
}
