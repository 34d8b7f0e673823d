#include "bench/load/withdrawals.h"

#include "framework/digest/digest.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/http/httpclient.h"

#include <algorithm>
#include <memory>

namespace laburnumspread::bench {

namespace http = framework::http;
using framework::clock::SystemClock;
using namespace std::chrono_literals;

namespace {

constexpr auto PollInterval = 2ms;
constexpr auto RequestTimeout = 20s;
constexpr int Unauthorized = 401;

int sendRequest(http::Client &Server, const std::string &Method,
                const std::string &Target, const std::string &Key,
                const std::string &Body) {
  http::Request Message;
  Message.Method_ = Method;
  Message.Target_ = Target;
  Message.Headers_.add("Host", "laburnumspread");
  Message.Headers_.add("Authorization", "Bearer " + Key);
  Message.Body_ = Body;
  const auto Response =
      Server.exchange(Message, SystemClock().now() + RequestTimeout);
  return Response.ok() ? Response->Status_ : 0;
}

/// Returns the milliseconds from \p Start until each server accepts the key, or
/// refuses it if \p ExpectServed is false. A server that never does counts with
/// the time when polling stopped.
std::vector<double>
measurePropagation(std::vector<std::unique_ptr<http::Client>> &Clients,
                   const std::string &Secret, bool ExpectServed,
                   TimePoint Start) {
  std::vector<double> Millis;
  framework::fibers::Waiter Done;
  std::size_t Pending = Clients.size();
  for (auto &Client : Clients)
    framework::fibers::spawn([&, Server = Client.get()] {
      const TimePoint Deadline = SystemClock().now() + RequestTimeout;
      while (SystemClock().now() < Deadline) {
        const int Status = sendRequest(
            *Server, "POST", "/v1/pools/orders/requests", Secret, "{}");
        if ((Status != Unauthorized) == ExpectServed)
          break;
        framework::fibers::sleepFor(PollInterval);
      }
      Millis.push_back(
          std::chrono::duration<double, std::milli>(SystemClock().now() - Start)
              .count());
      if (--Pending == 0)
        Done.signal();
    });
  Done.waitUntil(SystemClock().now() + 2 * RequestTimeout);
  return Millis;
}

boost::json::object percentiles(std::vector<double> Millis) {
  std::sort(Millis.begin(), Millis.end());
  auto Percentile = [&](double Fraction) {
    return Millis.empty()
               ? 0.0
               : Millis[static_cast<std::size_t>(
                     Fraction * static_cast<double>(Millis.size() - 1))];
  };
  return {{"count", Millis.size()},
          {"p50Ms", Percentile(0.5)},
          {"p99Ms", Percentile(0.99)},
          {"maxMs", Percentile(1)}};
}

} // namespace

boost::json::object runWithdrawals(boost::asio::io_context &Io,
                                   const std::vector<http::Address> &Servers,
                                   std::size_t Rounds) {
  std::vector<std::unique_ptr<http::Client>> Clients;
  for (const http::Address &Server : Servers)
    Clients.push_back(std::make_unique<http::Client>(Io, Server));
  const std::string Operator = "trial-operator";
  const std::string Target = "/v1/keys/measured";
  std::vector<double> Granted, Withdrawn;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    const std::string Secret = framework::digest::randomHex(16);
    const std::string Object =
        R"({"metadata": {"name": "measured"}, "spec": {"team": "riders", "sha256": ")" +
        framework::digest::sha256Hex(Secret) + "\"}}";
    const TimePoint GrantedAt = SystemClock().now();
    sendRequest(*Clients.front(), "PUT", Target, Operator, Object);
    for (double Millis : measurePropagation(Clients, Secret, true, GrantedAt))
      Granted.push_back(Millis);
    const TimePoint WithdrawnAt = SystemClock().now();
    sendRequest(*Clients.front(), "DELETE", Target, Operator, "");
    for (double Millis :
         measurePropagation(Clients, Secret, false, WithdrawnAt))
      Withdrawn.push_back(Millis);
  }
  return {{"granted", percentiles(std::move(Granted))},
          {"withdrawn", percentiles(std::move(Withdrawn))}};
}

} // namespace laburnumspread::bench
