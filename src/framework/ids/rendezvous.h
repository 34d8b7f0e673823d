#pragma once

#include <cstdint>
#include <string_view>

namespace laburnumspread::framework::ids {

/// 64-bit XXH3 hash of \p Text. The value must be the same on every machine and
/// in every release, because entries compare results with each other.
std::uint64_t stableHash(std::string_view Text);

/// Weight of a candidate for an item in rendezvous hashing. The candidate with
/// the highest weight owns the item, so that removing a candidate moves only
/// the items that it owned.
std::uint64_t rendezvousWeight(std::uint64_t CandidateHash,
                               std::uint64_t ItemHash);

} // namespace laburnumspread::framework::ids
