#include "cell/callrouter.h"

#include "framework/fibers/spawn.h"

#include <boost/test/unit_test.hpp>

// An entry whose leader leaves, and that learns of the successor later.

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;
using peers::JobCallStatus;
using peers::RefusalReason;

journal::Leader leaderWith(std::uint64_t Token) {
  journal::Leader Result;
  Result.Entry_ = fleet::EntryName("e" + std::to_string(Token));
  Result.Token_ = jobs::FencingToken(Token);
  return Result;
}

/// The first leader denies all calls, as it is leaving; its successor accepts
/// them.
struct Fixture {
  static constexpr std::uint64_t FirstToken = 1;

  CallResult submit(Duration Timeout) {
    return call(peers::JobCallKind::Submit, Timeout);
  }

  CallResult call(peers::JobCallKind Kind, Duration Timeout) {
    peers::JobCall Call;
    Call.Kind_ = Kind;
    Call.Job_ = "0000000000000001";
    const TimePoint Now = framework::clock::SteadyClock().now();
    return Router_.call(std::move(Call), Now + LeaderWait, Now + Timeout);
  }

  /// The head key is gone; the successor has it after \p Time.
  void electAfter(Duration Time) {
    Known_ = journal::Leader();
    framework::fibers::spawn([this, Time] {
      framework::fibers::sleepFor(Time);
      Known_ = leaderWith(FirstToken + 1);
      Router_.resendAll();
      Elected_ = true;
    });
  }

  void waitForElection() const {
    while (!Elected_)
      framework::fibers::sleepFor(1ms);
  }

  void send(const journal::Leader &To, const peers::JobCall &Call) {
    ++Sent_;
    if (LostFirst_ > 0) {
      --LostFirst_;
      return;
    }
    peers::JobReply Reply;
    Reply.Sequence_ = Call.Sequence_;
    Reply.Attempt_ = Call.Attempt_;
    const bool Leaving = To.Token_.value() == FirstToken;
    Reply.Status_ = Leaving ? JobCallStatus::NotLeader : JobCallStatus::Ok;
    Reply.Refusal_ =
        Leaving ? RefusalReason::Leaving : RefusalReason::StoreUnavailable;
    framework::fibers::spawn([this, Reply] { Router_.handleReply(Reply); });
  }

  static constexpr Duration LeaderWait = 20ms;
  journal::Leader Known_ = leaderWith(FirstToken);
  std::size_t Sent_ = 0;
  /// Number of further attempts that are lost.
  std::size_t LostFirst_ = 0;
  bool Elected_ = false;
  CallRouter Router_{
      {[](const peers::JobCall &, const CallRouter::ReplyFn &) {},
       [] { return false; }, [this] { return Known_; },
       [](const journal::Leader &) { return false; },
       [this](const journal::Leader &To, const peers::JobCall &Call,
              const CallAttempt &) { send(To, Call); }}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallRouterTest, Fixture)

// Guards against jobs that are refused at each planned stop of a leader, to
// come back a second later, although its successor leads soon.
BOOST_AUTO_TEST_CASE(CallWaitsForTheSuccessorOfALeavingLeader) {
  framework::fibers::spawn([this] {
    while (Sent_ == 0)
      framework::fibers::sleepFor(1ms);
    electAfter(10 * LeaderWait);
  });
  const CallResult Result = submit(2s);
  BOOST_TEST((Result.Reply_.Status_ == JobCallStatus::Ok));
  waitForElection();
}

// Guards against an operator who looks for an outage of the store while the
// leader is only leaving, and against callers that are not told to come back.
BOOST_AUTO_TEST_CASE(RefusalWithoutASuccessorTellsThatTheLeaderLeaves) {
  const CallResult Result = submit(2s);
  BOOST_TEST((Result.Reply_.Status_ == JobCallStatus::Refused));
  BOOST_TEST((Result.Reply_.Refusal_ == RefusalReason::Leaving));
}

// Guards against a leaving leader that spends its last processor time on
// denying the same calls again and again.
BOOST_AUTO_TEST_CASE(DeniedCallIsSentAFewTimesOnly) {
  submit(2s);
  BOOST_TEST(Sent_ <= 8u);
}

// Guards against a caller that waits for its deadline and is told "unknown"
// about a read, because one of several attempts was lost.
BOOST_AUTO_TEST_CASE(DeniedReadIsRefusedThoughAnAttemptWasLost) {
  LostFirst_ = 1;
  const CallResult Read = call(peers::JobCallKind::Waiting, 2s);
  BOOST_TEST((Read.Reply_.Status_ == JobCallStatus::Refused));
  BOOST_TEST((Read.Reply_.Refusal_ == RefusalReason::Leaving));
  BOOST_TEST(Read.Attempts_ <= 8u);
  LostFirst_ = 1;
  BOOST_TEST((submit(500ms).Reply_.Status_ == JobCallStatus::Unknown));
}

// Guards against callers that are held up each time while no leader can be
// elected.
BOOST_AUTO_TEST_CASE(CallIsRefusedAtOnceAfterALongTimeWithoutALeader) {
  Known_ = journal::Leader();
  submit(2s);
  electAfter(10 * LeaderWait);
  const CallResult Result = submit(2s);
  BOOST_TEST((Result.Reply_.Status_ == JobCallStatus::Refused));
  BOOST_TEST(!Elected_);
  waitForElection();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
