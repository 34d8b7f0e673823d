#include "peers/internal/callbacklog.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::peers {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Now{1h};
constexpr std::size_t Bytes = 400;

Sender senderOf(const char *Name) {
  return {{fleet::EntryName(Name), fleet::Incarnation(1)}, Name, {}};
}

JobCall call(std::uint64_t Sequence, std::uint32_t Attempt = 1) {
  JobCall Result;
  Result.Sequence_ = Sequence;
  Result.Attempt_ = Attempt;
  return Result;
}

struct Fixture {
  void add(const char *From, const JobCall &Call, Duration Later = 0ms,
           std::size_t Size = Bytes) {
    Calls_.add(senderOf(From), Call, Size, Now + Later);
  }

  CallBacklog Calls_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallBacklogTest, Fixture)

BOOST_AUTO_TEST_CASE(CallsAreTakenInTheirOrder) {
  add("a", call(1));
  add("b", call(1), 1ms);
  BOOST_TEST(Calls_.bytes() == 2 * Bytes);
  BOOST_TEST((Calls_.oldestAge(Now + 5ms) == 5ms));
  BOOST_TEST(Calls_.takeNext(Now + 5ms)->From_.Address_ == "a");
  BOOST_TEST(Calls_.takeNext(Now + 5ms)->From_.Address_ == "b");
  BOOST_TEST(!Calls_.takeNext(Now + 5ms));
  BOOST_TEST(Calls_.bytes() == 0u);
  BOOST_TEST((Calls_.oldestAge(Now + 5ms) == 0ms));
}

// Guards against a leader that handles calls whose callers have given up, and
// is late for all that come after them.
BOOST_AUTO_TEST_CASE(OldCallsAreDropped) {
  add("a", call(1));
  add("a", call(2), 1ms);
  const auto Next = Calls_.takeNext(Now + CallBacklog::MaxAge);
  BOOST_REQUIRE(Next.has_value());
  BOOST_TEST(Next->Call_.Sequence_ == 2u);
  BOOST_TEST(Calls_.expired() == 1u);
}

// Guards against one call that is handled once for each attempt to send it. It
// keeps its place, and its age.
BOOST_AUTO_TEST_CASE(LaterAttemptTakesThePlaceOfAnEarlierOne) {
  add("a", call(1));
  add("b", call(1), 1ms);
  add("a", call(1, 2), 120ms, 2 * Bytes);
  BOOST_TEST(Calls_.size() == 2u);
  BOOST_TEST(Calls_.bytes() == 3 * Bytes);
  BOOST_TEST(Calls_.superseded() == 1u);
  BOOST_TEST((Calls_.oldestAge(Now + 120ms) == 120ms));
  BOOST_TEST(Calls_.takeNext(Now + 120ms)->Call_.Attempt_ == 2u);
}

// Guards against an attempt by way of a relay that counts as another call.
BOOST_AUTO_TEST_CASE(AttemptThatWasForwardedIsOfTheSameCall) {
  add("a", call(1));
  JobCall Forwarded = call(1, 2);
  Forwarded.ReplyTo_ = {senderOf("a").Id_, "a"};
  add("relay", Forwarded);
  BOOST_TEST(Calls_.size() == 1u);
  BOOST_TEST(Calls_.takeNext(Now)->From_.Address_ == "relay");
}

// Guards against a process that ends over its memory limit, as large calls come
// faster than it handles them.
BOOST_AUTO_TEST_CASE(BytesAreBounded) {
  constexpr std::size_t Large = CallBacklog::MaxBytes / 3;
  for (std::uint64_t I = 1; I <= 5; ++I)
    add("a", call(I), 0ms, Large);
  BOOST_TEST(Calls_.size() == 3u);
  BOOST_TEST(Calls_.displaced() == 2u);
  BOOST_TEST(Calls_.takeNext(Now)->Call_.Sequence_ == 3u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::peers
