#pragma once

#include <cstdint>
#include <string_view>

namespace laburnumspread::framework::ids {

/// 64-bit hash of a text (xxHash3). Equal on every machine and in every
/// version of the program, since entries compare results with each other.
std::uint64_t stableHash(std::string_view Text);

/// Weight of a candidate for an item in rendezvous hashing: the candidate with
/// the highest weight owns the item. Removing a candidate moves only the items
/// that it owned.
std::uint64_t rendezvousWeight(std::uint64_t CandidateHash,
                               std::uint64_t ItemHash);

} // namespace laburnumspread::framework::ids
