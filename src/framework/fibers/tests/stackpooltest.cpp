#include "framework/fibers/stackpool.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::framework::fibers {

BOOST_AUTO_TEST_SUITE(StackPoolTest)

BOOST_AUTO_TEST_CASE(StackOfAnEndedFiberIsUsedAgain) {
  StackPool Pool;
  auto First = Pool.allocate();
  void *const At = First.sp;
  Pool.deallocate(First);
  BOOST_TEST(Pool.unused() == 1u);
  auto Second = Pool.allocate();
  BOOST_TEST(Second.sp == At);
  BOOST_TEST(Pool.unused() == 0u);
  Pool.deallocate(Second);
}

// Guards against two fibers on one stack.
BOOST_AUTO_TEST_CASE(StacksInUseAreDistinct) {
  StackPool Pool;
  auto First = Pool.allocate();
  auto Second = Pool.allocate();
  BOOST_TEST(First.sp != Second.sp);
  Pool.deallocate(First);
  Pool.deallocate(Second);
}

// Guards against memory that a burst of fibers leaves in use for ever.
BOOST_AUTO_TEST_CASE(NoMoreThanTheLimitIsKept) {
  StackPool Pool;
  std::vector<boost::context::stack_context> Stacks;
  for (std::size_t I = 0; I < StackPool::MaxUnused + 3; ++I)
    Stacks.push_back(Pool.allocate());
  for (auto &Stack : Stacks)
    Pool.deallocate(Stack);
  BOOST_TEST(Pool.unused() == StackPool::MaxUnused);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::fibers
