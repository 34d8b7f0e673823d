#include "framework/fibers/stackpool.h"

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/asan_interface.h>
#endif

namespace laburnumspread::framework::fibers {

namespace {

/// AddressSanitizer keeps the poisoned regions of frames that were on a stack
/// when its fiber ended, and would report false errors for the next fiber at
/// that address.
void unpoison([[maybe_unused]] const boost::context::stack_context &Stack) {
#if defined(__SANITIZE_ADDRESS__)
  __asan_unpoison_memory_region(static_cast<char *>(Stack.sp) - Stack.size,
                                Stack.size);
#endif
}

} // namespace

StackPool::~StackPool() {
  for (boost::context::stack_context &Stack : Unused_)
    Memory_.deallocate(Stack);
}

boost::context::stack_context StackPool::allocate() {
  boost::context::stack_context Stack;
  if (Unused_.empty()) {
    Stack = Memory_.allocate();
  } else {
    Stack = Unused_.back();
    Unused_.pop_back();
  }
  unpoison(Stack);
  return Stack;
}

void StackPool::deallocate(boost::context::stack_context &Stack) noexcept {
  if (Unused_.size() >= MaxUnused)
    return Memory_.deallocate(Stack);
  if (Unused_.capacity() == 0)
    Unused_.reserve(MaxUnused);
  Unused_.push_back(Stack);
}

StackPool &stackPool() {
  // Never destroyed: fibers of the thread may end after its other objects.
  static thread_local auto *const Pool = new StackPool();
  return *Pool;
}

} // namespace laburnumspread::framework::fibers
