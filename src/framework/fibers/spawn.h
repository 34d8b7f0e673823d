#pragma once

#include <cstddef>
#include <memory>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/protected_fixedsize_stack.hpp>
#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/asan_interface.h>
#endif

namespace laburnumspread::framework::fibers {

/// Stack size of a fiber, in bytes. Only pages that were touched use memory,
/// and a guard page turns an overflow into a crash instead of memory
/// corruption.
constexpr std::size_t StackBytes = 128 * 1024;

/// Allocates fiber stacks. AddressSanitizer keeps the poisoned regions of
/// frames that were on a stack when its fiber ended, and would report false
/// errors for the next fiber at that address, so allocate() unpoisons the
/// stack.
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

/// Starts a detached fiber. \p Run must keep everything it uses alive, for
/// example through shared pointers.
template <typename Body> void spawn(Body &&Run) {
  boost::fibers::fiber(std::allocator_arg, StackAllocator(StackBytes),
                       std::forward<Body>(Run))
      .detach();
}

} // namespace laburnumspread::framework::fibers
