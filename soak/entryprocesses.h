#pragma once

#include "framework/http/httptypes.h"
#include "soak/invariants.h"

#include <csignal>
#include <map>

#include <absl/status/status.h>

namespace laburnumspread::soak {

/// The entries' processes, which tools/soak starts and starts again. It and the
/// driver tell each other by files in one folder:
///   entry-N.json  settings, written here
///   entry-N.pid   id of the process, there while it lives
///   entry-N.ends  a line for each process that has ended: id and exit code
class EntryProcesses {
public:
  EntryProcesses(std::string Folder, std::size_t Count);

  /// Finds free ports for the callers and the peers of each entry. Not from the
  /// run's seed: two runs of one seed at a time would choose the same ports.
  absl::Status choosePorts();
  /// \p PlatformPorts: the port by which each entry reaches the platform; \p
  /// PeerProxyPorts: that by which its peers reach it.
  absl::Status writeSettings(const std::vector<std::uint16_t> &PlatformPorts,
                             const std::vector<std::uint16_t> &PeerProxyPorts);
  /// Writes an entry's file with other values of what it takes up at run time.
  absl::Status changeSettings(std::size_t Index, std::uint64_t Choice);

  std::size_t count() const { return Count_; }
  framework::http::Address callerAddress(std::size_t Index) const {
    return {"127.0.0.1", Ports_[Index]};
  }
  /// Where an entry itself listens for its peers.
  std::uint16_t peerPort(std::size_t Index) const {
    return Ports_[Count_ + Index];
  }
  /// 0 while no process lives.
  pid_t processId(std::size_t Index) const;
  /// Sends \p Number to \p Process if it is still this entry's.
  bool signal(std::size_t Index, pid_t Process, int Number);

  /// Processes that ended without being told to, or otherwise than told.
  std::vector<std::string> unexpectedExits() const;
  /// Processes that were told to end and have not.
  std::vector<std::string> missingExits() const;

private:
  std::string filePath(std::size_t Index, const std::string &Suffix) const;
  std::map<pid_t, int> exits(std::size_t Index) const;
  absl::Status writeEntry(std::size_t Index, bool Debug,
                          double MoveSeconds) const;

  std::string Folder_;
  std::size_t Count_;
  /// For the callers of each entry, then for the peers of each.
  std::vector<std::uint16_t> Ports_;
  std::vector<std::uint16_t> PlatformPorts_;
  std::vector<std::uint16_t> PeerProxyPorts_;
  std::string PublicKey_;
  std::string SecretKey_;
  /// Signals to end that each process was sent.
  std::vector<std::map<pid_t, std::set<int>>> SentSignals_;
};

} // namespace laburnumspread::soak
