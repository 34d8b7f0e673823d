#pragma once

#include <cstddef>
#include <memory>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/protected_fixedsize_stack.hpp>
#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/asan_interface.h>
#endif

namespace laburnumspread::framework::fibers {

/// Stack of one fiber. Only touched pages take memory; the guard page turns an
/// overflow into a stop instead of silent damage.
constexpr std::size_t StackBytes = 128 * 1024;

/// Allocates fiber stacks. The address sanitizer keeps the marks of frames that
/// were on a stack when its fiber ended, and would take the frames of the next
/// fiber at that address for damage; so they are cleared.
class StackAllocator : public boost::fibers::protected_fixedsize_stack {
  using Base = boost::fibers::protected_fixedsize_stack;

public:
  explicit StackAllocator(std::size_t Bytes) : Base(Bytes) {}

  boost::context::stack_context allocate() {
    boost::context::stack_context Stack = Base::allocate();
#if defined(__SANITIZE_ADDRESS__)
    __asan_unpoison_memory_region(static_cast<char *>(Stack.sp) - Stack.size,
                                  Stack.size);
#endif
    return Stack;
  }
};

/// Starts a fiber that nobody joins; what it uses it keeps alive by shared
/// ownership.
template <typename Body> void spawn(Body &&Run) {
  boost::fibers::fiber(std::allocator_arg, StackAllocator(StackBytes),
                       std::forward<Body>(Run))
      .detach();
}

} // namespace laburnumspread::framework::fibers
