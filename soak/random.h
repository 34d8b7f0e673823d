#pragma once

#include "framework/clock/clock.h"

#include <cstdint>
#include <random>

namespace laburnumspread::soak {

using std::chrono::milliseconds;

/// Deterministic random numbers from one seed.
class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine_(Seed) {}

  /// From 0 to \p End - 1.
  std::uint64_t below(std::uint64_t End) { return Engine_() % End; }
  /// True with probability 1 / \p Times.
  bool oneIn(std::uint64_t Times) { return below(Times) == 0; }
  /// From \p Low to \p High, both included.
  milliseconds between(milliseconds Low, milliseconds High) {
    return Low + milliseconds(below((High - Low).count() + 1));
  }
  /// A seed for an independent sequence.
  std::uint64_t split() { return Engine_(); }

private:
  std::mt19937_64 Engine_;
};

} // namespace laburnumspread::soak
