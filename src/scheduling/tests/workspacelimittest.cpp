#include "scheduling/workspacelimit.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::scheduling {

namespace {

using jobs::Resources;

/// Whether one task may start beside what is held.
bool admitsOne(const Resources &Limit, const Resources &Held,
               const Resources &Task) {
  return WorkspaceLimit(Limit).admits(Held, Task, Task);
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkspaceLimitTest)

// Guards against a task that waits for ever beside a small one that lasts: what
// is left of the limit is less than its size.
BOOST_AUTO_TEST_CASE(UnderHalfOfTheLimitAnyTaskStarts) {
  const Resources Limit{1000, 0, 0}, Task{700, 0, 0};
  BOOST_TEST(admitsOne(Limit, {499, 0, 0}, Task));
  BOOST_TEST(!admitsOne(Limit, {500, 0, 0}, Task));
  BOOST_TEST(admitsOne(Limit, {300, 0, 0}, Task));
  BOOST_TEST(admitsOne(Limit, {499, 0, 0}, {5000, 0, 0}));
}

// Guards against the same for the other resources, and against a workspace that
// exceeds its limit in one as it holds little of another.
BOOST_AUTO_TEST_CASE(EachLimitedResourceCounts) {
  const Resources Limit{0, 1000, 2};
  BOOST_TEST(admitsOne(Limit, {9000, 499, 0}, {9000, 5000, 0}));
  BOOST_TEST(admitsOne(Limit, {9000, 499, 0}, {9000, 0, 4}));
  BOOST_TEST(!admitsOne(Limit, {0, 499, 1}, {0, 700, 0}));
  BOOST_TEST(!admitsOne(Limit, {0, 500, 0}, {0, 0, 4}));
}

// Guards against a gang that starts in part, or that exceeds the limit by more
// than one of its tasks.
BOOST_AUTO_TEST_CASE(GangExceedsTheLimitByAtMostOneTask) {
  const WorkspaceLimit Limit({1000, 0, 0});
  const Resources Each{300, 0, 0};
  BOOST_TEST(Limit.admits({100, 0, 0}, {1200, 0, 0}, Each));
  BOOST_TEST(!Limit.admits({101, 0, 0}, {1200, 0, 0}, Each));
  BOOST_TEST(!Limit.admits({0, 0, 0}, {1500, 0, 0}, Each));
}

BOOST_AUTO_TEST_CASE(WithoutALimitAllStart) {
  BOOST_TEST(admitsOne({}, {9000, 9000, 9}, {9000, 9000, 9}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::scheduling
