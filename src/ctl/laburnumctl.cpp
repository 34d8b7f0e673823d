#include "ctl/commands.h"
#include "framework/fibers/asioscheduler.h"
#include "framework/process/exitprocess.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

// laburnumctl: command-line client for operators and callers.

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

/// Fills \p Cmd. Returns an error message, or an empty string on success.
std::string readCommand(const cxxopts::ParseResult &Parsed, Command &Cmd) {
  auto Words = Parsed.count("words")
                   ? Parsed["words"].as<std::vector<std::string>>()
                   : std::vector<std::string>();
  if (Words.empty())
    return "no verb; see --help";
  Cmd.Verb_ = Words.front();
  Cmd.Arguments_.assign(Words.begin() + 1, Words.end());
  std::vector<std::string> Servers;
  if (Parsed.count("server"))
    Servers = Parsed["server"].as<std::vector<std::string>>();
  else if (const std::string One = fromEnvironment("LABURNUM_SERVER");
           !One.empty())
    Servers.push_back(One);
  for (const std::string &Text : Servers) {
    const auto Address = laburnumspread::framework::http::parseAddress(Text);
    if (!Address)
      return "--server: " + Text + " is not a numeric ip:port";
    Cmd.Servers_.push_back(*Address);
  }
  Cmd.Key_ = Parsed.count("key") ? Parsed["key"].as<std::string>()
                                 : fromEnvironment("LABURNUM_KEY");
  const std::string Output = Parsed["output"].as<std::string>();
  if (Output != "table" && Output != "json")
    return "--output: must be table or json";
  Cmd.Output_ = Output == "json" ? laburnumspread::ctl::Output::Json
                                 : laburnumspread::ctl::Output::Table;
  Cmd.File_ = Parsed["file"].as<std::string>();
  Cmd.Body_ = Parsed["data"].as<std::string>();
  Cmd.IfMatch_ = Parsed["if-match"].as<std::string>();
  Cmd.Since_ = Parsed["since"].as<std::string>();
  Cmd.Class_ = Parsed["class"].as<std::string>();
  Cmd.IdempotencyKey_ = Parsed["idempotency-key"].as<std::string>();
  Cmd.TimeoutMs_ = Parsed["timeout-ms"].as<std::int64_t>();
  Cmd.Watch_ = Parsed.count("watch") > 0;
  Cmd.Wait_ = Parsed.count("wait") > 0;
  Cmd.DryRun_ = Parsed.count("dry-run") > 0;
  Cmd.Once_ = Parsed.count("once") > 0;
  Cmd.Peer_ = Parsed.count("peer") > 0;
  return "";
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  Command Cmd;
  try {
    const auto Parsed = makeOptions().parse(ArgumentCount, Arguments);
    if (Parsed.count("help")) {
      std::cout << helpText();
      return 0;
    }
    if (const std::string Wrong = readCommand(Parsed, Cmd); !Wrong.empty()) {
      std::cerr << "laburnumctl: " << Wrong << '\n';
      return static_cast<int>(ExitCode::Usage);
    }
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "laburnumctl: " << Error.what() << '\n';
    return static_cast<int>(ExitCode::Usage);
  }
  boost::asio::io_context Io(1);
  laburnumspread::framework::fibers::useAsioScheduler(Io);
  const ExitCode Code = runCommand(Io, Cmd);
  laburnumspread::framework::process::exitProcess(static_cast<int>(Code));
}
