#include "cell/callrouter.h"

#include "framework/fibers/spawn.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <utility>

// Entries whose callers ask for more than their leader can read.

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;
using framework::clock::SteadyClock;
using peers::JobCallStatus;

/// A leader that takes the same time for each attempt, and the calls that wait
/// for it to read them.
class BusyLeader {
public:
  explicit BusyLeader(Duration HandlingTime) : HandlingTime_(HandlingTime) {}

  void receive(CallRouter &From, const peers::JobCall &Call) {
    Unread_.push_back({&From, Call});
    MostUnread_ = std::max(MostUnread_, Unread_.size());
  }

  void handleUntil(TimePoint End) {
    for (TimePoint Next = SteadyClock().now(); Next < End;
         Next += HandlingTime_) {
      framework::fibers::sleepFor(Next - SteadyClock().now());
      handleNext();
    }
  }

  /// Returns the most unread attempts since the last call of this.
  std::size_t takeMostUnread() {
    return std::exchange(MostUnread_, Unread_.size());
  }

private:
  struct Attempt {
    CallRouter *From_;
    peers::JobCall Call_;
  };

  void handleNext() {
    if (Unread_.empty())
      return;
    const Attempt Next = Unread_.front();
    Unread_.pop_front();
    peers::JobReply Reply;
    Reply.Sequence_ = Next.Call_.Sequence_;
    Reply.Attempt_ = Next.Call_.Attempt_;
    Reply.Status_ = JobCallStatus::Ok;
    Reply.Timing_ = {*Next.Call_.SentAt_, Duration::zero()};
    Next.From_->handleReply(Reply);
  }

  Duration HandlingTime_;
  std::deque<Attempt> Unread_;
  std::size_t MostUnread_ = 0;
};

journal::Leader leaderOfTheCell() {
  journal::Leader Result;
  Result.Entry_ = fleet::EntryName("leader");
  Result.Token_ = jobs::FencingToken(1);
  return Result;
}

/// An entry that calls the leader.
class Entry {
public:
  explicit Entry(BusyLeader &Leader)
      : Router_({[](const peers::JobCall &, const CallRouter::ReplyFn &) {},
                 [] { return false; }, [] { return leaderOfTheCell(); },
                 [](const journal::Leader &) { return false; },
                 [this, &Leader](
                     const journal::Leader &, const peers::JobCall &Call,
                     const CallAttempt &) { Leader.receive(Router_, Call); }}) {
  }

  CallResult call(Duration Timeout) {
    const TimePoint Now = SteadyClock().now();
    return Router_.call(peers::JobCall(), Now + 80ms, Now + Timeout);
  }

  CallRouter Router_;
};

struct Fixture {
  static constexpr std::size_t Entries = 20;
  static constexpr Duration Offered = 6s;

  Fixture() : Fixture(4ms) {}
  explicit Fixture(Duration HandlingTime)
      : Capacity_(static_cast<std::size_t>(Offered / HandlingTime)),
        Leader_(HandlingTime) {
    for (std::size_t I = 0; I < Entries; ++I)
      Entries_.push_back(std::make_unique<Entry>(Leader_));
  }

  /// Sends as many calls as the leader handles, times \p Load, and waits until
  /// all have ended.
  void offer(double Load) {
    const TimePoint Start = SteadyClock().now();
    framework::fibers::spawn(
        [this, Start] { Leader_.handleUntil(Start + Offered + 2s); });
    const auto Calls =
        static_cast<std::size_t>(Load * static_cast<double>(Capacity_));
    for (std::size_t I = 0; I < Calls; ++I) {
      startCall(*Entries_[I % Entries]);
      framework::fibers::sleepFor(Start + (I + 1) * Offered / Calls -
                                  SteadyClock().now());
    }
    while (Open_ > 0)
      framework::fibers::sleepFor(10ms);
  }

  void startCall(Entry &By) {
    ++Open_;
    framework::fibers::spawn([this, &By] {
      const TimePoint Start = SteadyClock().now();
      const CallResult Result = By.call(Timeout_);
      Answered_ += Result.Reply_.Status_ == JobCallStatus::Ok;
      Unknown_ += Result.Reply_.Status_ == JobCallStatus::Unknown;
      const bool Refused = Result.Reply_.Status_ == JobCallStatus::Refused;
      RefusedUnsent_ += Refused && Result.Attempts_ == 0;
      if (Refused)
        LongestRefusal_ =
            std::max(LongestRefusal_, SteadyClock().now() - Start);
      --Open_;
    });
  }

  Duration Timeout_ = 1s;
  /// Attempts that the leader reads while a caller waits for its answer.
  std::size_t readInTime() const {
    return Capacity_ * static_cast<std::size_t>(Timeout_ / 1ms) /
           static_cast<std::size_t>(Offered / 1ms);
  }

  /// Calls that the leader has time for.
  std::size_t Capacity_;
  BusyLeader Leader_;
  std::vector<std::unique_ptr<Entry>> Entries_;
  std::size_t Open_ = 0;
  std::size_t Answered_ = 0;
  std::size_t Unknown_ = 0;
  std::size_t RefusedUnsent_ = 0;
  Duration LongestRefusal_{};
};

/// A leader that has no time for one call of each entry at once: the last of
/// them would be answered after 1.2 s.
struct SlowLeaderFixture : Fixture {
  SlowLeaderFixture() : Fixture(60ms) {}
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallWindowTest, Fixture)

// Guards against a leader whose sockets fill with calls, until its memory
// exceeds the limit and the process ends.
BOOST_AUTO_TEST_CASE(CallsBeyondTheLeadersCapacityDoNotWaitAtIt) {
  std::size_t MostAtFirst = 0;
  framework::fibers::spawn([&] {
    framework::fibers::sleepFor(2 * Timeout_);
    MostAtFirst = Leader_.takeMostUnread();
  });
  offer(10);
  // At first no entry knows the leader's pace.
  BOOST_TEST(MostAtFirst <= 2 * readInTime());
  BOOST_TEST(Leader_.takeMostUnread() <= readInTime());
  BOOST_TEST(Answered_ >= Capacity_ / 2);
}

// Guards against callers that are told "unknown" a second later of calls that
// the leader never had time for.
BOOST_AUTO_TEST_CASE(CallsThatTheLeaderHasNoTimeForAreRefusedUnsent) {
  offer(5);
  BOOST_TEST(RefusedUnsent_ >= 3 * Capacity_);
  BOOST_TEST(Unknown_ <= Capacity_ / 4);
  BOOST_TEST((LongestRefusal_ <= CallWindow::MaxWait + 200ms));
}

// Guards against a large fleet whose entries wait for one late reply each, and
// have no call answered in time.
BOOST_FIXTURE_TEST_CASE(EntriesPauseIfOneCallOfEachIsTooMuch,
                        SlowLeaderFixture) {
  offer(20);
  BOOST_TEST(Answered_ >= Capacity_ / 4);
  BOOST_TEST(Unknown_ <= 2 * Capacity_);
}

// Guards against a limit that refuses calls which the leader has time for.
BOOST_AUTO_TEST_CASE(ALeaderWithTimeIsSentEveryCall) {
  offer(0.7);
  BOOST_TEST(RefusedUnsent_ == 0u);
  BOOST_TEST(Unknown_ == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
