#include "ctl/commands.h"
#include "framework/fibers/asioscheduler.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

// laburnumctl: the operators' and callers' command line.

namespace {

using namespace laburnumspread::ctl;

cxxopts::Options makeOptions() {
  cxxopts::Options Options("laburnumctl");
  Options.add_options()("s,server", "",
                        cxxopts::value<std::vector<std::string>>())(
      "k,key", "", cxxopts::value<std::string>())(
      "f,file", "", cxxopts::value<std::string>()->default_value(""))(
      "o,output", "", cxxopts::value<std::string>()->default_value("table"))(
      "d,data", "", cxxopts::value<std::string>()->default_value(""))(
      "watch", "")("wait", "")("dry-run", "")("once", "")("peer", "")(
      "if-match", "", cxxopts::value<std::string>()->default_value(""))(
      "since", "", cxxopts::value<std::string>()->default_value(""))(
      "class", "", cxxopts::value<std::string>()->default_value(""))(
      "idempotency-key", "", cxxopts::value<std::string>()->default_value(""))(
      "timeout-ms", "", cxxopts::value<std::int64_t>()->default_value("30000"))(
      "help", "")("words", "", cxxopts::value<std::vector<std::string>>());
  Options.parse_positional("words");
  return Options;
}

std::string fromEnvironment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value ? Value : "";
}

/// Fills the command; returns what is wrong, or an empty text.
std::string readCommand(const cxxopts::ParseResult &Given, Command &Into) {
  auto Words = Given.count("words")
                   ? Given["words"].as<std::vector<std::string>>()
                   : std::vector<std::string>();
  if (Words.empty())
    return "no verb; see --help";
  Into.Verb_ = Words.front();
  Into.Words_.assign(Words.begin() + 1, Words.end());
  std::vector<std::string> Servers;
  if (Given.count("server"))
    Servers = Given["server"].as<std::vector<std::string>>();
  else if (const std::string One = fromEnvironment("LABURNUM_SERVER");
           !One.empty())
    Servers.push_back(One);
  for (const std::string &Text : Servers) {
    const auto Parsed = laburnumspread::framework::http::parseAddress(Text);
    if (!Parsed)
      return "--server: " + Text + " is not a numeric ip:port";
    Into.Servers_.push_back(*Parsed);
  }
  Into.Key_ = Given.count("key") ? Given["key"].as<std::string>()
                                 : fromEnvironment("LABURNUM_KEY");
  const std::string Output = Given["output"].as<std::string>();
  if (Output != "table" && Output != "json")
    return "--output: must be table or json";
  Into.Output_ = Output == "json" ? laburnumspread::ctl::Output::Json
                                  : laburnumspread::ctl::Output::Table;
  Into.File_ = Given["file"].as<std::string>();
  Into.Body_ = Given["data"].as<std::string>();
  Into.IfMatch_ = Given["if-match"].as<std::string>();
  Into.Since_ = Given["since"].as<std::string>();
  Into.Class_ = Given["class"].as<std::string>();
  Into.IdempotencyKey_ = Given["idempotency-key"].as<std::string>();
  Into.TimeoutMs_ = Given["timeout-ms"].as<std::int64_t>();
  Into.Watch_ = Given.count("watch") > 0;
  Into.Wait_ = Given.count("wait") > 0;
  Into.DryRun_ = Given.count("dry-run") > 0;
  Into.Once_ = Given.count("once") > 0;
  Into.Peer_ = Given.count("peer") > 0;
  return "";
}

} // namespace

int main(int Count, char **Words) {
  std::signal(SIGPIPE, SIG_IGN);
  Command Given;
  try {
    const auto Parsed = makeOptions().parse(Count, Words);
    if (Parsed.count("help")) {
      std::cout << helpText();
      return 0;
    }
    if (const std::string Wrong = readCommand(Parsed, Given); !Wrong.empty()) {
      std::cerr << "laburnumctl: " << Wrong << '\n';
      return static_cast<int>(ExitCode::Usage);
    }
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "laburnumctl: " << Error.what() << '\n';
    return static_cast<int>(ExitCode::Usage);
  }
  boost::asio::io_context Io(1);
  laburnumspread::framework::fibers::useAsioScheduler(Io);
  const ExitCode Code = runCommand(Io, Given);
  std::cout.flush();
  std::_Exit(static_cast<int>(Code));
}
