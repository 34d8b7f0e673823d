#pragma once

#include <boost/fiber/properties.hpp>

namespace laburnumspread::framework::fibers {

/// Scheduling priority of a fiber.
class FiberPriority final : public boost::fibers::fiber_properties {
public:
  explicit FiberPriority(boost::fibers::context *Of)
      : boost::fibers::fiber_properties(Of) {}

  bool urgent() const { return Urgent_; }

  /// Lets the fiber run before all that are ready and not urgent.
  void setUrgent() {
    Urgent_ = true;
    notify();
  }

private:
  bool Urgent_ = false;
};

} // namespace laburnumspread::framework::fibers
