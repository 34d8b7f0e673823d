#include "cell/workerpolls.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Now{1h};

/// The workers of one pool, as a leader sees them.
struct Fixture {
  WorkerRow &add() {
    const auto Row = std::make_shared<WorkerRow>();
    Row->Record_.Incarnation_ = {
        WorkerId("w" + std::to_string(Workers_.size())), 1};
    Workers_[Row->Record_.Incarnation_] = Row;
    return *Row;
  }

  void addUnproven(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      add();
  }

  void addSilent(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      add().Unanswered_ = MaxUnansweredInUse + 1;
  }

  void addInUse(std::size_t Count) {
    jobs::JobAccepted Job;
    Job.Spec_.Id_ = jobs::JobId("0123456789abcdef");
    Job.Spec_.Steps_.resize(1);
    Job.Spec_.Steps_[0].Count_ = static_cast<std::uint32_t>(Count);
    Table_.apply(Job, Now);
    for (std::uint32_t I = 0; I < Count; ++I) {
      WorkerRow &Row = add();
      Row.Synced_ = true;
      Table_.apply(
          jobs::RunIntended{{{Job.Spec_.Id_, 0, 0, I}, jobs::RunNumber(1)},
                            Row.Record_.Incarnation_},
          Now);
    }
  }

  /// Answers all polls until none is chosen any more. Returns their number.
  std::size_t pollAll() {
    std::size_t Polls = 0;
    while (true) {
      const auto Chosen = choose();
      if (Chosen.empty())
        return Polls;
      Polls += Chosen.size();
      for (const WorkerRowPtr &Row : Chosen) {
        Row->Synced_ = true;
        Row->Unanswered_ = 0;
      }
    }
  }

  std::vector<WorkerRowPtr> choose(std::size_t InFlight = 0,
                                   Duration Later = 0ms) const {
    return WorkerPolls::choose(Workers_, Table_, InFlight, Now + Later);
  }

  WorkerTable Workers_;
  jobs::CellTable Table_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerPollsTest, Fixture)

// Guards against a leader that contacts each worker of its cell, needed or not:
// connections and processor time grew with the cell, not with its work.
BOOST_AUTO_TEST_CASE(PollsDoNotGrowWithUnusedWorkers) {
  addUnproven(1000);
  const std::size_t Few = pollAll();
  addUnproven(9000);
  BOOST_TEST(Few == WorkerPolls::MinReserve);
  BOOST_TEST(pollAll() == 0u);
}

BOOST_AUTO_TEST_CASE(ReserveGrowsWithTheWorkersInUse) {
  constexpr std::size_t InUse = 1000;
  addInUse(InUse);
  addUnproven(4 * InUse);
  BOOST_TEST(pollAll() == InUse / WorkerPolls::InUsePerReserve);
}

// Guards against a leader that is late, takes thousands of workers for silent,
// and spends all its time on asking them again.
BOOST_AUTO_TEST_CASE(PollsOfSilentWorkersAreBounded) {
  addSilent(2000);
  BOOST_TEST(choose().size() == WorkerPolls::MaxInFlight);
  BOOST_TEST(choose(WorkerPolls::MaxInFlight - 1).size() == 1u);
  BOOST_TEST(choose(2 * WorkerPolls::MaxInFlight).empty());
}

BOOST_AUTO_TEST_CASE(SilentWorkerIsPolledAgainAfterAPause) {
  addSilent(1);
  Workers_.begin()->second->NextPollAt_ = Now + 100ms;
  BOOST_TEST(choose().empty());
  BOOST_TEST(choose(0, 100ms).size() == 1u);
}

// Guards against workers that reply again and get no task: the silent ones
// before them in the table used up all polls that may be in flight.
BOOST_AUTO_TEST_CASE(EachSilentWorkerIsPolledInTurn) {
  constexpr std::size_t Silent = 10 * WorkerPolls::MaxInFlight;
  constexpr Duration PollTime = 300ms;
  addSilent(Silent);
  std::set<WorkerId> Polled;
  Duration Later{};
  for (std::size_t Round = 0; Round < Silent / WorkerPolls::MaxInFlight;
       ++Round) {
    const auto Chosen = choose(0, Later);
    Later += PollTime;
    for (const WorkerRowPtr &Row : Chosen) {
      Polled.insert(Row->Record_.Incarnation_.Id_);
      Row->NextPollAt_ = Now + Later + WorkerPolls::SilentInterval;
    }
  }
  BOOST_TEST(Polled.size() == Silent);
}

// Guards against two fibers that poll one worker.
BOOST_AUTO_TEST_CASE(WorkersWithASessionAreNotPolled) {
  addSilent(1);
  addUnproven(1);
  for (const auto &[Incarnation, Row] : Workers_)
    Row->HasSession_ = true;
  BOOST_TEST(choose().empty());
}

// Guards against a task that runs again on a worker that started anew: in a
// pool with enough other idle workers nobody called it, drained or not.
BOOST_AUTO_TEST_CASE(WorkerThatMayExecuteFormerOrdersIsPolledFirst) {
  addUnproven(WorkerPolls::MinReserve);
  pollAll();
  addSilent(2 * WorkerPolls::MaxInFlight);
  WorkerRow &Restarted = add();
  Restarted.FormerOrdersUntil_ = Now + 1ms;
  Restarted.Record_.Draining_ = true;
  BOOST_REQUIRE(choose().size() == WorkerPolls::MaxInFlight);
  BOOST_TEST(choose().front().get() == &Restarted);
  Restarted.Synced_ = true;
  BOOST_TEST(choose().front().get() != &Restarted);
}

// Guards against polls without need, and without a pause between them.
BOOST_AUTO_TEST_CASE(WorkerIsPolledOnlyWhileFormerOrdersMayArrive) {
  addUnproven(WorkerPolls::MinReserve);
  pollAll();
  WorkerRow &Restarted = add();
  Restarted.FormerOrdersUntil_ = Now + 200ms;
  Restarted.NextPollAt_ = Now + 100ms;
  BOOST_TEST(choose().empty());
  BOOST_TEST(choose(0, 100ms).size() == 1u);
  BOOST_TEST(choose(0, 200ms).empty());
}

BOOST_AUTO_TEST_CASE(WorkersThatLeaveAreNotPolled) {
  add().Listed_ = false;
  add().Record_.Draining_ = true;
  add().Ended_ = true;
  BOOST_TEST(choose().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
