#include "bench/micro/fiberthread.h"
#include "framework/clock/steadyclock.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "platform/workerclient.h"

#include <array>
#include <benchmark/benchmark.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <thread>

// Processor time of an order to a worker over kept connections, with the codec,
// HTTP and system calls of this side. The answering side runs on other threads.

namespace {

using namespace laburnumspread;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr int Connections = 32;

/// Answers each request on a connection with the same bytes.
void answerConnection(tcp::socket Socket, const std::string &Body) {
  const std::string Answer =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(Body.size()) + "\r\n\r\n" + Body;
  boost::system::error_code Error;
  std::array<char, 4096> Request{};
  while (!Error) {
    // A request of these benchmarks arrives as one segment.
    Socket.read_some(boost::asio::buffer(Request), Error);
    if (!Error)
      boost::asio::write(Socket, boost::asio::buffer(Answer), Error);
  }
}

/// A worker on loopback that gives one fixed answer. Its threads last as long
/// as the process.
cell::WorkerRecord startWorker(const std::string &Body) {
  static boost::asio::io_context Io;
  auto *const Acceptor = new tcp::acceptor(
      Io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  cell::WorkerRecord Record;
  Record.Incarnation_ = {jobs::WorkerId("i-0123456789"), 1};
  Record.Address_ = {"127.0.0.1", Acceptor->local_endpoint().port()};
  std::thread([Acceptor, Body] {
    while (true) {
      tcp::socket Socket(Acceptor->get_executor());
      Acceptor->accept(Socket);
      Socket.set_option(tcp::no_delay(true));
      std::thread(answerConnection, std::move(Socket), Body).detach();
    }
  }).detach();
  return Record;
}

std::string reportOf(std::int64_t Runs) {
  std::string Rows;
  for (std::int64_t I = 0; I < Runs; ++I)
    Rows += (I > 0 ? "," : "") + std::string("[\"5c0e7a21d94b36f8.0.1.") +
            std::to_string(I) + "\",1,\"00000bb87a21d94b\",41,0]";
  return R"({"clock_ms":482113,"born":1,"running":[)" + Rows +
         R"(],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
}

/// Calls \p Order on Connections fibers; each iteration is a fixed number of
/// orders, its time that of one.
template <typename Fn> void orderInParallel(benchmark::State &State, Fn Order) {
  constexpr int OrdersPerFiber = 200;
  for (auto _ : State) {
    const double Before = bench::threadSeconds();
    auto Done = std::make_shared<framework::fibers::Waiter>();
    int Running = Connections;
    for (int I = 0; I < Connections; ++I)
      framework::fibers::spawn([&, Done] {
        for (int K = 0; K < OrdersPerFiber; ++K)
          Order();
        if (--Running == 0)
          Done->signal();
      });
    Done->waitUntil(framework::clock::wallDeadline(60s));
    State.SetIterationTime((bench::threadSeconds() - Before) /
                           (Connections * OrdersPerFiber));
  }
}

void orderStart(benchmark::State &State) {
  platform::WorkerClient Client(bench::useFibers());
  const cell::WorkerRecord Worker = startWorker(R"({"clock_ms":482113})");
  const std::string Payload(200, 'x');
  cell::StartOrder Order;
  Order.Run_ = {{jobs::JobId("5c0e7a21d94b36f8"), 0, 1, 17},
                jobs::RunNumber(1)};
  Order.Payload_ = Payload;
  Order.DeadlineMs_ = 486'000;
  orderInParallel(State, [&] { Client.start(Worker, Order, 1s); });
}
BENCHMARK(orderStart)
    ->Iterations(5)
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond);

/// Holds answered with range(0) running tasks.
void orderHold(benchmark::State &State) {
  platform::WorkerClient Client(bench::useFibers());
  const cell::WorkerRecord Worker = startWorker(reportOf(State.range(0)));
  cell::HoldOrder Order;
  Order.DeadlineMs_ = 486'000;
  Order.Wait_ = 250ms;
  orderInParallel(State, [&] { Client.hold(Worker, Order, 1s); });
}
BENCHMARK(orderHold)->Arg(0)->Arg(10)->Iterations(5)->UseManualTime()->Unit(
    benchmark::kMicrosecond);

} // namespace
