#include "cell/configfollower.h"

#include "framework/fibers/asioscheduler.h"
#include "journal/tests/fakestore.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

// An entry that follows the configuration while it has much else to do, or
// while versions come faster than its link carries them.

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

/// Values that the operator writes one after the other.
constexpr std::uint64_t ValueBytes = 900'000;
constexpr const char *Key = "op/config";

/// A store whose answers arrive in parts, as over a socket, and whose key gets
/// a new version each time that a number of parts has been sent, or a reader
/// has them all.
class StreamingStore : public journal::FakeStore {
public:
  static constexpr std::uint64_t PartBytes = 16 * 1024;

  absl::StatusOr<store::RangeResult> range(const std::string &, fleet::Revision,
                                           store::TimePoint) {
    store::RangeResult Result;
    Result.StoreRevision_ = fleet::Revision(Written_);
    Result.Items_ = {item(Written_)};
    transfer(ValueBytes);
    return Result;
  }

  absl::Status watch(const std::string &, fleet::Revision Since,
                     const std::function<bool(const store::WatchBatch &)> &Give,
                     std::size_t MaxBytes = ~std::size_t(0)) {
    std::uint64_t Next = Since.value();
    while (true) {
      while (Next > Written_) {
        framework::fibers::sleepFor(1ms);
        Written_ += Written_ < Last_;
      }
      if ((Written_ - Next + 1) * ValueBytes > MaxBytes)
        return absl::ResourceExhaustedError("response is too large");
      store::WatchBatch Batch;
      Batch.StoreRevision_ = fleet::Revision(Written_);
      for (; Next <= Batch.StoreRevision_.value(); ++Next)
        Batch.Puts_.push_back(item(Next));
      transfer(Batch.Puts_.size() * ValueBytes);
      if (!Give(Batch))
        return absl::OkStatus();
    }
  }

  /// Writes versions up to \p Last, one after each \p Parts parts sent.
  void writeWhileSending(std::uint64_t Last, std::uint64_t Parts) {
    Last_ = Last;
    PartsPerVersion_ = Parts;
    Written_ += Written_ < Last_;
  }

  std::uint64_t written() const { return Written_; }
  std::uint64_t partsSent() const { return PartsSent_; }

private:
  static store::KeyValue item(std::uint64_t Revision) {
    return {Key, std::string(ValueBytes, 'x'), fleet::Revision(Revision)};
  }

  void transfer(std::uint64_t Bytes) {
    for (std::uint64_t Sent = 0; Sent < Bytes; Sent += PartBytes) {
      boost::this_fiber::yield();
      ++PartsSent_;
      if (PartsPerVersion_ > 0 && PartsSent_ % PartsPerVersion_ == 0)
        Written_ += Written_ < Last_;
    }
  }

  std::uint64_t Written_ = 1;
  std::uint64_t Last_ = 1;
  std::uint64_t PartsPerVersion_ = 0;
  std::uint64_t PartsSent_ = 0;
};

/// An entry with a thread of its own, as fiber priorities need. Never
/// destroyed: its fibers run until the process exits.
struct Entry {
  Entry() {
    framework::fibers::useAsioScheduler(Io_);
    Follower_.start();
  }

  template <typename Condition> static void waitFor(const Condition &Holds) {
    while (!Holds())
      framework::fibers::sleepFor(1ms);
  }

  boost::asio::io_context Io_;
  StreamingStore Store_;
  framework::metrics::Registry Metrics_;
  std::uint64_t InForce_ = 0;
  std::size_t Received_ = 0;
  /// Turns of the entry's other fibers.
  std::uint64_t OtherTurns_ = 0;
  ConfigFollower<StreamingStore> Follower_{
      Store_,
      "op/",
      {[this](const store::KeyValue &Item) {
         InForce_ = std::max(InForce_, Item.ModRevision_.value());
         ++Received_;
       },
       [](const store::RangeResult &, TimePoint) {}, [](TimePoint) {},
       [] { return ConfigNeed::None; }},
      Metrics_};
};

/// Runs a test on an entry. Its thread stays, since a thread ends only after
/// its fibers.
template <typename Body> void onEntry(const Body &Run) {
  std::promise<void> Done;
  std::thread([&Run, &Done] {
    Entry &Own = *new Entry();
    Entry::waitFor([&] { return Own.InForce_ > 0; });
    Run(Own);
    Done.set_value();
    while (true)
      framework::fibers::sleepFor(1h);
  }).detach();
  Done.get_future().wait();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigFollowerTest)

// Guards against a leader with many ready fibers that is seconds behind, as
// each part of a large value waits for all of them.
BOOST_AUTO_TEST_CASE(VersionIsReadAheadOfOrdinaryFibers) {
  std::uint64_t Turns = 0, Parts = 0;
  onEntry([&](Entry &Own) {
    for (int I = 0; I < 100; ++I)
      framework::fibers::spawn([&Own] {
        while (Own.InForce_ < 2) {
          ++Own.OtherTurns_;
          boost::this_fiber::yield();
        }
      });
    const std::uint64_t PartsBefore = Own.Store_.partsSent();
    Own.Store_.writeWhileSending(2, 0);
    const std::uint64_t TurnsBefore = Own.OtherTurns_;
    Entry::waitFor([&] { return Own.Store_.partsSent() > PartsBefore; });
    const std::uint64_t TurnsToBegin = Own.OtherTurns_ - TurnsBefore;
    Entry::waitFor([&] { return Own.InForce_ == 2; });
    Turns = Own.OtherTurns_ - TurnsBefore - TurnsToBegin;
    Parts = Own.Store_.partsSent() - PartsBefore;
  });
  BOOST_TEST(Parts * StreamingStore::PartBytes >= ValueBytes);
  BOOST_TEST(Turns < Parts);
}

// Guards against a thin entry that falls behind in a storm of 25 versions of a
// large configuration: it receives and parses each of them.
BOOST_AUTO_TEST_CASE(StormOfVersionsIsNotReceivedOneByOne) {
  constexpr std::uint64_t Versions = 25;
  // A fifth of a version's transfer.
  constexpr std::uint64_t Gap = ValueBytes / StreamingStore::PartBytes / 5;
  std::uint64_t Parts = 0;
  std::size_t Received = 0;
  onEntry([&](Entry &Own) {
    const std::uint64_t Before = Own.Store_.partsSent();
    const std::size_t ReceivedBefore = Own.Received_;
    Own.Store_.writeWhileSending(1 + Versions, Gap);
    Entry::waitFor([&] { return Own.InForce_ == 1 + Versions; });
    Parts = Own.Store_.partsSent() - Before;
    Received = Own.Received_ - ReceivedBefore;
  });
  BOOST_TEST(Received < Versions / 2);
  BOOST_TEST(Parts * StreamingStore::PartBytes < Versions / 2 * ValueBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
