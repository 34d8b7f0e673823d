#include "soak/entries.h"

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

/// Below the range from which systems give out ports by themselves, so that no
/// connection takes an entry's port while its process is away.
constexpr std::uint16_t FirstPort = 20000;
constexpr std::uint16_t PortRange = 10000;
constexpr int PortTries = 1000;
/// Longer than any run, so that an ended job is known to the end.
constexpr int StatusKeptSeconds = 36000;
/// What a shell tells of a process that a signal ended.
constexpr int SignalCode = 128;

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

bool asTold(int Code, const std::set<int> &Told) {
  return (Code == 0 && Told.contains(SIGTERM)) ||
         (Code == SignalCode + SIGKILL && Told.contains(SIGKILL));
}

} // namespace

Entries::Entries(std::string Folder, std::size_t Count)
    : Folder_(std::move(Folder)), Count_(Count), Told_(Count) {
  const peers::PeerKeys Keys = peers::generatePeerKeys();
  PublicKey_ = Keys.Public_;
  SecretKey_ = Keys.Secret_;
}

absl::Status Entries::choosePorts() {
  Random Draws(std::random_device{}());
  for (int Try = 0; Try < PortTries && Ports_.size() < 2 * Count_; ++Try) {
    const auto Port =
        static_cast<std::uint16_t>(FirstPort + Draws.below(PortRange));
    const bool Ours = std::ranges::find(Ports_, Port) != Ports_.end();
    if (!Ours && isFree(Port))
      Ports_.push_back(Port);
  }
  return Ports_.size() == 2 * Count_ ? absl::OkStatus()
                                     : absl::UnavailableError("no free ports");
}

absl::Status Entries::writeAll(const std::vector<std::uint16_t> &Doors,
                               const std::vector<std::uint16_t> &PeerWires) {
  Doors_ = Doors;
  PeerWires_ = PeerWires;
  for (std::size_t I = 0; I < Count_; ++I)
    if (absl::Status Written = write(I, false, 1.5); !Written.ok())
      return Written;
  return absl::OkStatus();
}

absl::Status Entries::change(std::size_t Index, std::uint64_t Draw) {
  return write(Index, Draw % 2 == 0, 1.5 + 0.1 * static_cast<double>(Draw % 5));
}

absl::Status Entries::write(std::size_t Index, bool Debug,
                            double MoveSeconds) const {
  const std::string Free = "127.0.0.1:0";
  const auto At = [](std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  };
  const std::string Door = At(Doors_[Index]);
  const json::object Settings{
      {"kind", "cell"},
      {"name", "entry-" + std::to_string(Index)},
      {"zone", "z" + std::to_string(Index)},
      {"listen", json::object{{"callers", callers(Index).str()},
                              {"readiness", Free},
                              {"peers", At(peerPort(Index))},
                              {"peersAdvertised", At(PeerWires_[Index])},
                              {"metrics", Free}}},
      {"store", json::object{{"address", Door}, {"prefix", "soak/"}}},
      {"services", json::object{{"machines", Door}}},
      {"peerKeys",
       json::object{{"public", PublicKey_}, {"secret", SecretKey_}}},
      {"bounds", json::object{{"statusKeptSeconds", StatusKeptSeconds},
                              {"moveSeconds", MoveSeconds}}},
      {"log",
       json::object{{"format", "kv"}, {"level", Debug ? "debug" : "info"}}}};
  const std::string Name = file(Index, "json");
  std::ofstream(Name + ".new") << json::serialize(Settings) << '\n';
  std::error_code Error;
  std::filesystem::rename(Name + ".new", Name, Error);
  return Error ? absl::UnavailableError(Name + ": " + Error.message())
               : absl::OkStatus();
}

std::string Entries::file(std::size_t Index, const std::string &Suffix) const {
  return Folder_ + "/entry-" + std::to_string(Index) + "." + Suffix;
}

pid_t Entries::process(std::size_t Index) const {
  pid_t Id = 0;
  std::ifstream(file(Index, "pid")) >> Id;
  return Id;
}

bool Entries::signal(std::size_t Index, pid_t Process, int Number) {
  if (Process <= 0 || process(Index) != Process)
    return false;
  if (Number == SIGTERM || Number == SIGKILL)
    Told_[Index][Process].insert(Number);
  framework::log::info("soak.signal")
      .field("entry", static_cast<std::uint64_t>(Index))
      .field("process", static_cast<std::int64_t>(Process))
      .field("signal", Number);
  return ::kill(Process, Number) == 0;
}

std::map<pid_t, int> Entries::ends(std::size_t Index) const {
  std::map<pid_t, int> Result;
  std::ifstream In(file(Index, "ends"));
  for (auto [Id, Code] = std::pair<pid_t, int>(); In >> Id >> Code;)
    Result[Id] = Code;
  return Result;
}

std::vector<std::string> Entries::wrongEnds() const {
  std::vector<std::string> Result;
  for (std::size_t I = 0; I < Count_; ++I)
    for (const auto &[Id, Code] : ends(I)) {
      const auto Told = Told_[I].find(Id);
      if (Told == Told_[I].end() || !asTold(Code, Told->second))
        Result.push_back("entry " + std::to_string(I) + " process " +
                         std::to_string(Id) + " ended by itself, code " +
                         std::to_string(Code));
    }
  return Result;
}

std::vector<std::string> Entries::missingEnds() const {
  std::vector<std::string> Result;
  for (std::size_t I = 0; I < Count_; ++I) {
    const auto Seen = ends(I);
    for (const auto &[Id, Signals] : Told_[I])
      if (!Seen.contains(Id))
        Result.push_back("entry " + std::to_string(I) + " process " +
                         std::to_string(Id) + " was told to end and lives");
  }
  return Result;
}

} // namespace laburnumspread::soak
