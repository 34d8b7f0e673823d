#include "bench/load/loadrun.h"
#include "bench/load/report.h"
#include "bench/load/withdrawals.h"
#include "framework/fibers/asioscheduler.h"
#include "framework/http/httpclient.h"
#include "framework/process/exitprocess.h"
#include "framework/settings/jsonreader.h"

#include <csignal>
#include <iostream>

#include <boost/json.hpp>
#include <cxxopts.hpp>

// laburnum-load: generates load on entries, limited in time and callers, and
// compares their responses with the endpoints' own counts. Prints one JSON
// object; with --platform, exits with 1 if responses and counts contradict each
// other.

namespace {

using namespace laburnumspread;
using namespace laburnumspread::bench;

constexpr int BadUsage = 2;
constexpr int CheckFailed = 1;
constexpr std::int64_t MaxRunTimeMs = 600'000;
constexpr std::size_t MaxCallers = 4096;

cxxopts::Options makeOptions() {
  cxxopts::Options Options("laburnum-load",
                           "Load generator for entries on loopback");
  auto Text = [](const char *Default) {
    return cxxopts::value<std::string>()->default_value(Default);
  };
  auto List = [](const char *Default) {
    return cxxopts::value<std::vector<std::string>>()->default_value(Default);
  };
  auto Number = [](const char *Default) {
    return cxxopts::value<double>()->default_value(Default);
  };
  Options.add_options()("servers", "ip:port, ...", List("127.0.0.1:18101"))(
      "direct", "send directly to endpoints, bypassing the entries")(
      "pools", "names of the pools",
      List("orders"))("teams", "names of the teams", List("caterer-large"))(
      "shares", "share of each team, to report closeness to share",
      List(""))("callers", "number of callers", Number("16"))(
      "rate", "requests per second, 0: without pauses",
      Number("0"))("for-ms", "length of the run",
                   Number("5000"))("work-ms", "work per request", Number("5"))(
      "timeout-ms", "request timeout", Number("5000"))(
      "once", "fraction of requests that are non-repeatable", Number("0"))(
      "again", "fraction of non-repeatable requests sent twice", Number("0"))(
      "urgent", "fraction of requests of class urgent",
      Number("0"))("batch", "fraction of requests of class batch", Number("0"))(
      "rotate-ms", "length of each pool's peak, 0: no rotation",
      Number("0"))("seed", "seed of all random choices", Number("1"))(
      "withdrawals", "measure this many grants and withdrawals of a key",
      Number("0"))("platform",
                   "address of the platform stand-in to compare with",
                   Text(""))("help", "print this help");
  return Options;
}

LoadPlan readPlan(const cxxopts::ParseResult &Args) {
  LoadPlan Plan;
  auto Number = [&](const char *Name) { return Args[Name].as<double>(); };
  for (const auto &Text : Args["servers"].as<std::vector<std::string>>())
    if (const auto Parsed = framework::http::parseAddress(Text))
      Plan.Servers_.push_back(*Parsed);
  Plan.Direct_ = Args.count("direct") > 0;
  Plan.Pools_ = Args["pools"].as<std::vector<std::string>>();
  Plan.Teams_ = Args["teams"].as<std::vector<std::string>>();
  for (const auto &Text : Args["shares"].as<std::vector<std::string>>())
    if (!Text.empty())
      Plan.Shares_.push_back(std::stod(Text));
  Plan.Callers_ =
      std::min(MaxCallers, static_cast<std::size_t>(Number("callers")));
  Plan.Rate_ = Number("rate");
  Plan.RunTime_ = std::chrono::milliseconds(
      std::min(MaxRunTimeMs, static_cast<std::int64_t>(Number("for-ms"))));
  Plan.WorkMs_ = static_cast<std::int64_t>(Number("work-ms"));
  Plan.TimeoutMs_ = static_cast<std::int64_t>(Number("timeout-ms"));
  Plan.OnceFraction_ = Number("once");
  Plan.ResendFraction_ = Number("again");
  Plan.UrgentFraction_ = Number("urgent");
  Plan.BatchFraction_ = Number("batch");
  Plan.RotationPeriod_ =
      std::chrono::milliseconds(static_cast<std::int64_t>(Number("rotate-ms")));
  Plan.Seed_ = static_cast<std::uint64_t>(Number("seed"));
  Plan.Platform_ = Args["platform"].as<std::string>();
  return Plan;
}

boost::json::object fetch(boost::asio::io_context &Io,
                          const std::string &Platform,
                          const std::string &Path) {
  framework::http::Client Client(Io, *framework::http::parseAddress(Platform));
  framework::http::Request Message;
  Message.Method_ = "GET";
  Message.Target_ = Path;
  const auto Response = Client.exchange(
      Message, framework::clock::SystemClock().now() + std::chrono::seconds(10),
      256 * 1024 * 1024);
  const auto Document = framework::settings::parseJson(
      Response.ok() ? Response->Body_ : std::string("{}"));
  return Document.ok() && Document->is_object() ? Document->get_object()
                                                : boost::json::object();
}

std::map<std::string, std::uint64_t>
fetchStartedKeys(boost::asio::io_context &Io, const std::string &Platform) {
  std::map<std::string, std::uint64_t> Result;
  const boost::json::object Response = fetch(Io, Platform, "/platform/keys");
  if (const auto *Keys = Response.if_contains("keys"))
    for (const auto &Row : Keys->as_object())
      Result[std::string(Row.key())] = Row.value().to_number<std::uint64_t>();
  return Result;
}

int measureWithdrawals(const LoadPlan &Plan, std::size_t Rounds) {
  boost::asio::io_context Io(1);
  framework::fibers::useAsioScheduler(Io);
  std::cout << boost::json::serialize(runWithdrawals(
                   Io, Plan.Servers_, std::min<std::size_t>(Rounds, 1000)))
            << std::endl;
  framework::process::exitProcess(0);
}

int run(const LoadPlan &Plan) {
  boost::asio::io_context Io(1);
  framework::fibers::useAsioScheduler(Io);
  const LoadResult Result = runLoad(Io, Plan);
  boost::json::object Report = summarize(Plan, Result);
  bool Consistent = true;
  if (!Plan.Platform_.empty()) {
    boost::json::object Check =
        compareWithEndpoints(Result, fetchStartedKeys(Io, Plan.Platform_));
    for (const char *Name : {"ranTwice", "notRunButRan", "ranButNot"})
      Consistent = Consistent && Check.at(Name).as_array().empty();
    Report["truth"] = std::move(Check);
    Report["mostByTeam"] =
        fetch(Io, Plan.Platform_, "/platform/ledger")["mostByTeam"];
  }
  std::cout << boost::json::serialize(Report) << std::endl;
  framework::process::exitProcess(Consistent ? 0 : CheckFailed);
}

} // namespace

int main(int ArgCount, char **ArgValues) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    auto Options = makeOptions();
    const auto Args = Options.parse(ArgCount, ArgValues);
    if (Args.count("help")) {
      std::cout << Options.help() << '\n';
      return 0;
    }
    const LoadPlan Plan = readPlan(Args);
    if (Plan.Servers_.empty() || Plan.Pools_.empty() || Plan.Teams_.empty()) {
      std::cerr << "laburnum-load: at least one valid server, pool and team is "
                   "required\n";
      return BadUsage;
    }
    if (const auto Rounds = Args["withdrawals"].as<double>(); Rounds > 0)
      return measureWithdrawals(Plan, static_cast<std::size_t>(Rounds));
    return run(Plan);
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "laburnum-load: " << Error.what() << '\n';
    return BadUsage;
  }
}
