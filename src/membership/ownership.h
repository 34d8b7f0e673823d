#pragma once

#include "membership/membershiptypes.h"

#include <span>

namespace laburnumspread::membership {

/// Rendezvous hashing over the owners of one view.
class Ownership {
public:
  explicit Ownership(std::span<const Owner> Owners);

  /// The owner of an item, or null when the view has none.
  const MemberId *ownerOf(std::uint64_t ItemHash) const;

  /// At most \p Count owners in different zones: the best of each zone, and of
  /// those the best. One change of the view replaces at most one of them. With
  /// fewer zones than that, fewer are returned.
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
