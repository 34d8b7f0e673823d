#include "cell/machinetable.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

const TimePoint Start(std::chrono::hours(1));
const MachineId Machine("m1");

WorkerRecord worker(std::int64_t StartedMs) {
  WorkerRecord Record;
  Record.Incarnation_ = {WorkerId("w" + std::to_string(StartedMs)), StartedMs};
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
  Table.orderSent(Machine, MachineOrderKind::Move, 1500ms, Start);
  Table.orderAcknowledged(Machine, Start);
  Table.recordWorker(worker(2), Start + 2s);
  BOOST_TEST(!Table.busy(Machine));
}

BOOST_AUTO_TEST_CASE(MovedMachineIsOnItsWayOnceTheOrderIsAcknowledged) {
  MachineTable Table(2s);
  Table.recordWorker(worker(1), Start);
  Table.orderSent(Machine, MachineOrderKind::Move, 1500ms, Start);
  BOOST_TEST(Table.arrivals(Start).empty());
  Table.setPool(Machine, PoolName("other"));
  Table.orderAcknowledged(Machine, Start);
  const auto Arrivals = Table.arrivals(Start);
  BOOST_REQUIRE(Arrivals.size() == 1u);
  BOOST_TEST(Arrivals.front().Pool_ == PoolName("other"));
  BOOST_TEST((Arrivals.front().At_ == Start + 1500ms));
  Table.recordWorker(worker(2), Start + 2s);
  BOOST_TEST(Table.arrivals(Start + 2s).empty());
}

// Guards against too many machines of a wave being down. After the store has
// dropped its history, all workers' entries are read again, including those of
// machines that have just gone down; each made its machine appear to be back.
BOOST_AUTO_TEST_CASE(EntryOfTheFormerWorkerDoesNotSettleTheOrder) {
  MachineTable Table(1500ms);
  Table.recordWorker(worker(1), Start);
  Table.orderSent(Machine, MachineOrderKind::Move, 1500ms, Start);
  Table.orderAcknowledged(Machine, Start);
  Table.updateFromList({listed(MachineState::Upkeep)}, Start + 500ms);
  Table.recordWorker(worker(1), Start + 1s);
  BOOST_TEST(Table.busy(Machine));
}

// Guards against too many machines of a wave being down. While the store's
// watches receive nothing, a machine is moved and then ordered into upkeep
// based on the platform's list. The entry of the worker that came up after the
// move is seen only then, and was taken for the worker after the upkeep.
BOOST_AUTO_TEST_CASE(IncarnationFromBeforeTheOrderDoesNotSettleIt) {
  MachineTable Table(2000ms);
  Table.recordWorker(worker(1), Start);
  Table.orderSent(Machine, MachineOrderKind::Move, 2000ms, Start);
  Table.orderAcknowledged(Machine, Start + 10ms);
  Table.recordWorker(worker(2), Start + 300ms);
  BOOST_TEST(Table.busy(Machine));
  BOOST_TEST(
      (Table.incarnationEndedByOrder(Machine) == worker(2).Incarnation_));
  Table.recordWorker(worker(3), Start + 2000ms);
  BOOST_TEST(!Table.busy(Machine));
}

// A new leader must not order a machine that its predecessor ordered shortly
// before, whether it learns of the machine from the list or from the worker.
BOOST_AUTO_TEST_CASE(OrdersAreBlockedHoweverTheMachineBecomesKnown) {
  MachineTable Table(1500ms);
  Table.blockOrdersUntil(Machine, Start + 3s);
  Table.recordWorker(worker(1), Start);
  BOOST_TEST((Table.views().at(Machine).NoOrderBefore_ == Start + 3s));
  MachineTable Other(1500ms);
  Other.blockOrdersUntil(Machine, Start + 3s);
  Other.updateFromList({listed(MachineState::Up)}, Start);
  BOOST_TEST((Other.views().at(Machine).NoOrderBefore_ == Start + 3s));
}

// Guards against sending a move again at every planning step, ten times a
// second, while the platform refuses it because the worker is leaving or the
// pool does not take the machine.
BOOST_AUTO_TEST_CASE(MoveIsNotRepeatedSoonAfterARefusal) {
  MachineTable Table(1500ms);
  Table.recordWorker(worker(1), Start);
  Table.orderSent(Machine, MachineOrderKind::Move, 1500ms, Start);
  Table.orderRefused(Machine, Start + 10ms);
  BOOST_TEST(!Table.busy(Machine));
  BOOST_TEST((Table.views().at(Machine).NoOrderBefore_ ==
              Start + 10ms + MachineTable::PauseAfterRefusal));
}

// Guards against machines of the standby pool that stay on forever: each new
// leader took the pool in which it found a machine for its home.
BOOST_AUTO_TEST_CASE(HomePoolIsKeptAcrossTakeovers) {
  MachineTable Table(1500ms);
  Table.setHomePool(Machine, PoolName("standby"));
  Table.updateFromList({listed(MachineState::Up)}, Start);
  BOOST_TEST(Table.homePools().at(Machine) == PoolName("standby"));
}

// The list lags behind: a machine shown as up within the minimum duration of
// the order has not even gone down yet.
BOOST_AUTO_TEST_CASE(EarlyListDoesNotSettleTheOrder) {
  MachineTable Table(1500ms);
  Table.orderSent(Machine, MachineOrderKind::Move, 1500ms, Start);
  Table.updateFromList({listed(MachineState::Up)}, Start + 10s);
  BOOST_TEST(Table.busy(Machine));
  Table.orderAcknowledged(Machine, Start + 10s);
  Table.updateFromList({listed(MachineState::Up)}, Start + 11s);
  BOOST_TEST(Table.busy(Machine));
  Table.updateFromList({listed(MachineState::Up)}, Start + 12s);
  BOOST_TEST(!Table.busy(Machine));
}

// A worker that does not reply may be unreachable but running. Before its lease
// ends, only the list can show that it is gone.
BOOST_AUTO_TEST_CASE(ListShowsWhichSilentWorkersAreGone) {
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

// The platform also acknowledges an order that it executed before, and one that
// is repeated when the machine is back. Only the incarnation for which the
// order was sent may count as ended by it, and only if a newer list shows that.
BOOST_AUTO_TEST_CASE(OrderEndsOnlyTheIncarnationThatItWasSentFor) {
  MachineTable Table(1500ms);
  Table.recordWorker(worker(1), Start);
  Table.orderSent(Machine, MachineOrderKind::Move, 1500ms, Start);
  BOOST_TEST(Table.incarnationsEndedByOrders(Start + 2s).empty());
  BOOST_TEST(
      (Table.incarnationEndedByOrder(Machine) == worker(1).Incarnation_));
  Table.orderAcknowledged(Machine, Start + 1s);
  BOOST_TEST(Table.incarnationsEndedByOrders(Start + 1s).empty());
  BOOST_TEST((Table.incarnationsEndedByOrders(Start + 2s) ==
              std::set{worker(1).Incarnation_}));
  Table.recordWorker(worker(2), Start + 3s);
  Table.orderAcknowledged(Machine, Start + 4s);
  BOOST_TEST(Table.incarnationsEndedByOrders(Start + 5s).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
