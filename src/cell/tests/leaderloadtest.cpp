#include "cell/leaderload.h"

#include <boost/test/unit_test.hpp>

#include <deque>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;
using Duration = LeaderLoad::Duration;

constexpr std::size_t MostStarts = 512;
constexpr LeaderLoad::TimePoint Now{1h};

/// A leader with too little processor time, in simulated time. Each start costs
/// it some time, and so do the polls of what runs. Tasks end by themselves.
class ShortLeader {
public:
  static constexpr Duration StartCost = 2ms;
  static constexpr Duration PollCost = 1ms;
  static constexpr Duration TaskTime = 1s;
  static constexpr Duration Tick = 100ms;

  explicit ShortLeader(bool Adapts) : Adapts_(Adapts) {}

  /// Lets tasks arrive for some time.
  void run(double TasksPerTick, Duration Time) {
    for (Duration Until = Now_ + Time; Now_ < Until;) {
      Arrived_ += TasksPerTick;
      tick();
    }
  }

  std::size_t started() const { return Started_; }
  Duration worstDelay() const { return WorstDelay_; }
  std::size_t refused() const { return Refused_; }

private:
  void tick() {
    for (; Arrived_ >= 1; --Arrived_) {
      if (Adapts_ && Load_.overloaded())
        ++Refused_;
      else
        ++Waiting_;
    }
    const std::size_t Most =
        Adapts_ ? Load_.startsAllowed(MostStarts) : MostStarts;
    const std::size_t Starts = std::min(Waiting_, Most);
    Waiting_ -= Starts;
    Started_ += Starts;
    for (std::size_t I = 0; I < Starts; ++I)
      Ends_.push_back(Now_ + TaskTime);
    // Polls wait longer at the workers while the leader is late.
    const int PollsPerTask = Adapts_ && Load_.late() ? 1 : 4;
    const Duration Work =
        StartCost * static_cast<int>(Starts) +
        PollCost * (PollsPerTask * static_cast<int>(Ends_.size()) / 10);
    const Duration Late = std::max(Duration::zero(), Work - Tick);
    WorstDelay_ = std::max(WorstDelay_, Late);
    Load_.record(Late, LeaderLoad::TimePoint(Now_));
    Now_ += Tick + Late;
    while (!Ends_.empty() && Ends_.front() <= Now_)
      Ends_.pop_front();
  }

  bool Adapts_;
  LeaderLoad Load_;
  Duration Now_{};
  double Arrived_ = 0;
  std::size_t Waiting_ = 0;
  std::size_t Started_ = 0;
  std::size_t Refused_ = 0;
  Duration WorstDelay_{};
  std::deque<Duration> Ends_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LeaderLoadTest)

BOOST_AUTO_TEST_CASE(NothingChangesWhileTheLeaderIsInTime) {
  LeaderLoad Load;
  for (int I = 0; I < 100; ++I)
    Load.record(LeaderLoad::NormalDelay, Now);
  BOOST_TEST(Load.startsAllowed(MostStarts) == MostStarts);
  BOOST_TEST(!Load.overloaded());
  BOOST_TEST((Load.timeFor(1s, 6) == Duration(1s)));
  ShortLeader Leader(true);
  Leader.run(10, 20s);
  BOOST_TEST(Leader.refused() == 0u);
}

BOOST_AUTO_TEST_CASE(StartsShrinkAsTheDelayGrows) {
  LeaderLoad Load;
  for (int I = 0; I < 100; ++I)
    Load.record(4 * LeaderLoad::NormalDelay, Now);
  BOOST_TEST(Load.startsAllowed(MostStarts) <= MostStarts / 4 + 1);
  for (int I = 0; I < 100; ++I)
    Load.record(std::chrono::hours(1), Now);
  BOOST_TEST(Load.startsAllowed(MostStarts) == 1u);
  BOOST_TEST(Load.overloaded());
}

// Guards against jobs that a slow leader accepts and cannot start while they
// are of use.
BOOST_AUTO_TEST_CASE(WaitFollowsFromThePaceOfALateLeader) {
  LeaderLoad Load;
  const auto RecordSecond = [&](int Second) {
    Load.recordPass(300, 3000, Now + std::chrono::seconds(Second));
  };
  RecordSecond(0);
  RecordSecond(1);
  BOOST_TEST((Load.startWait(Now + 1s) == Duration::zero()));
  for (int Second = 2; Second < 12; ++Second)
    RecordSecond(Second);
  for (int I = 0; I < 10; ++I)
    Load.record(300ms, Now + 12s);
  BOOST_TEST((Load.startWait(Now + 13s) > 9s));
  BOOST_TEST((Load.startWait(Now + 13s) < 11s));
  BOOST_TEST((Load.startWait(Now + 15s) == Duration::zero()));
}

// Guards against a leader that defers jobs although it can start all of them,
// or defers none although it cannot.
BOOST_AUTO_TEST_CASE(PaceIsKnownWhileItBoundsThePasses) {
  LeaderLoad Load;
  for (int Second = 0; Second < 12; ++Second)
    Load.recordPass(300, 3000, Now + std::chrono::seconds(Second));
  BOOST_TEST(!Load.startsPerSecond(Now + 12s));
  Load.recordBound(Now + 12s);
  BOOST_REQUIRE(Load.startsPerSecond(Now + 12s));
  BOOST_TEST(*Load.startsPerSecond(Now + 12s) > 290);
  BOOST_TEST(*Load.startsPerSecond(Now + 12s) < 310);
  BOOST_TEST(!Load.startsPerSecond(Now + 14s));
}

// Guards against a leader short of processor time that takes on ever more,
// until its answers and renewals all come too late.
BOOST_AUTO_TEST_CASE(ShortLeaderStaysInTimeAndServesItsCapacity) {
  ShortLeader Adapting(true), Other(false);
  // Three times what the leader can start.
  Adapting.run(150, 30s);
  Other.run(150, 30s);
  BOOST_TEST((Adapting.worstDelay() < Other.worstDelay()));
  BOOST_TEST((Adapting.worstDelay() <= 2 * LeaderLoad::MaxDelay));
  BOOST_TEST(Adapting.started() >= Other.started());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
