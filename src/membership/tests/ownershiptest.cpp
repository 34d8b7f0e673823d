#include "membership/ownership.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

using namespace laburnumspread::membership;

namespace {

std::vector<Owner> ownersIn(int Zones, int Count) {
  std::vector<Owner> Result;
  for (int I = 0; I < Count; ++I)
    Result.push_back({{EntryName("e" + std::to_string(I)), Incarnation(1)},
                      ZoneName("z" + std::to_string(I % Zones))});
  return Result;
}

constexpr std::uint64_t Items = 2000;

} // namespace

BOOST_AUTO_TEST_CASE(RemovalMovesOnlyTheItemsOfTheRemoved) {
  const std::vector<Owner> Before = ownersIn(4, 7);
  const std::vector<Owner> After(Before.begin() + 1, Before.end());
  const Ownership Old(Before), New(After);
  std::uint64_t Moved = 0;
  for (std::uint64_t Item = 0; Item < Items; ++Item) {
    if (*Old.ownerOf(Item) == Before[0].Id_)
      ++Moved;
    else
      BOOST_TEST((*Old.ownerOf(Item) == *New.ownerOf(Item)));
  }
  BOOST_TEST(Moved > Items / 14);
  BOOST_TEST(Moved < Items * 2 / 7);
}

BOOST_AUTO_TEST_CASE(OneRemovalReplacesAtMostOneOfThreeOwners) {
  const std::vector<Owner> Before = ownersIn(4, 7);
  for (std::size_t Lost = 0; Lost < Before.size(); ++Lost) {
    std::vector<Owner> After = Before;
    After.erase(After.begin() + Lost);
    const Ownership Old(Before), New(After);
    for (std::uint64_t Item = 0; Item < Items; ++Item) {
      const auto Was = Old.selectAcrossZones(Item, 3);
      const auto Is = New.selectAcrossZones(Item, 3);
      const auto Kept = std::count_if(Is.begin(), Is.end(), [&](auto &Id) {
        return std::find(Was.begin(), Was.end(), Id) != Was.end();
      });
      BOOST_REQUIRE(Was.size() == 3 && Is.size() == 3);
      BOOST_REQUIRE(Kept >= 2);
    }
  }
}
