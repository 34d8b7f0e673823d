#include "bench/policy/policytypes.h"

#include <iostream>

#include <boost/json/serialize.hpp>

// laburnum-policy: simulates policies and their baselines in virtual time.
// Prints one JSON object, which is the same on every machine.

int main() {
  using namespace laburnumspread::bench;
  std::cout << boost::json::serialize(
                   boost::json::object{{"shares", simulateShares()},
                                       {"moves", simulateMoves()},
                                       {"wave", simulateWave()}})
            << '\n';
}
