#include "api/operatorapi.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::api {

BOOST_AUTO_TEST_SUITE(OperatorApiTest)

// Guards against an operator who is told that a change was not made, although
// the store may have made it.
BOOST_AUTO_TEST_CASE(UnansweredChangeHasNoKnownOutcome) {
  const entry::Problem Unanswered = problemOf(absl::UnknownError("no answer"));
  BOOST_TEST((Unanswered.Code_ == entry::ProblemCode::StoreUnavailable));
  BOOST_TEST((Unanswered.Outcome_ == fleet::Outcome::Unknown));
  const entry::Problem NotSent = problemOf(absl::UnavailableError("down"));
  BOOST_TEST((NotSent.Code_ == entry::ProblemCode::StoreUnavailable));
  BOOST_TEST((NotSent.Outcome_ == fleet::Outcome::NotRun));
  const entry::Problem Conflict = problemOf(absl::AbortedError("version"));
  BOOST_TEST((Conflict.Code_ == entry::ProblemCode::Conflict));
  BOOST_TEST((Conflict.Outcome_ == fleet::Outcome::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::api
