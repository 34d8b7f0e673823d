#include "soak/entryprocesses.h"

#include "framework/log/log.h"
#include "peers/peermesh.h"
#include "soak/random.h"

#include <filesystem>
#include <fstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace laburnumspread::soak {

namespace json = boost::json;

namespace {

/// Below the ephemeral port range, so that no outgoing connection takes an
/// entry's port while its process is restarting.
constexpr std::uint16_t FirstPort = 20000;
constexpr std::uint16_t PortRange = 10000;
constexpr const char *StorePrefix = "soak/";
constexpr int MaxPortTries = 1000;
/// Longer than any run, so that the states of ended jobs can be read until the
/// run is over.
constexpr int StatusKeptSeconds = 36000;
constexpr int ConfigBoundMs = 2000;
/// Shells report a process killed by signal N as exit code 128 + N.
constexpr int SignalExitBase = 128;

bool isFree(std::uint16_t Port) {
  using boost::asio::ip::tcp;
  boost::asio::io_context Io;
  tcp::acceptor Probe(Io);
  boost::system::error_code Error;
  Probe.open(tcp::v4(), Error);
  if (!Error)
    Probe.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Probe.bind({boost::asio::ip::address_v4::loopback(), Port}, Error);
  if (!Error)
    Probe.listen(1, Error);
  return !Error;
}

std::string nameOf(std::size_t Index) {
  return "entry-" + std::to_string(Index);
}

bool isExpectedExit(int Code, const std::set<int> &Sent) {
  return (Code == 0 && Sent.contains(SIGTERM)) ||
         (Code == SignalExitBase + SIGKILL && Sent.contains(SIGKILL));
}

} // namespace

EntryProcesses::EntryProcesses(std::string Folder, std::size_t Count)
    : Folder_(std::move(Folder)), Count_(Count), SentSignals_(Count) {
  const peers::PeerKeys Keys = peers::generatePeerKeys();
  PublicKey_ = Keys.Public_;
  SecretKey_ = Keys.Secret_;
}

absl::Status EntryProcesses::choosePorts() {
  Random Generator(std::random_device{}());
  for (int Try = 0; Try < MaxPortTries && Ports_.size() < 2 * Count_; ++Try) {
    const auto Port =
        static_cast<std::uint16_t>(FirstPort + Generator.below(PortRange));
    const bool AlreadyChosen = std::ranges::find(Ports_, Port) != Ports_.end();
    if (!AlreadyChosen && isFree(Port))
      Ports_.push_back(Port);
  }
  return Ports_.size() == 2 * Count_
             ? absl::OkStatus()
             : absl::UnavailableError("no free ports for the entries");
}

absl::Status EntryProcesses::writeSettings(
    const std::vector<std::uint16_t> &PlatformPorts,
    const std::vector<std::uint16_t> &PeerProxyPorts) {
  PlatformPorts_ = PlatformPorts;
  PeerProxyPorts_ = PeerProxyPorts;
  for (std::size_t I = 0; I < Count_; ++I)
    if (absl::Status Written = writeEntry(I, false, 1.5); !Written.ok())
      return Written;
  return absl::OkStatus();
}

absl::Status EntryProcesses::changeSettings(std::size_t Index,
                                            std::uint64_t Choice) {
  return writeEntry(Index, Choice % 2 == 0,
                    1.5 + 0.1 * static_cast<double>(Choice % 5));
}

absl::Status EntryProcesses::writeEntry(std::size_t Index, bool Debug,
                                        double MoveSeconds) const {
  const std::string AnyPort = "127.0.0.1:0";
  const auto LocalAddress = [](std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  };
  const std::string Platform = LocalAddress(PlatformPorts_[Index]);
  const json::object Settings{
      {"kind", "cell"},
      {"name", nameOf(Index)},
      {"zone", "z" + std::to_string(Index)},
      {"listen",
       json::object{{"callers", callerAddress(Index).str()},
                    {"readiness", AnyPort},
                    {"peers", LocalAddress(peerPort(Index))},
                    {"peersAdvertised", LocalAddress(PeerProxyPorts_[Index])},
                    {"metrics", AnyPort}}},
      {"store", json::object{{"address", Platform}, {"prefix", StorePrefix}}},
      {"services", json::object{{"machines", Platform}}},
      {"peerKeys",
       json::object{{"public", PublicKey_}, {"secret", SecretKey_}}},
      {"bounds", json::object{{"statusKeptSeconds", StatusKeptSeconds},
                              {"moveSeconds", MoveSeconds},
                              {"configMs", ConfigBoundMs}}},
      {"log",
       json::object{{"format", "kv"}, {"level", Debug ? "debug" : "info"}}}};
  const std::string Name = filePath(Index, "json");
  std::ofstream(Name + ".new") << json::serialize(Settings) << '\n';
  std::error_code Error;
  std::filesystem::rename(Name + ".new", Name, Error);
  return Error ? absl::UnavailableError(
                     Name + " cannot be written: " + Error.message())
               : absl::OkStatus();
}

std::string EntryProcesses::filePath(std::size_t Index,
                                     const std::string &Suffix) const {
  return Folder_ + "/" + nameOf(Index) + "." + Suffix;
}

journal::CellKeys EntryProcesses::cellKeys() {
  return journal::CellKeys(std::string(StorePrefix) + "cell/0/");
}

std::size_t EntryProcesses::indexOf(const std::string &Name) const {
  std::size_t Index = 0;
  while (Index < Count_ && nameOf(Index) != Name)
    ++Index;
  return Index;
}

pid_t EntryProcesses::processId(std::size_t Index) const {
  pid_t Id = 0;
  std::ifstream(filePath(Index, "pid")) >> Id;
  return Id;
}

bool EntryProcesses::signal(std::size_t Index, pid_t Process, int Number) {
  if (Process <= 0 || processId(Index) != Process)
    return false;
  if (Number == SIGTERM || Number == SIGKILL)
    SentSignals_[Index][Process].insert(Number);
  framework::log::info("soak.signal")
      .field("entry", static_cast<std::uint64_t>(Index))
      .field("process", static_cast<std::int64_t>(Process))
      .field("signal", Number);
  return ::kill(Process, Number) == 0;
}

std::map<pid_t, int> EntryProcesses::exits(std::size_t Index) const {
  std::map<pid_t, int> Result;
  std::ifstream In(filePath(Index, "ends"));
  for (auto [Id, Code] = std::pair<pid_t, int>(); In >> Id >> Code;)
    Result[Id] = Code;
  return Result;
}

std::vector<std::string> EntryProcesses::unexpectedExits() const {
  std::vector<std::string> Result;
  for (std::size_t I = 0; I < Count_; ++I)
    for (const auto &[Id, Code] : exits(I)) {
      const auto Sent = SentSignals_[I].find(Id);
      if (Sent == SentSignals_[I].end() || !isExpectedExit(Code, Sent->second))
        Result.push_back(
            "entry " + std::to_string(I) + " process " + std::to_string(Id) +
            " exited unexpectedly with code " + std::to_string(Code));
    }
  return Result;
}

std::vector<std::string> EntryProcesses::missingExits() const {
  std::vector<std::string> Result;
  for (std::size_t I = 0; I < Count_; ++I) {
    const auto Exits = exits(I);
    for (const auto &[Id, Signals] : SentSignals_[I])
      if (!Exits.contains(Id))
        Result.push_back("entry " + std::to_string(I) + " process " +
                         std::to_string(Id) +
                         " was sent a termination signal and still runs");
  }
  return Result;
}

} // namespace laburnumspread::soak
