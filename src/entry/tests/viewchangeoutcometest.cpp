#include "entry/viewchangeoutcome.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::entry {

namespace {

membership::View viewWithNumber(std::uint64_t Number) {
  membership::View Result;
  Result.Number_ = membership::ViewNumber(Number);
  return Result;
}

const membership::View Former = viewWithNumber(1);
const membership::View Wanted = viewWithNumber(2);
const membership::View Later = viewWithNumber(3);

} // namespace

BOOST_AUTO_TEST_SUITE(ViewChangeOutcomeTest)

BOOST_AUTO_TEST_CASE(AnsweredChangeHasTheOutcomeOfItsWrite) {
  store::TransactionResult Result;
  BOOST_TEST(absl::IsAborted(viewChangeOutcome(Result, Wanted, Later)));
  Result.Succeeded_ = true;
  BOOST_TEST(viewChangeOutcome(Result, Wanted, Former).ok());
}

// Guards against an operator who is told that a member was not removed,
// although the store may have removed it.
BOOST_AUTO_TEST_CASE(UnansweredChangeIsUnknownUnlessItIsSeen) {
  const absl::Status Timeout = absl::DeadlineExceededError("no answer");
  const absl::Status Reset = absl::UnavailableError("connection reset");
  BOOST_TEST(absl::IsUnknown(viewChangeOutcome(Timeout, Wanted, Former)));
  BOOST_TEST(absl::IsUnknown(viewChangeOutcome(Reset, Wanted, Former)));
  BOOST_TEST(absl::IsUnknown(viewChangeOutcome(Timeout, Wanted, Later)));
  BOOST_TEST(viewChangeOutcome(Timeout, Wanted, Wanted).ok());
}

BOOST_AUTO_TEST_CASE(ChangeThatWasNotSentIsNotUnknown) {
  const absl::Status NotSent = absl::UnavailableError("not sent: refused");
  BOOST_TEST(absl::IsUnavailable(viewChangeOutcome(NotSent, Wanted, Former)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::entry
