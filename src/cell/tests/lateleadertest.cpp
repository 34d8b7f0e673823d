#include "cell/callrouter.h"
#include "cell/tests/jobcallfixture.h"
#include "framework/fibers/spawn.h"

// Calls whose leader is so late that several attempts wait there, or whose
// attempts reach two leaders.

namespace laburnumspread::cell {

namespace {

/// An entry that calls leaders, and the attempts that they have not handled.
struct LateLeaderFixture : JobCallFixture {
  struct Attempt {
    journal::Leader To_;
    peers::JobCall Call_;
  };

  static journal::Leader leaderWith(std::uint64_t Token) {
    journal::Leader Result;
    Result.Entry_ = fleet::EntryName("e" + std::to_string(Token));
    Result.Token_ = jobs::FencingToken(Token);
    return Result;
  }

  CallResult submitThroughRouter(const jobs::JobSpec &Spec,
                                 Duration Timeout = 1min) {
    peers::JobCall Call;
    Call.Kind_ = peers::JobCallKind::Submit;
    Call.Job_ = Spec.Id_.str();
    Call.Spec_ = jobs::encodeGroup({jobs::JobAccepted{Spec}});
    const TimePoint Until = framework::clock::SteadyClock().now() + Timeout;
    return Router_.call(std::move(Call), Until, Until);
  }

  /// Runs the leaders' side in a fiber of its own while the call waits.
  template <typename Body> void spawnLeaders(Body Run) {
    framework::fibers::spawn([this, Run] {
      Run();
      LeadersDone_ = true;
    });
  }

  void waitForLeaders() const {
    while (!LeadersDone_)
      framework::fibers::sleepFor(1ms);
  }

  void waitForAttempts(std::size_t Count) const {
    while (Waiting_.size() < Count)
      framework::fibers::sleepFor(1ms);
  }

  /// The leader of the fixture's term handles a waiting attempt.
  void handle(const Attempt &Item) {
    Handler_->handle(Item.Call_, [&](peers::JobReply Reply) {
      Reply.Attempt_ = Item.Call_.Attempt_;
      Router_.handleReply(Reply);
    });
  }

  journal::Leader Known_ = leaderWith(Leadership_.token().value());
  std::vector<Attempt> Waiting_;
  bool LeadersDone_ = false;
  CallRouter Router_{
      {[](const peers::JobCall &, const CallRouter::ReplyFn &) {},
       [] { return false; }, [this] { return Known_; },
       [](const journal::Leader &) { return false; },
       [this](const journal::Leader &To, const peers::JobCall &Call,
              const CallAttempt &) {
         Waiting_.push_back({To, Call});
       }}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LateLeaderTest, LateLeaderFixture)

// Guards against a job that runs although its caller was told that it never
// does: a late leader refuses the first attempt and accepts the second.
BOOST_AUTO_TEST_CASE(RefusedCallIsNotAcceptedByALaterAttempt) {
  const jobs::JobSpec Job = job("0000000000000001");
  spawnLeaders([this] {
    waitForAttempts(2);
    fillPool();
    handle(Waiting_[0]);
    Term_->Admission_.rebuild({});
    handle(Waiting_[1]);
  });
  const CallResult Result = submitThroughRouter(Job);
  waitForLeaders();
  BOOST_TEST((Result.Reply_.Status_ == JobCallStatus::Refused));
  BOOST_TEST(!known(Job));
  BOOST_TEST(Router_.contradictedCalls() == 0u);
}

// Guards against the same, where a former leader refuses the first attempt and
// its successor accepts the second.
BOOST_AUTO_TEST_CASE(RefusalByAFormerLeaderIsNotFinal) {
  const jobs::JobSpec Job = job("0000000000000001");
  spawnLeaders([this] {
    waitForAttempts(1);
    Known_ = leaderWith(Known_.Token_.value() + 1);
    Router_.resendAll();
    waitForAttempts(2);
    fillPool();
    handle(Waiting_[0]);
    framework::fibers::sleepFor(10ms);
    peers::JobReply Accepted;
    Accepted.Sequence_ = Waiting_[1].Call_.Sequence_;
    Accepted.Attempt_ = Waiting_[1].Call_.Attempt_;
    Accepted.Status_ = JobCallStatus::Ok;
    Router_.handleReply(Accepted);
  });
  const CallResult Result = submitThroughRouter(Job);
  waitForLeaders();
  BOOST_TEST((Result.Reply_.Status_ == JobCallStatus::Ok));
  BOOST_TEST(Router_.contradictedCalls() == 0u);
}

// Guards against a caller that is told "unknown" although the only attempt that
// was processed was refused.
BOOST_AUTO_TEST_CASE(RefusalIsReturnedOnceNoAttemptIsOpen) {
  const jobs::JobSpec Job = job("0000000000000001");
  spawnLeaders([this] {
    waitForAttempts(1);
    Known_ = leaderWith(Known_.Token_.value() + 1);
    Router_.resendAll();
    waitForAttempts(2);
    fillPool();
    handle(Waiting_[0]);
    peers::JobReply Denial;
    Denial.Sequence_ = Waiting_[1].Call_.Sequence_;
    Denial.Attempt_ = Waiting_[1].Call_.Attempt_;
    Denial.Status_ = JobCallStatus::NotLeader;
    Router_.handleReply(Denial);
  });
  const CallResult Result = submitThroughRouter(Job, 1s);
  waitForLeaders();
  BOOST_TEST((Result.Reply_.Status_ == JobCallStatus::Refused));
  BOOST_TEST((Result.Reply_.Refusal_ == RefusalReason::PoolFull));
  BOOST_TEST(Result.Attempts_ == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
