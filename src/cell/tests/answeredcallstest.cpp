#include "cell/answeredcalls.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

using peers::JobCallKind;
using peers::JobCallStatus;

namespace {

peers::JobCall call(std::uint64_t Sequence, JobCallKind Kind) {
  peers::JobCall Result;
  Result.Sequence_ = Sequence;
  Result.Kind_ = Kind;
  return Result;
}

peers::JobReply reply(std::uint64_t Sequence, JobCallStatus Status) {
  peers::JobReply Result;
  Result.Sequence_ = Sequence;
  Result.Status_ = Status;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnsweredCallsTest)

// Guards against a job that runs although its caller was told that it never
// does, without any line that says so.
BOOST_AUTO_TEST_CASE(AcceptedAfterARejectionIsCountedOnce) {
  AnsweredCalls Calls;
  Calls.record(call(1, JobCallKind::Submit), reply(1, JobCallStatus::Refused));
  Calls.record(call(2, JobCallKind::Cancel), reply(2, JobCallStatus::Missing));
  Calls.checkLateReply(reply(1, JobCallStatus::Refused));
  Calls.checkLateReply(reply(3, JobCallStatus::Ok));
  BOOST_TEST(Calls.contradicted() == 0u);
  Calls.checkLateReply(reply(1, JobCallStatus::Ok));
  Calls.checkLateReply(reply(1, JobCallStatus::Ok));
  Calls.checkLateReply(reply(2, JobCallStatus::Ok));
  BOOST_TEST(Calls.contradicted() == 2u);
}

// Guards against false alarms: a state may change between two replies, and an
// unknown outcome promises nothing.
BOOST_AUTO_TEST_CASE(OtherAnswersAreNotContradicted) {
  AnsweredCalls Calls;
  Calls.record(call(1, JobCallKind::State), reply(1, JobCallStatus::Missing));
  Calls.record(call(2, JobCallKind::Submit), reply(2, JobCallStatus::Unknown));
  Calls.record(call(3, JobCallKind::Submit), reply(3, JobCallStatus::Ok));
  for (std::uint64_t Sequence = 1; Sequence <= 3; ++Sequence)
    Calls.checkLateReply(reply(Sequence, JobCallStatus::Ok));
  BOOST_TEST(Calls.contradicted() == 0u);
}

// Guards against memory that grows with the refusals of an entry's life.
BOOST_AUTO_TEST_CASE(OldestCallsAreForgotten) {
  AnsweredCalls Calls;
  for (std::uint64_t I = 1; I <= AnsweredCalls::MaxCalls + 1; ++I)
    Calls.record(call(I, JobCallKind::Submit),
                 reply(I, JobCallStatus::Refused));
  Calls.checkLateReply(reply(1, JobCallStatus::Ok));
  BOOST_TEST(Calls.contradicted() == 0u);
  Calls.checkLateReply(reply(2, JobCallStatus::Ok));
  BOOST_TEST(Calls.contradicted() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
