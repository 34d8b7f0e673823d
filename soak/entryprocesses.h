#pragma once

#include "framework/http/httptypes.h"
#include "journal/leader.h"
#include "soak/invariants.h"

#include <csignal>
#include <map>

#include <absl/status/status.h>

namespace laburnumspread::soak {

/// The entries' processes. tools/soak starts and restarts them and exchanges
/// files with this class in one folder:
///   entry-N.json  settings, written by this class
///   entry-N.pid   process id, present while the process runs
///   entry-N.ends  one line per exited process: process id and exit code
class EntryProcesses {
public:
  EntryProcesses(std::string Folder, std::size_t Count);

  /// Finds free ports for the callers and the peers of each entry. The ports do
  /// not depend on the run's seed, because two concurrent runs of one seed
  /// would choose the same ports. Returns an Unavailable error if too few are
  /// free.
  absl::Status choosePorts();
  /// Writes the settings of all entries. \p PlatformPorts holds the port
  /// through which each entry reaches the platform, \p PeerProxyPorts the port
  /// through which its peers reach it. Returns an Unavailable error if a file
  /// cannot be written.
  absl::Status writeSettings(const std::vector<std::uint16_t> &PlatformPorts,
                             const std::vector<std::uint16_t> &PeerProxyPorts);
  /// Rewrites an entry's settings with values selected by \p Choice; only
  /// settings that can be reloaded at run time change.
  absl::Status changeSettings(std::size_t Index, std::uint64_t Choice);

  /// Keys of the entries' cell in the platform's store.
  static journal::CellKeys cellKeys();

  std::size_t count() const { return Count_; }
  /// Index of the entry with this name; count() if there is none.
  std::size_t indexOf(const std::string &Name) const;
  framework::http::Address callerAddress(std::size_t Index) const {
    return {"127.0.0.1", Ports_[Index]};
  }
  /// Port on which the entry itself listens for its peers, behind the proxy.
  std::uint16_t peerPort(std::size_t Index) const {
    return Ports_[Count_ + Index];
  }
  /// Path of an entry's file in the folder.
  std::string filePath(std::size_t Index, const std::string &Suffix) const;
  /// Process id of the entry, 0 while no process runs.
  pid_t processId(std::size_t Index) const;
  /// Sends signal \p Number to \p Process if that is still this entry's
  /// process. Returns whether the signal was sent.
  bool signal(std::size_t Index, pid_t Process, int Number);

  /// Messages about processes that exited without having been sent a signal, or
  /// with an exit code that does not match the signals sent.
  std::vector<std::string> unexpectedExits() const;
  /// Messages about processes that were sent SIGTERM or SIGKILL and still run.
  std::vector<std::string> missingExits() const;

private:
  std::map<pid_t, int> exits(std::size_t Index) const;
  absl::Status writeEntry(std::size_t Index, bool Debug,
                          double MoveSeconds) const;

  std::string Folder_;
  std::size_t Count_;
  /// Caller ports of all entries, followed by their peer ports.
  std::vector<std::uint16_t> Ports_;
  std::vector<std::uint16_t> PlatformPorts_;
  std::vector<std::uint16_t> PeerProxyPorts_;
  std::string PublicKey_;
  std::string SecretKey_;
  /// For each entry, the SIGTERM and SIGKILL signals sent to each process.
  std::vector<std::map<pid_t, std::set<int>>> SentSignals_;
};

} // namespace laburnumspread::soak
