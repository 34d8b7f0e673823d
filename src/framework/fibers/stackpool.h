#pragma once

#include <cstddef>
#include <vector>

#include <boost/fiber/protected_fixedsize_stack.hpp>

namespace laburnumspread::framework::fibers {

/// Keeps the stacks of ended fibers for later ones. Mapping a stack and its
/// guard page and returning them costs several system calls and page faults,
/// more than the work of a short fiber. Used by one thread.
class StackPool {
public:
  /// Stack size of a fiber, in bytes. Only pages that were touched use memory,
  /// and a guard page turns an overflow into a crash instead of memory
  /// corruption.
  static constexpr std::size_t StackBytes = 128 * 1024;
  /// Highest number of unused stacks that are kept. Each holds the pages that
  /// its fibers have touched, a few of 4 KB.
  static constexpr std::size_t MaxUnused = 2048;

  StackPool() = default;
  StackPool(const StackPool &) = delete;
  StackPool &operator=(const StackPool &) = delete;
  ~StackPool();

  boost::context::stack_context allocate();
  void deallocate(boost::context::stack_context &Stack) noexcept;

  /// Number of stacks that are kept for later fibers.
  std::size_t unused() const { return Unused_.size(); }

private:
  boost::fibers::protected_fixedsize_stack Memory_{StackBytes};
  std::vector<boost::context::stack_context> Unused_;
};

/// Returns the pool of the calling thread.
StackPool &stackPool();

} // namespace laburnumspread::framework::fibers
