#include "membership/ownership.h"

#include "framework/ids/rendezvous.h"

#include <algorithm>
#include <map>

namespace laburnumspread::membership {

using framework::ids::rendezvousWeight;
using framework::ids::stableHash;

Ownership::Ownership(std::span<const Owner> Owners) {
  for (const Owner &Item : Owners)
    Candidates_.push_back({stableHash(Item.Id_.Name_.str()), Item});
}

const MemberId *Ownership::ownerOf(std::uint64_t ItemHash) const {
  const Candidate *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const Candidate &Item : Candidates_) {
    const std::uint64_t Weight = rendezvousWeight(Item.Hash_, ItemHash);
    if (Best && Weight < BestWeight)
      continue;
    Best = &Item;
    BestWeight = Weight;
  }
  return Best ? &Best->Owner_.Id_ : nullptr;
}

std::vector<MemberId> Ownership::selectAcrossZones(std::uint64_t ItemHash,
                                                   std::size_t Count) const {
  struct Weighted {
    std::uint64_t Weight_ = 0;
    const MemberId *Id_ = nullptr;
  };
  std::map<ZoneName, Weighted> BestOfZone;
  for (const Candidate &Item : Candidates_) {
    const std::uint64_t Weight = rendezvousWeight(Item.Hash_, ItemHash);
    Weighted &Best = BestOfZone[Item.Owner_.Zone_];
    if (!Best.Id_ || Weight > Best.Weight_)
      Best = {Weight, &Item.Owner_.Id_};
  }
  std::vector<Weighted> Chosen;
  for (const auto &[Zone, Best] : BestOfZone)
    Chosen.push_back(Best);
  std::sort(Chosen.begin(), Chosen.end(),
            [](const auto &A, const auto &B) { return A.Weight_ > B.Weight_; });
  Chosen.resize(std::min(Chosen.size(), Count));
  std::vector<MemberId> Result;
  for (const Weighted &Item : Chosen)
    Result.push_back(*Item.Id_);
  return Result;
}

} // namespace laburnumspread::membership
