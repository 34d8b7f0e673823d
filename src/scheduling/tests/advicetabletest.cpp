#include "scheduling/advicetable.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace laburnumspread::scheduling {

namespace {

using namespace std::chrono_literals;
using jobs::WorkerIncarnation;

const TimePoint Start(std::chrono::hours(1));
const StepName Step{jobs::JobId("job"), 0, 1};
const WorkerIncarnation Advised{jobs::WorkerId("good"), 1};
const WorkerIncarnation Unadvised{jobs::WorkerId("bad"), 1};
constexpr std::size_t MostWorkers = 30;

/// Workers of a pool, all of which could run any step.
std::vector<WorkerIncarnation> pool(std::size_t Count) {
  std::vector<WorkerIncarnation> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back({jobs::WorkerId("w-" + std::to_string(1000 + I)), 1});
  return Result;
}

struct Fixture {
  std::optional<AdviceQuestion> ask(const std::vector<StepName> &Steps,
                                    TimePoint Now) {
    return Table_.nextQuestion(
        Steps,
        [&](const StepName &, std::vector<WorkerIncarnation> &Into) {
          Into = Workers_;
        },
        [](const StepName &) { return MostWorkers; }, Now);
  }

  /// Asks about the step at Start, and is told that one worker may run it.
  void receiveTicket() {
    const auto Question = ask({Step}, Start);
    BOOST_REQUIRE(Question.has_value());
    Table_.recordAnswer(*Question, {{{Advised.Id_, "t"}}, 3000ms}, Start);
  }

  AdviceTable Table_;
  std::vector<WorkerIncarnation> Workers_{Advised, Unadvised};
};

/// Jobs of one step arrive at a leader with one advisor. Every fifth can never
/// run, every other may run anywhere.
struct AdvisorLoad : Fixture {
  static constexpr auto Between = 200ms;
  static constexpr int JobsPerHopeless = 5;
  static constexpr auto DecideTime = 60ms;
  static constexpr auto TimePerWorker = 2ms;

  static bool hopeless(int Job) { return Job % JobsPerHopeless == 0; }

  /// Returns the longest time until a job that can run had a ticket.
  Duration playFor(Duration Time, std::size_t PoolSize) {
    Workers_ = pool(PoolSize);
    std::vector<TimePoint> Arrived;
    std::vector<StepName> Waiting;
    Duration Longest{};
    TimePoint Now = Start;
    while (Now < Start + Time) {
      while (Start + Between * Arrived.size() <= Now) {
        const auto Id = jobs::JobId("j" + std::to_string(Arrived.size()));
        Waiting.push_back({Id, 0, 0});
        Arrived.push_back(Start + Between * Arrived.size());
      }
      const auto Question = ask(Waiting, Now);
      if (!Question) {
        Now += 10ms;
        continue;
      }
      ++Questions_;
      const TimePoint AskedAt = Now;
      Now += DecideTime + TimePerWorker * Question->Workers_.size();
      const int Job = std::stoi(Question->Step_.Job_.str().substr(1));
      AdviceReply Reply;
      Reply.ValidFor_ = 5s;
      if (!hopeless(Job)) {
        Reply.Workers_.push_back({Question->Workers_.front().Id_, "t"});
        std::erase(Waiting, Question->Step_);
        Longest = std::max<Duration>(
            Longest, Now - Arrived[static_cast<std::size_t>(Job)]);
      }
      Table_.recordAnswer(*Question, Reply, AskedAt);
    }
    for (const StepName &Left : Waiting) {
      const int Job = std::stoi(Left.Job_.str().substr(1));
      if (!hopeless(Job))
        Longest = std::max<Duration>(
            Longest, Now - Arrived[static_cast<std::size_t>(Job)]);
    }
    return Longest;
  }

