#include "cell/machinetable.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

const TimePoint Start(std::chrono::hours(1));
const MachineId Machine("m1");

WorkerRecord worker(std::int64_t BornMs) {
  WorkerRecord Record;
  Record.Incarnation_ = {WorkerId("w" + std::to_string(BornMs)), BornMs};
  Record.Machine_ = Machine;
  Record.Pool_ = PoolName("pool");
  return Record;
}

MachineRecord listed(MachineState State) {
  MachineRecord Record;
  Record.Id_ = Machine;
  Record.Pool_ = PoolName("pool");
  Record.State_ = State;
  return Record;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MachineTableTest)

BOOST_AUTO_TEST_CASE(NewWorkerSettlesTheOrder) {
  MachineTable Table(1500ms);
  Table.recordWorker(worker(1), Start);
  Table.orderSent(Machine, 1500ms, Start);
  Table.orderAcknowledged(Machine, Start);
  Table.recordWorker(worker(2), Start + 2s);
  BOOST_TEST(!Table.busy(Machine));
}

// More machines of a wave are down than may be: the store's history is dropped
// and all workers' entries are read anew, those of machines among them that
// went down a moment ago. Each took its machine for back.
BOOST_AUTO_TEST_CASE(EntryOfTheFormerWorkerDoesNotSettleTheOrder) {
  MachineTable Table(1500ms);
  Table.recordWorker(worker(1), Start);
  Table.orderSent(Machine, 1500ms, Start);
  Table.orderAcknowledged(Machine, Start);
  Table.updateFromList({listed(MachineState::Upkeep)}, Start + 500ms);
  Table.recordWorker(worker(1), Start + 1s);
  BOOST_TEST(Table.busy(Machine));
}

// More machines of a wave are down than may be: while the store's watches hear
// nothing, a machine is moved and then ordered down by what the platform's list
// says. The entry of the worker that came up after the move is seen only then,
// and was taken for that after the upkeep.
BOOST_AUTO_TEST_CASE(LifeFromBeforeTheOrderDoesNotSettleIt) {
  MachineTable Table(2000ms);
  Table.recordWorker(worker(1), Start);
  Table.orderSent(Machine, 2000ms, Start);
  Table.orderAcknowledged(Machine, Start + 10ms);
  Table.recordWorker(worker(2), Start + 300ms);
  BOOST_TEST(Table.busy(Machine));
  BOOST_TEST((Table.lifeEndedByOrder(Machine) == worker(2).Incarnation_));
  Table.recordWorker(worker(3), Start + 2000ms);
  BOOST_TEST(!Table.busy(Machine));
}

// A new holder must not order a machine that its predecessor ordered a moment
// ago. It learns of the machine only later, by the list or by its worker.
BOOST_AUTO_TEST_CASE(MachineIsLeftAloneHoweverItBecomesKnown) {
  MachineTable Table(1500ms);
  Table.blockOrdersUntil(Machine, Start + 3s);
  Table.recordWorker(worker(1), Start);
  BOOST_TEST((Table.views()[Machine].NoOrderBefore_ == Start + 3s));
  MachineTable Other(1500ms);
  Other.blockOrdersUntil(Machine, Start + 3s);
  Other.updateFromList({listed(MachineState::Up)}, Start);
  BOOST_TEST((Other.views()[Machine].NoOrderBefore_ == Start + 3s));
}

// Machines of the standby pool stay on for good: each new holder took the pool
// in which it found a machine for its home.
// The platform refuses a move (the worker leaves, the pool is of other
// machines): the same order left again at each look, ten a second.
BOOST_AUTO_TEST_CASE(RefusedMachineIsLeftAloneForAWhile) {
  MachineTable Table(1500ms);
  Table.recordWorker(worker(1), Start);
  Table.orderSent(Machine, 1500ms, Start);
  Table.orderRefused(Machine, Start + 10ms);
  BOOST_TEST(!Table.busy(Machine));
  BOOST_TEST((Table.views()[Machine].NoOrderBefore_ ==
              Start + 10ms + MachineTable::PauseAfterRefusal));
}

BOOST_AUTO_TEST_CASE(HomeIsKeptOverTakeovers) {
  MachineTable Table(1500ms);
  Table.setHome(Machine, PoolName("standby"));
  Table.updateFromList({listed(MachineState::Up)}, Start);
  BOOST_TEST(Table.homes().at(Machine) == PoolName("standby"));
}

// The list lags: shown up within the time that the order takes at least, the
// machine has not even gone down yet.
BOOST_AUTO_TEST_CASE(EarlyListDoesNotSettleTheOrder) {
  MachineTable Table(1500ms);
  Table.orderSent(Machine, 1500ms, Start);
  Table.updateFromList({listed(MachineState::Up)}, Start + 10s);
  BOOST_TEST(Table.busy(Machine));
  Table.orderAcknowledged(Machine, Start + 10s);
  Table.updateFromList({listed(MachineState::Up)}, Start + 11s);
  BOOST_TEST(Table.busy(Machine));
  Table.updateFromList({listed(MachineState::Up)}, Start + 12s);
  BOOST_TEST(!Table.busy(Machine));
}

// A worker that does not answer may be cut off and at work; only the list can
// say before its lease ends that it is not.
BOOST_AUTO_TEST_CASE(ListTellsWhichSilentWorkersAreGone) {
  MachineTable Table(1500ms);
  BOOST_TEST(!Table.showsWorkerGone(worker(1)));
  MachineRecord Up = listed(MachineState::Up);
  Up.Worker_ = worker(1).Incarnation_.Id_;
  Table.updateFromList({Up}, Start);
  BOOST_TEST(!Table.showsWorkerGone(worker(1)));
  BOOST_TEST(Table.listsWorker(worker(1).Incarnation_.Id_));
  BOOST_TEST(Table.showsWorkerGone(worker(2)));
  Table.updateFromList({listed(MachineState::Down)}, Start);
  BOOST_TEST(Table.showsWorkerGone(worker(1)));
  BOOST_TEST(!Table.listsWorker(worker(1).Incarnation_.Id_));
  Table.updateFromList({}, Start);
  BOOST_TEST(Table.showsWorkerGone(worker(1)));
}

// An order that was done before is acknowledged as well, and an order that is
// said again when the machine is back. Only the life that the order was given
// for may count as ended by it, and only if a list that is newer says so.
BOOST_AUTO_TEST_CASE(OrderEndsOnlyTheLifeThatItWasGivenFor) {
  MachineTable Table(1500ms);
  Table.recordWorker(worker(1), Start);
  Table.orderSent(Machine, 1500ms, Start);
  BOOST_TEST(Table.livesEndedByOrders(Start + 2s).empty());
  BOOST_TEST((Table.lifeEndedByOrder(Machine) == worker(1).Incarnation_));
  Table.orderAcknowledged(Machine, Start + 1s);
  BOOST_TEST(Table.livesEndedByOrders(Start + 1s).empty());
  BOOST_TEST((Table.livesEndedByOrders(Start + 2s) ==
              std::set{worker(1).Incarnation_}));
  Table.recordWorker(worker(2), Start + 3s);
  Table.orderAcknowledged(Machine, Start + 4s);
  BOOST_TEST(Table.livesEndedByOrders(Start + 5s).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
