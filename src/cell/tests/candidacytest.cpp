#include "cell/candidacy.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(CandidacyTest)

BOOST_AUTO_TEST_CASE(EqualEntriesDoNotWait) {
  Candidacy Mine(0.25);
  BOOST_TEST((Mine.wait() == 0us));
  Mine.note("other", 0.26);
  BOOST_TEST((Mine.wait() == 0us));
}

// Every caller waits seconds for a start: the holder has a tenth of a core and
// several hundred workers, and stronger entries stand by.
BOOST_AUTO_TEST_CASE(WeakEntriesLetStrongOnesGoFirst) {
  Candidacy Weak(0.12), Middle(0.25), Strong(0.5);
  for (Candidacy *Entry : {&Weak, &Middle, &Strong}) {
    Entry->note("a", 0.12);
    Entry->note("b", 0.25);
    Entry->note("c", 0.5);
  }
  BOOST_TEST((Strong.wait() == 0us));
  BOOST_TEST((Middle.wait() > Strong.wait()));
  BOOST_TEST((Weak.wait() > Middle.wait()));
  BOOST_TEST((Weak.wait() <= Candidacy::LongestWait));
}

BOOST_AUTO_TEST_CASE(NarrowLinkCountsAgainstAnEntry) {
  BOOST_TEST(Candidacy::weightOf(0.5, 10) < Candidacy::weightOf(0.25, 200));
  BOOST_TEST(Candidacy::weightOf(0.5, 100) == Candidacy::weightOf(0.5, 1000));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
