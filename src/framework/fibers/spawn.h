#pragma once

#include <cstddef>
#include <memory>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/protected_fixedsize_stack.hpp>

namespace laburnumspread::framework::fibers {

/// Stack of one fiber. Only touched pages take memory; the guard page turns an
/// overflow into a stop instead of silent damage.
constexpr std::size_t StackBytes = 128 * 1024;

/// Starts a fiber that nobody joins; what it uses it keeps alive by shared
/// ownership.
template <typename Body> void spawn(Body &&Run) {
  boost::fibers::fiber(std::allocator_arg,
                       boost::fibers::protected_fixedsize_stack(StackBytes),
                       std::forward<Body>(Run))
      .detach();
}

} // namespace laburnumspread::framework::fibers
