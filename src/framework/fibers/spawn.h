#pragma once

#include "framework/fibers/stackpool.h"

#include <memory>

#include <boost/fiber/fiber.hpp>

namespace laburnumspread::framework::fibers {

/// Allocates fiber stacks from the pool of the thread.
class StackAllocator {
public:
  boost::context::stack_context allocate() { return stackPool().allocate(); }
  void deallocate(boost::context::stack_context &Stack) noexcept {
    stackPool().deallocate(Stack);
  }
};

/// Gives a fiber priority if its thread uses an AsioScheduler.
void makeUrgent(boost::fibers::fiber &Fiber);

/// Starts a detached fiber. \p Run must keep everything it uses alive, for
/// example through shared pointers.
template <typename Body> void spawn(Body &&Run) {
  boost::fibers::fiber(std::allocator_arg, StackAllocator(),
                       std::forward<Body>(Run))
      .detach();
}

/// The same for a fiber with little work that must not wait for others. The
/// thread must use an AsioScheduler, or has no priorities.
template <typename Body> void spawnUrgent(Body &&Run) {
  boost::fibers::fiber Fiber(std::allocator_arg, StackAllocator(),
                             std::forward<Body>(Run));
  makeUrgent(Fiber);
  Fiber.detach();
}

} // namespace laburnumspread::framework::fibers
