#include "framework/clock/clock.h"
#include "framework/fibers/asioscheduler.h"
#include "framework/fibers/waiter.h"
#include "framework/process/exitprocess.h"
#include "framework/settings/jsonreader.h"
#include "standin/platform.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

// laburnum-standin: simulates the platform. Reads a file of declared resources
// and serves an endpoint for each VM on its declared address.

namespace {

using namespace laburnumspread;
using framework::process::BadUsage;
using framework::process::exitProcess;
using framework::process::failStart;
using framework::settings::FieldErrors;
using framework::settings::JsonReader;

constexpr std::string_view Program = "laburnum-standin";

struct DeclaredEndpoint {
  std::string Vm_;
  std::string Address_;
  std::uint32_t Slots_ = 8;
};

absl::StatusOr<std::vector<DeclaredEndpoint>>
readFleet(const std::string &File) {
  std::ifstream In(File);
  if (!In)
    return absl::NotFoundError(File + ": cannot be read");
  std::stringstream Text;
  Text << In.rdbuf();
  const auto Document = framework::settings::parseJson(Text.str());
  if (!Document.ok())
    return Document.status();
  std::vector<DeclaredEndpoint> Result;
  FieldErrors Errors;
  JsonReader Reader(*Document, "", Errors);
  Reader.eachObject("items", [&](JsonReader &Item) {
    const std::string Kind = Item.requiredString("kind");
    JsonReader Spec = Item.child("spec", true);
    JsonReader Meta = Item.child("metadata", true);
    if (Kind == "vms")
      Result.push_back({Meta.requiredString("name"),
                        Spec.requiredString("address"),
                        static_cast<std::uint32_t>(
                            Spec.optionalInt("slots", 8, {1, 4096}))});
  });
  return Result;
}

[[noreturn]] void serve(const std::string &Listen, const std::string &Fleet,
                        std::int64_t RebootMs) {
  boost::asio::io_context Io;
  framework::fibers::useAsioScheduler(Io);
  const auto Control = framework::http::parseAddress(Listen);
  if (!Control)
    failStart(Program, "--listen: not an ip:port");
  standin::PlatformOptions Options;
  Options.Control_ = *Control;
  Options.RebootTime_ = std::chrono::milliseconds(RebootMs);
  standin::Platform Platform(Io, Options);
  const auto Endpoints = readFleet(Fleet);
  if (!Endpoints.ok())
    failStart(Program, std::string(Endpoints.status().message()));
  for (const DeclaredEndpoint &Item : *Endpoints) {
    const auto At = framework::http::parseAddress(Item.Address_);
    const auto Port =
        At ? Platform.addEndpoint(Item.Vm_, Item.Slots_, *At)
           : absl::StatusOr<std::uint16_t>(
                 absl::InvalidArgumentError(Item.Address_ + ": bad address"));
    if (!Port.ok())
      failStart(Program, std::string(Port.status().message()));
  }
  if (absl::Status Status = Platform.start(); !Status.ok())
    failStart(Program, std::string(Status.message()));
  std::cout << "laburnum-standin: " << Endpoints->size()
            << " endpoints, control on " << Control->Ip_ << ':'
            << Platform.port() << std::endl;
  framework::fibers::Waiter Stop;
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](auto, int) { Stop.signal(); });
  Stop.waitUntil(framework::clock::SystemClock().now() +
                 std::chrono::hours(24 * 365));
  exitProcess(0);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("laburnum-standin",
                           "Simulated platform, for tests only");
  Options.add_options()(
      "listen", "control address",
      cxxopts::value<std::string>()->default_value("127.0.0.1:12379"))(
      "fleet", "file of declared resources; an endpoint is served for each VM",
      cxxopts::value<std::string>())(
      "reboot-ms", "duration of a reboot in milliseconds",
      cxxopts::value<std::int64_t>()->default_value("1500"))("help", "help");
  try {
    const auto Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") || !Parsed.count("fleet")) {
      std::cout << Options.help() << '\n';
      return Parsed.count("help") ? 0 : BadUsage;
    }
    serve(Parsed["listen"].as<std::string>(), Parsed["fleet"].as<std::string>(),
          Parsed["reboot-ms"].as<std::int64_t>());
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "laburnum-standin: " << Error.what() << '\n';
    return BadUsage;
  }
}
