#include "cell/callrouter.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

constexpr jobs::FencingToken First(4);
constexpr jobs::FencingToken Second(9);

} // namespace

BOOST_AUTO_TEST_SUITE(CallAttemptsTest)

BOOST_AUTO_TEST_CASE(UnsentCallIsNotAccepted) {
  BOOST_TEST(!CallAttempts().mayHaveBeenAccepted());
}

BOOST_AUTO_TEST_CASE(RejectedCallIsNotAccepted) {
  CallAttempts Attempts;
  Attempts.notProcessed(Attempts.sent(First));
  BOOST_TEST(!Attempts.mayHaveBeenAccepted());
  Attempts.rejected(Attempts.sent(First), First);
  BOOST_TEST(!Attempts.mayHaveBeenAccepted());
}

// Guards against telling a caller "not run", so that it submits the job
// elsewhere, although the job is in the journal: the first leader accepted the
// call and died, and its successor did not process the second attempt.
BOOST_AUTO_TEST_CASE(OneRejectionDoesNotCoverTwoAttempts) {
  CallAttempts Attempts;
  Attempts.sent(First);
  Attempts.notProcessed(Attempts.sent(Second));
  BOOST_TEST(Attempts.mayHaveBeenAccepted());
}

// Guards against holding a caller to its deadline: its first attempt was lost
// with a leader, whose successor knows that the job was not stored.
BOOST_AUTO_TEST_CASE(RejectionCoversAttemptsAtFormerLeaders) {
  CallAttempts Attempts;
  Attempts.sent(First);
  Attempts.sent(Second);
  Attempts.rejected(Attempts.sent(Second), Second);
  BOOST_TEST(!Attempts.mayHaveBeenAccepted());
}

// Guards against a refusal by a former leader that is taken as the answer while
// its successor accepts the job.
BOOST_AUTO_TEST_CASE(RejectionDoesNotCoverAttemptsAtLaterLeaders) {
  CallAttempts Attempts;
  const std::uint32_t AtFirst = Attempts.sent(First);
  const std::uint32_t AtSecond = Attempts.sent(Second);
  Attempts.rejected(AtFirst, First);
  BOOST_TEST(Attempts.mayHaveBeenAccepted());
  Attempts.notProcessed(AtSecond);
  BOOST_TEST(!Attempts.mayHaveBeenAccepted());
}

// Guards against the same where the leader that was asked is not known, or
// where an earlier release does not tell which attempt and leader it speaks of.
BOOST_AUTO_TEST_CASE(UnnamedRejectionCoversOneAttempt) {
  CallAttempts Attempts;
  Attempts.sent(jobs::FencingToken());
  Attempts.rejected(Attempts.sent(First), Second);
  BOOST_TEST(Attempts.mayHaveBeenAccepted());
  Attempts.sent(First);
  Attempts.rejected(0, jobs::FencingToken());
  BOOST_TEST(Attempts.mayHaveBeenAccepted());
  Attempts.rejected(0, jobs::FencingToken());
  BOOST_TEST(!Attempts.mayHaveBeenAccepted());
}

// Guards against answering "unknown" to a caller whose last attempt during an
// outage has no time left. No leader was ever asked, and the caller would not
// dare to submit the job again.
BOOST_AUTO_TEST_CASE(CallWithoutTimeLeftIsRefused) {
  CallRouter Router({[](const peers::JobCall &, const CallRouter::ReplyFn &) {},
                     [] { return false; }, [] { return journal::Leader(); },
                     [](const journal::Leader &) { return false; },
                     [](const journal::Leader &, const peers::JobCall &,
                        const CallAttempt &) {}});
  const TimePoint Past = framework::clock::SteadyClock().now();
  const peers::JobReply Reply = Router.call({}, Past, Past).Reply_;
  BOOST_TEST((Reply.Status_ == peers::JobCallStatus::Refused));
}

// Guards against a caller that is refused, or waits for the next attempt, while
// the reply has already named the leader.
BOOST_AUTO_TEST_CASE(CallGoesToTheLeaderThatAReplyNames) {
  journal::Leader Known;
  Known.Token_ = jobs::FencingToken(4);
  std::vector<std::uint64_t> Asked;
  CallRouter *Self = nullptr;
  CallRouter Router({[](const peers::JobCall &, const CallRouter::ReplyFn &) {},
                     [] { return false; }, [&] { return Known; },
                     [](const journal::Leader &) { return false; },
                     [&](const journal::Leader &To, const peers::JobCall &Call,
                         const CallAttempt &) {
                       Asked.push_back(To.Token_.value());
                       peers::JobReply Reply;
                       Reply.Sequence_ = Call.Sequence_;
                       Reply.Status_ = Asked.size() == 1
                                           ? peers::JobCallStatus::NotLeader
                                           : peers::JobCallStatus::Ok;
                       Known.Token_ = jobs::FencingToken(9);
                       Self->handleReply(Reply);
                     }});
  Self = &Router;
  const TimePoint Now = framework::clock::SteadyClock().now();
  const CallResult Result = Router.call({}, Now + std::chrono::minutes(1),
                                        Now + std::chrono::minutes(1));
  BOOST_TEST((Result.Reply_.Status_ == peers::JobCallStatus::Ok));
  BOOST_TEST(Result.Attempts_ == 2u);
  BOOST_TEST(Result.Asked_.Token_.value() == 9u);
  const std::vector<std::uint64_t> Expected{4, 9};
  BOOST_TEST(Asked == Expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
