#pragma once

#include "http.h"
#include "record.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace review3 {

/// Three entries, started with the command of the deploy file.
class Entries {
public:
  Entries(Record &Log, std::string Folder, std::string Platform);
  ~Entries();
  Entries(const Entries &) = delete;
  Entries &operator=(const Entries &) = delete;

  void start();
  /// Waits until one of them says that it leads. Returns false after 20 s.
  bool awaitLeader() const;
  /// Kills the named entry with SIGKILL and starts it again later, as the
  /// platform does.
  void kill(const std::string &Name);
  void startAgain(const std::string &Name);
  std::string leader() const;

  /// Sends a call to the entries in turn, until one answers with 2xx, or the
  /// time is over. Returns the last status; 0 if there was no answer.
  int send(const std::string &Method, const std::string &Target,
           const std::string &Body, std::int64_t TimeMs,
           const std::string &Key = "trial-key");
  /// Returns how many jobs of the queue wait, as each entry answers; -1 for one
  /// that does not.
  std::vector<std::int64_t> waiting(const std::string &Prefix);
  /// Returns the state of a job, or an empty text without an answer.
  std::string stateOf(const std::string &Target,
                      const std::string &Key = "trial-key");

private:
  struct Entry {
    std::string Name_;
    int Callers_ = 0;
    int Readiness_ = 0;
    int Peers_ = 0;
    int Metrics_ = 0;
    pid_t Process_ = 0;
  };

  void launch(Entry &Item);
  Entry &find(const std::string &Name);

  Record &Log_;
  std::string Folder_;
  std::string Platform_;
  std::vector<Entry> All_;
  std::size_t Next_ = 0;
};

/// The operator's configuration: the queue "orders" at /orders/ of the service
/// "kitchen", for one tenant without limits.
std::string configuration();

/// Outcome of a case, as the exit status of its program.
enum Outcome { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Whether the disruption is asked for: the variable TROUBLE is not 0.
bool withTrouble();

} // namespace review3
