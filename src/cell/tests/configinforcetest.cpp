#include "cell/configinforce.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

constexpr Duration Bound = 2s;
const TimePoint Start{1h};

CellConfig config(std::uint64_t Version) {
  CellConfig Result;
  Result.Version_ = ConfigVersion(Version);
  return Result;
}

/// An operator that writes versions, and an entry that learns of them late.
struct History {
  void write(TimePoint At) { WrittenAt_.push_back(At); }

  /// Lets the entry handle an answer that the store gave at \p Through.
  void deliver(TimePoint Through, TimePoint Now) {
    const auto Known = std::ranges::count_if(
        WrittenAt_, [&](TimePoint At) { return At < Through; });
    Entry_.replace(config(static_cast<std::uint64_t>(Known) + 1));
    Entry_.confirm(Through, Now);
  }

  /// Whether a version is missing that was written \p Bound before \p Now.
  bool missesDueVersion(TimePoint Now) const {
    const auto Due = std::ranges::count_if(
        WrittenAt_, [&](TimePoint At) { return At < Now - Bound; });
    return Entry_.version().value() < static_cast<std::uint64_t>(Due) + 1;
  }

  std::vector<TimePoint> WrittenAt_;
  ConfigInForce Entry_{Bound};
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigInForceTest)

// Guards against an answer by a version that was replaced longer ago than the
// bound, whatever delays the answers of the store.
BOOST_AUTO_TEST_CASE(NothingIsCurrentWhileADueVersionIsMissing) {
  std::size_t Current = 0, Missing = 0;
  const auto Holds = [&](std::vector<std::uint16_t> Steps) {
    History Model;
    TimePoint Now = Start, Asked = Start;
    for (const std::uint16_t Step : Steps) {
      Now += std::chrono::milliseconds(Step % 700);
      if (Step % 3 == 0)
        Model.write(Now);
      if (Step % 3 == 1)
        Asked = Now;
      if (Step % 5 == 0)
        Model.deliver(Asked, Now);
      Current += Model.Entry_.current(Now);
      Missing += Model.missesDueVersion(Now);
      RC_ASSERT(!(Model.Entry_.current(Now) && Model.missesDueVersion(Now)));
    }
  };
  BOOST_TEST(rc::check("no due version is missing", Holds));
  BOOST_TEST(Current > 10u);
  BOOST_TEST(Missing > 10u);
}

// Guards against a leader that answers before it has read any configuration,
// and so rechecks nothing.
BOOST_AUTO_TEST_CASE(NothingIsCurrentBeforeTheFirstConfiguration) {
  ConfigInForce Entry(Bound);
  Entry.confirm(Start, Start);
  BOOST_TEST(!Entry.current(Start));
  BOOST_TEST(!ConfigInForce(Duration::zero()).current(Start));
}

// Guards against a read that was asked for long ago and makes the configuration
// look fresh, or undoes a later confirmation.
BOOST_AUTO_TEST_CASE(LateAnswerConfirmsOnlyWhatItWasAskedFor) {
  ConfigInForce Entry(Bound);
  Entry.replace(config(1));
  Entry.confirm(Start, Start + 3s);
  BOOST_TEST(!Entry.current(Start + 3s));
  BOOST_TEST(Entry.heardOf(Start + 3s));
  Entry.confirm(Start + 3s, Start + 3s);
  Entry.confirm(Start + 1s, Start + 4s);
  BOOST_TEST(Entry.current(Start + 4s));
}

// Guards against a caller that is told for good that a queue does not exist by
// an entry that could not read the version that adds it.
BOOST_AUTO_TEST_CASE(UnreadableVersionMakesTheEntryOutdated) {
  ConfigInForce Entry(Bound);
  Entry.replace(config(1));
  BOOST_TEST(!Entry.outdated());
  Entry.recordUnreadable();
  BOOST_TEST(Entry.outdated());
  Entry.replace(config(2));
  BOOST_TEST(!Entry.outdated());
}

BOOST_AUTO_TEST_CASE(OnlyNewerVersionsAreTaken) {
  ConfigInForce Entry(Bound);
  BOOST_TEST(Entry.replace(config(3)));
  BOOST_TEST(!Entry.replace(config(3)));
  BOOST_TEST(!Entry.replace(config(2)));
  BOOST_TEST(Entry.version().value() == 3u);
  Entry.recordPeerVersion(ConfigVersion(2));
  BOOST_TEST(!Entry.outdated());
  Entry.recordPeerVersion(ConfigVersion(4));
  BOOST_TEST(Entry.outdated());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