  std::size_t Questions_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdviceTableTest, Fixture)

BOOST_AUTO_TEST_CASE(TicketIsUnusableShortlyBeforeItExpires) {
  const auto Question = ask({Step}, Start);
  BOOST_REQUIRE(Question.has_value());
  BOOST_TEST(!ask({Step}, Start));
  Table_.recordAnswer(*Question, {{{Advised.Id_, "t"}}, 3000ms}, Start);
  BOOST_TEST(Table_.ticket(Step, Advised, Start).value_or("") == "t");
  BOOST_TEST(!Table_.ticket(Step, Unadvised, Start));
  BOOST_TEST(!Table_.ticket(Step, Advised, Start + 2800ms));
}

BOOST_AUTO_TEST_CASE(TicketsAreRenewedBeforeTheyExpire) {
  receiveTicket();
  BOOST_TEST(!ask({Step}, Start + 1s));
  const auto Again = ask({Step}, Start + 2500ms);
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST((Again->Workers_ == std::vector{Advised}));
}

// The advisor's answer does not change, so the same question tells nothing new.
BOOST_AUTO_TEST_CASE(QuestionIsRepeatedAfterNoAnswerOnly) {
  const auto Question = ask({Step}, Start);
  BOOST_REQUIRE(Question.has_value());
  Table_.recordNoAnswer(*Question, Start + 100ms);
  BOOST_TEST(!ask({Step}, Start + 400ms));
  const auto Again = ask({Step}, Start + 500ms);
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST((Again->Workers_ == Question->Workers_));
  Table_.recordAnswer(*Again, {{}, 3000ms}, Start + 500ms);
  BOOST_TEST(!ask({Step}, Start + 60s));
  Workers_.push_back({jobs::WorkerId("new"), 1});
  const auto OfTheNew = ask({Step}, Start + 120s);
  BOOST_REQUIRE(OfTheNew.has_value());
  BOOST_TEST((OfTheNew->Workers_ == std::vector{Workers_.back()}));
}

// A worker that was replaced under the same id refuses the ticket. The step
// must not be sent to it with that ticket again.
BOOST_AUTO_TEST_CASE(RefusedTicketIsNotUsedAgain) {
  receiveTicket();
  Table_.recordRefusal(Step, Advised);
  BOOST_TEST(!Table_.ticket(Step, Advised, Start));
  BOOST_TEST(ask({Step}, Start).has_value());
}

// Guards against a ticket of a worker's former incarnation, and against one
// that is left out because its predecessor was refused.
BOOST_AUTO_TEST_CASE(EachIncarnationIsAskedAbout) {
  receiveTicket();
  Workers_ = {{Advised.Id_, 2}, {Unadvised.Id_, 2}};
  BOOST_TEST(!Table_.ticket(Step, Workers_[0], Start));
  const auto Again = ask({Step}, Start);
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST((Again->Workers_ == Workers_));
}

// Guards against a job that waits beside idle workers which may run it: the
// advisor was asked about the first thirty workers of the pool, again and
// again.
BOOST_AUTO_TEST_CASE(AllWorkersOfALargePoolAreAskedAbout) {
  Workers_ = pool(1000);
  std::vector<WorkerIncarnation> Asked;
  TimePoint Now = Start;
  for (int I = 0; I < 34; ++I) {
    const auto Question = ask({Step}, Now += 10ms);
    BOOST_REQUIRE(Question.has_value());
    BOOST_TEST(Question->Workers_.size() <= MostWorkers);
    Asked.insert(Asked.end(), Question->Workers_.begin(),
                 Question->Workers_.end());
    Table_.recordAnswer(*Question, {{}, 5s}, Now);
  }
  BOOST_TEST((Asked == Workers_));
  BOOST_TEST(!ask({Step}, Now + 10s));
}

BOOST_AUTO_TEST_CASE(StepsOfEndedJobsAreForgotten) {
  receiveTicket();
  Table_.forgetEnded([](const jobs::JobId &) { return true; });
  BOOST_TEST(Table_.size() == 1u);
  Table_.forgetEnded([](const jobs::JobId &) { return false; });
  BOOST_TEST(Table_.size() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AdvisorLoadTest, AdvisorLoad)

// Guards against jobs that no worker may run and that take all of the advisor's
// time: no other job was asked about any more.
BOOST_AUTO_TEST_CASE(HopelessStepsDoNotHoldUpOthers) {
  BOOST_TEST((playFor(60s, 34) < 1s));
  // The 60 hopeless steps cost two questions each, the 240 others one.
  BOOST_TEST(Questions_ <= 2u * 60 + 240 + 1);
}

BOOST_AUTO_TEST_CASE(HopelessStepsOfALargePoolDoNotHoldUpOthers) {
  BOOST_TEST((playFor(60s, 1000) < 1s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::scheduling
