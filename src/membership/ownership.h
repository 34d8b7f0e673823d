#pragma once

#include "membership/membershiptypes.h"

#include <span>

namespace laburnumspread::membership {

/// Assigns items to the owners of one view by rendezvous hashing.
class Ownership {
public:
  explicit Ownership(std::span<const Owner> Owners);

  /// The owner of an item, or null if the view has no owners.
  const MemberId *ownerOf(std::uint64_t ItemHash) const;

  /// Returns up to \p Count owners in different availability zones: the owner
  /// with the highest weight of each zone, and of those the highest. Returns
  /// fewer if there are fewer zones. Adding or removing one owner replaces at
  /// most one of them.
  std::vector<MemberId> selectAcrossZones(std::uint64_t ItemHash,
                                          std::size_t Count) const;

private:
  struct Candidate {
    std::uint64_t Hash_;
    Owner Owner_;
  };
  std::vector<Candidate> Candidates_;
};

} // namespace laburnumspread::membership
