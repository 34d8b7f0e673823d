#pragma once

#include "platform/standin/cellplatform.h"
#include "soak/callers.h"
#include "soak/configchanges.h"
#include "soak/faultproxy.h"
#include "soak/random.h"

#include <deque>

namespace laburnumspread::soak {

/// Injects faults chosen at random from a seed. Each fault lasts for a random
/// time and is then reverted; faults may overlap.
class FaultInjector {
public:
  using CellPlatform = platform::standin::CellPlatform;

  /// The proxies of each entry: to the platform, and from its peers.
  struct ProxySet {
    std::deque<FaultProxy> ToPlatform_;
    std::deque<FaultProxy> FromPeers_;
  };

  /// \p PlatformPorts holds the platform's port for each entry, behind the
  /// proxy; \p Seed determines all random choices.
  FaultInjector(CellPlatform &Platform, EntryProcesses &Entries,
                Callers &Workload, ConfigChanges &Changes,
                std::vector<std::uint16_t> PlatformPorts, ProxySet &Proxies,
                std::size_t MachineCount, std::uint64_t Seed);

  /// Whether there is a kind of fault with this name.
  static bool isKind(std::string_view Name);
  /// Injects only faults of these kinds from now on.
  void limitTo(const std::vector<std::string> &Names);
  /// Injects faults for \p Time and returns when all have been reverted.
  void injectFor(milliseconds Time);
  /// Number of faults injected so far.
  std::size_t count() const { return Count_; }

private:
  /// Ends a fault.
  using Revert = std::function<void()>;
  struct Kind {
    std::string_view Name_;
    Revert (FaultInjector::*Inject_)();
  };
  static const std::vector<Kind> Kinds;

  void injectOne();
  /// Calls \p Set with true when the first of several overlapping faults called
  /// \p What begins, and with false when the last of them is reverted.
  Revert applyShared(const std::string &What,
                     const std::function<void(bool)> &Set);
  /// The entry that the store names as the leader, if there is one.
  std::optional<std::size_t> leader() const;
  /// That entry or a random one.
  std::size_t leaderOrRandomEntry();
  std::size_t randomEntry() { return Random_.below(Entries_.count()); }
  /// Calls applyShared for the platform port of a random entry.
  Revert onPlatformPort(const std::string &What,
                        const std::function<void(std::uint16_t, bool)> &Set);

  // Entries.
  Revert kill();
  Revert killAll();
  Revert stop();
  Revert freeze();
  Revert pauseBriefly();
  /// Stops and resumes entries in turn until \p Over is true.
  void pauseInSeries(const std::shared_ptr<bool> &Over);
  /// Overlaps with other faults that stop the process.
  Revert stopProcess(std::size_t Entry);
  Revert losePower();
  /// Kills the leaders one after the other until \p Over is true. Their
  /// connections to workers stay open there.
  void losePowerInSeries(const std::shared_ptr<bool> &Over);
  Revert changeSettings();
  // Requests through an entry's platform port.
  Revert blockStoreAccess();
  Revert refuseStoreCalls();
  Revert delayRequests();
  Revert resetRequests();
  Revert dropResponses();
  // Connections to the platform and between entries.
  Revert cutPlatform() { return cut("platform", Proxies_.ToPlatform_); }
  Revert cutPeers() { return cut("peers", Proxies_.FromPeers_); }
  Revert cutOff();
  Revert resetConnections();
  Revert stallConnections();
  // The store.
  Revert loseAnswers();
  Revert lateAnswers();
  Revert pauseLeases();
  Revert hideWorkers();
  Revert dropHistory();
  /// Lets another writer add entries to the list of workers, which has small
  /// pages meanwhile.
  Revert addOddEntries();
  /// Lets another writer write over a worker's entry.
  Revert overwriteWorker();
  // Workers and machines.
  Revert crashWorker();
  Revert loseStops();
  Revert loseStartAnswers();
  Revert lateStarts();
  Revert wave();
  // Callers and the operator.
  Revert crowd();
  Revert changeConfig();
  /// Changes the configuration again and again until \p Over is true.
  void changeConfigInSeries(const std::shared_ptr<bool> &Over);

  /// Blocks one entry's proxy upstream, downstream or both.
  Revert cut(const std::string &What, std::deque<FaultProxy> &Proxies);
  Revert cutUpstream(const std::string &What, FaultProxy &Proxy);
  Revert cutDownstream(const std::string &What, FaultProxy &Proxy);
  FaultProxy &randomProxy();
  std::string randomOddEntry();

  CellPlatform &Platform_;
  EntryProcesses &Entries_;
  Callers &Callers_;
  ConfigChanges &ConfigChanges_;
  ProxySet &Proxies_;
  std::vector<std::uint16_t> PlatformPorts_;
  std::size_t MachineCount_;
  Random Random_;
  std::vector<Kind> Kinds_ = Kinds;
  std::map<std::string, int> ActiveByName_;
  std::size_t Active_ = 0;
  std::size_t Count_ = 0;
  std::size_t PowerLosses_ = 0;
  std::uint64_t NextWave_ = 1;
};

} // namespace laburnumspread::soak
