#include "cell/orderhealth.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

const TimePoint Start(std::chrono::hours(1));

struct Fixture {
  void failOrders(std::uint32_t Count) {
    for (std::uint32_t I = 0; I < Count; ++I)
      Orders_.recordStart(OrderResult::Unknown, Now_, 1);
  }

  /// Fails one order after each pause; returns the last pause.
  Duration pauseAfterFailures(int Count) {
    Duration Pause{};
    for (int I = 0; I < Count; ++I) {
      failOrders(1);
      const TimePoint Begin = Now_;
      while (Orders_.avoided(Now_))
        Now_ += std::chrono::milliseconds(1);
      Pause = Now_ - Begin;
    }
    return Pause;
  }

  OrderHealth Orders_;
  TimePoint Now_ = Start;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OrderHealthTest, Fixture)

// Guards against a worker that is out of use for a lost reply.
BOOST_AUTO_TEST_CASE(SingleLostRepliesDoNotCount) {
  failOrders(OrderHealth::MaxUnanswered - 1);
  BOOST_TEST(!Orders_.avoided(Now_));
  Orders_.recordStart(OrderResult::Done, Now_, 1);
  failOrders(OrderHealth::MaxUnanswered - 1);
  BOOST_TEST(!Orders_.avoided(Now_));
}

// Guards against a worker that stays out of use after its last failure.
BOOST_AUTO_TEST_CASE(WorkerIsTriedAgainAfterAPause) {
  failOrders(OrderHealth::MaxUnanswered);
  BOOST_TEST(Orders_.avoided(Now_));
  Now_ += OrderHealth::FirstPause;
  BOOST_TEST(!Orders_.avoided(Now_));
  BOOST_TEST(Orders_.onTrial());
}

// Guards against many tasks for a worker that has not shown that it is back.
BOOST_AUTO_TEST_CASE(OneTaskIsPlannedAtATime) {
  failOrders(OrderHealth::MaxUnanswered);
  Now_ += OrderHealth::FirstPause;
  Orders_.recordPlanned(Now_);
  BOOST_TEST(Orders_.avoided(Now_));
  Orders_.recordStart(OrderResult::Done, Now_, 1);
  BOOST_TEST(!Orders_.avoided(Now_));
  BOOST_TEST(!Orders_.onTrial());
}

// Guards against a pause longer than what a waiting task may take.
BOOST_AUTO_TEST_CASE(PausesGrowToTheirBound) {
  failOrders(OrderHealth::MaxUnanswered - 1);
  BOOST_TEST((pauseAfterFailures(1) == OrderHealth::FirstPause));
  BOOST_TEST((pauseAfterFailures(1) == 2 * OrderHealth::FirstPause));
  BOOST_TEST((pauseAfterFailures(10) == OrderHealth::MaxPause));
}

// Guards against a worker avoided because it refuses a task for a good reason.
BOOST_AUTO_TEST_CASE(RefusalsAreReplies) {
  failOrders(OrderHealth::MaxUnanswered);
  Orders_.recordStart(OrderResult::NoRoom, Now_, 1);
  BOOST_TEST(!Orders_.onTrial());
}

// Guards against a worker that gets tasks all the time as it answers stops and
// no start.
BOOST_AUTO_TEST_CASE(AnsweredStopsTellNothingOfStarts) {
  failOrders(OrderHealth::MaxUnanswered);
  Orders_.recordStop(OrderResult::Done, Now_, 1);
  BOOST_TEST(Orders_.onTrial());
  BOOST_TEST(Orders_.avoided(Now_));
}

// Guards against a task that is planned on a worker right after it failed, as
// the pause for an earlier failure ends.
BOOST_AUTO_TEST_CASE(EachFailureIsFollowedByAPause) {
  failOrders(OrderHealth::MaxUnanswered);
  Now_ += OrderHealth::FirstPause - std::chrono::milliseconds(1);
  failOrders(1);
  Now_ += std::chrono::milliseconds(2);
  BOOST_TEST(Orders_.avoided(Now_));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
