#include "bench/policy/policytypes.h"

#include <iostream>

#include <boost/json/serialize.hpp>

// laburnum-policy: trials of policies beside baselines, in virtual time. Prints
// one JSON object, the same on every machine.

int main() {
  using namespace laburnumspread::bench;
  std::cout << boost::json::serialize(
                   boost::json::object{{"shares", simulateShares()},
                                       {"moves", simulateMoves()},
                                       {"wave", simulateWave()}})
            << '\n';
}
