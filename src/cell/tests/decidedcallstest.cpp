#include "cell/decidedcalls.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;
using peers::JobCallStatus;

constexpr framework::clock::TimePoint Now{1h};

peers::JobCall call(std::uint64_t Sequence, const char *Entry = "e0",
                    std::uint64_t Incarnation = 1) {
  peers::JobCall Result;
  Result.Sequence_ = Sequence;
  Result.Caller_ = {fleet::EntryName(Entry), fleet::Incarnation(Incarnation)};
  return Result;
}

CallDecision decision(JobCallStatus Status) {
  CallDecision Result;
  Result.Status_ = Status;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DecidedCallsTest)

// Guards against a further attempt of a rejected call that is accepted, and
// against the answer to one call that is given to another.
BOOST_AUTO_TEST_CASE(FurtherAttemptsGetTheSameAnswer) {
  DecidedCalls Calls;
  Calls.add(call(5), decision(JobCallStatus::Missing), Now);
  BOOST_REQUIRE(Calls.find(call(5)));
  BOOST_TEST((Calls.find(call(5))->Status_ == JobCallStatus::Missing));
  BOOST_TEST(!Calls.find(call(4)));
  BOOST_TEST(!Calls.find(call(6)));
  BOOST_TEST(!Calls.find(call(5, "e1")));
  BOOST_TEST(!Calls.find(call(5, "e0", 2)));
}

// Guards against a call that is decided anew once its rejection is forgotten,
// and against memory that grows with the refusals of a term.
BOOST_AUTO_TEST_CASE(ForgottenCallsAreToldFromNewOnes) {
  DecidedCalls Calls;
  constexpr std::uint64_t Count = 3 * DecidedCalls::MaxCallsPerEntry;
  for (std::uint64_t I = 1; I <= Count; ++I)
    Calls.add(call(2 * I), decision(JobCallStatus::Refused), Now);
  Calls.add(call(2), decision(JobCallStatus::Refused), Now);
  std::uint64_t Remembered = 0;
  for (std::uint64_t I = 1; I <= Count; ++I) {
    const bool Known = Calls.find(call(2 * I)).has_value();
    BOOST_TEST(Known != Calls.isBelowBound(call(2 * I)));
    Remembered += Known ? 1 : 0;
  }
  BOOST_TEST(Remembered == DecidedCalls::MaxCallsPerEntry);
  BOOST_TEST(Calls.isBelowBound(call(1)));
  BOOST_TEST(!Calls.isBelowBound(call(2 * Count - 1)));
}

// Guards against entries of earlier releases and tests, whose calls have no
// number, sharing one answer.
BOOST_AUTO_TEST_CASE(CallsWithoutANumberAreNotRemembered) {
  DecidedCalls Calls;
  Calls.add(call(0), decision(JobCallStatus::Refused), Now);
  BOOST_TEST(!Calls.find(call(0)));
  BOOST_TEST(!Calls.isBelowBound(call(0)));
}

// Guards against memory that grows with the restarts of entries, and against a
// call that is accepted since its rejection was long ago.
BOOST_AUTO_TEST_CASE(OnlyTheBoundOfASilentEntryIsKept) {
  DecidedCalls Calls;
  Calls.add(call(1, "e0"), decision(JobCallStatus::Refused), Now);
  Calls.add(call(2, "e0"), decision(JobCallStatus::Refused), Now);
  Calls.add(call(1, "e1"), decision(JobCallStatus::Refused), Now + 5min);
  Calls.add(call(1, "e2"), decision(JobCallStatus::Refused),
            Now + DecidedCalls::Retention + 1ms);
  BOOST_TEST(Calls.size() == 2u);
  BOOST_TEST(Calls.isBelowBound(call(2, "e0")));
  BOOST_TEST(!Calls.isBelowBound(call(3, "e0")));
  BOOST_TEST(!Calls.isBelowBound(call(1, "e1")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
