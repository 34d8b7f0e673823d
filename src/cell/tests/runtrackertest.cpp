#include "cell/runtracker.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using jobs::JobId;
using jobs::RunName;
using jobs::RunNumber;

const TimePoint Now(std::chrono::hours(1));
const WorkerLife Here{WorkerId("w"), 2};
const WorkerLife Former{WorkerId("w"), 1};

/// A job of two tasks, and the runs that a holder has read of it.
struct Fixture {
  Fixture() { accept("kept"); }

  void accept(const std::string &Id) {
    jobs::JobAccepted Item;
    Item.Spec_.Id_ = JobId(Id);
    Item.Spec_.Steps_.resize(1);
    Item.Spec_.Steps_[0].Count_ = 2;
    Table_.apply(Item, Now);
  }

  RunName begin(const std::string &Job, std::uint32_t Task,
                const WorkerLife &On) {
    const RunName Run{{JobId(Job), 0, 0, Task}, RunNumber(1)};
    Table_.apply(jobs::RunIntended{Run, On}, Now);
    return Run;
  }

  /// Whether the run is over after some holds that do not list it. Each leaves
  /// at once after the report before; \p StopAnswered comes a moment later.
  template <typename Answer>
  bool isOver(const RunName &Run, const Answer &StopAnswered) {
    TimePoint Sent = Now;
    for (int Holds = 0; Holds < 10; ++Holds) {
      HoldReply Reply;
      Reply.Result_ = OrderResult::Done;
      for (const auto &Item : Tracker_.report(Here, Reply, Sent, 0).Ended_)
        if (Item.Run_ == Run)
          return true;
      Sent += std::chrono::milliseconds(800);
      StopAnswered(Sent + std::chrono::milliseconds(1));
    }
    return false;
  }

  jobs::CellTable Table_;
  RunTracker Tracker_{Table_};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunTrackerTest, Fixture)

// A worker's process started again with a start on its way, and the worker went
// out of use for good, its task nowhere at work: a stop of the former life's
// run left after each report and was answered after the next hold had left. The
// last answer counted, so no hold was ever sent after it.
BOOST_AUTO_TEST_CASE(ARunOfAFormerLifeIsOverThoughAStopFollowsEachReport) {
  const RunName Run = begin("kept", 0, Former);
  Tracker_.staged(Run);
  Tracker_.startSent(Run, 1000);
  BOOST_TEST(
      isOver(Run, [&](TimePoint At) { Tracker_.stopAnsweredLater(Run, At); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
