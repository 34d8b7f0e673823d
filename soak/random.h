#pragma once

#include "framework/clock/clock.h"

#include <cstdint>
#include <random>

namespace laburnumspread::soak {

using std::chrono::milliseconds;

/// Draws of one seed.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine_(Seed) {}

  std::uint64_t below(std::uint64_t End) { return Engine_() % End; }
  /// True once in \p Times.
  bool oneIn(std::uint64_t Times) { return below(Times) == 0; }
  milliseconds between(milliseconds Low, milliseconds High) {
    return Low + milliseconds(below((High - Low).count() + 1));
  }
  /// A seed for another row of draws.
  std::uint64_t split() { return Engine_(); }

private:
  std::mt19937_64 Engine_;
};

} // namespace laburnumspread::soak
