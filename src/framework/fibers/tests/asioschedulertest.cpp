#include "framework/fibers/asioscheduler.h"

#include "framework/fibers/spawn.h"
#include "framework/fibers/timeslice.h"
#include "framework/fibers/waiter.h"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

namespace laburnumspread::framework::fibers {

namespace {

using namespace std::chrono_literals;

constexpr int Fibers = 400;
constexpr auto Slice = 1ms;

/// A process whose fibers are always ready, and that has no processor time to
/// spare. Counts the slices that they run.
class BusyProcess {
public:
  BusyProcess() {
    for (int I = 0; I < Fibers; ++I)
      spawn([this] {
        while (!Stopped_) {
          std::this_thread::sleep_for(Slice);
          ++Slices_;
          boost::this_fiber::yield();
        }
        ++Ended_;
      });
  }

  void stop() {
    Stopped_ = true;
    while (Ended_ < Fibers)
      boost::this_fiber::yield();
  }

  int slices() const { return Slices_; }

private:
  int Slices_ = 0;
  int Ended_ = 0;
  bool Stopped_ = false;
};

/// Runs \p Body on a thread that uses an AsioScheduler.
template <typename Body> void runScheduled(Body &&Run) {
  // Outlives the thread's scheduler.
  boost::asio::io_context Io;
  std::thread([&] {
    useAsioScheduler(Io);
    Run();
  }).join();
}

} // namespace

BOOST_AUTO_TEST_SUITE(AsioSchedulerTest)

// Guards against a leader that renews its lease after it has expired, because
// all fibers that are ready run before its timer is looked at.
BOOST_AUTO_TEST_CASE(UrgentTimerDoesNotWaitForAllReadyFibers) {
  runScheduled([] {
    BusyProcess Others;
    int SlicesAtWake = 0;
    bool Woken = false;
    spawnUrgent([&] {
      sleepFor(2 * Slice);
      SlicesAtWake = Others.slices();
      Woken = true;
    });
    while (!Woken)
      boost::this_fiber::yield();
    BOOST_TEST(SlicesAtWake < Fibers / 4);
    Others.stop();
  });
}

BOOST_AUTO_TEST_CASE(FibersWithoutPriorityTakeTurns) {
  runScheduled([] {
    std::vector<int> Order;
    int Ended = 0;
    for (int I = 0; I < 3; ++I)
      spawn([&Order, &Ended, I] {
        Order.push_back(I);
        boost::this_fiber::yield();
        Order.push_back(I);
        ++Ended;
      });
    while (Ended < 3)
      boost::this_fiber::yield();
    const std::vector<int> Expected{0, 1, 2, 0, 1, 2};
    BOOST_TEST(Order == Expected, boost::test_tools::per_element());
  });
}

// Guards against a leader that loads its journal and does not read the answers
// to its lease renewals: whoever was ready last ran first, also after a yield.
BOOST_AUTO_TEST_CASE(UrgentFibersTakeTurns) {
  runScheduled([] {
    std::vector<int> Order;
    int Ended = 0;
    for (int I = 0; I < 3; ++I)
      spawnUrgent([&Order, &Ended, I] {
        Order.push_back(I);
        boost::this_fiber::yield();
        Order.push_back(I);
        ++Ended;
      });
    while (Ended < 3)
      boost::this_fiber::yield();
    const std::vector<int> Expected{0, 1, 2, 0, 1, 2};
    BOOST_TEST(Order == Expected, boost::test_tools::per_element());
  });
}

// Guards against fibers that are never run, beside urgent work that always has
// more to do.
BOOST_AUTO_TEST_CASE(PausesOfUrgentWorkLetOtherFibersRun) {
  runScheduled([] {
    int OthersTurns = 0, TurnsMeanwhile = 0;
    bool Ended = false;
    spawnUrgent([&] {
      const int Before = OthersTurns;
      TimeSlice Own;
      for (int I = 0; I < Fibers && OthersTurns == Before; ++I) {
        std::this_thread::sleep_for(Slice);
        Own.pauseIfUsed();
      }
      TurnsMeanwhile = OthersTurns - Before;
      Ended = true;
    });
    while (!Ended) {
      ++OthersTurns;
      boost::this_fiber::yield();
    }
    BOOST_TEST(TurnsMeanwhile > 0);
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::fibers
