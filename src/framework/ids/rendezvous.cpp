#include "framework/ids/rendezvous.h"

#include <xxhash.h>

namespace laburnumspread::framework::ids {

std::uint64_t stableHash(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

std::uint64_t rendezvousWeight(std::uint64_t CandidateHash,
                               std::uint64_t ItemHash) {
  // SplitMix64 finalizer: cheap, and each input bit flips half of the output
  // bits on average, so that items are distributed evenly over candidates.
  std::uint64_t Mixed = CandidateHash ^ (ItemHash * 0x9e3779b97f4a7c15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  return Mixed ^ (Mixed >> 31);
}

} // namespace laburnumspread::framework::ids
